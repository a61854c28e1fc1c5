/* How gateways adopt the list of servers from the store and from each other.
 *
 * There is one server, one instance that watches the store and one that follows the watcher's view.
 * During an outage of the store the server's entry expires; afterwards the server either registers
 * again or stays removed. Snapshots between the instances may be delayed and reordered.
 *
 * Properties:
 *  - the revision of a view never decreases (asserted at each adoption);
 *  - when no snapshot is in flight any more, both views agree with the store about the server.
 *
 * Each of these switches leaves out one protective step and must violate a property:
 *  ADOPT_ANY                adopt a snapshot of any revision
 *  SEND_MISSING_AS_PRESENT  send servers that are missing as if they were present
 *  NO_GRACE_EXPIRY          the grace time of the follower does not expire
 */

#define MAX_READS 3

byte revision = 1;          /* of the store */
bool entryInStore = true;   /* whether the store has an entry of the server */
bool storeSettled = false;  /* whether the store does not change any more */

byte watcherRevision = 1;
bool watcherHasServer = true;
bool watcherMissing = false;
bool watcherDone = false;

byte followerRevision = 1;
bool followerHasServer = true;
bool followerMissing = false;

/* Snapshots: revision, whether the server is present, whether it is missing but within its grace
 * time. Two channels, so that snapshots can overtake each other. */
chan slowPath = [1] of { byte, bool, bool };
chan fastPath = [1] of { byte, bool, bool };

active proctype store()
{
    /* The entry expires during the outage of the store. */
    atomic { revision++; entryInStore = false };
    if
    :: atomic { revision++; entryInStore = true }
    :: skip
    fi;
    storeSettled = true
}

#ifdef SEND_MISSING_AS_PRESENT
#define SNAPSHOT watcherRevision, watcherHasServer, false
#else
#define SNAPSHOT watcherRevision, (watcherHasServer && !watcherMissing), watcherMissing
#endif

inline sendSnapshot()
{
    if
    :: slowPath ! SNAPSHOT
    :: fastPath ! SNAPSHOT
    fi
}

active proctype watcher()
{
    byte reads = 0;
    do
    :: reads < MAX_READS ->
        /* A read after the outage: a server that is not in the list counts as missing until its
         * grace time expires. */
        atomic {
            watcherRevision = revision;
            watcherMissing = watcherHasServer && !entryInStore;
            if
            :: entryInStore -> watcherHasServer = true; watcherMissing = false
            :: else -> skip
            fi;
            reads++
        };
        if
        :: nfull(slowPath) && nfull(fastPath) -> sendSnapshot()
        :: skip
        fi
    :: storeSettled && reads >= 1 ->
        /* The last read returns the final state of the store; then the grace time expires. */
        atomic {
            watcherRevision = revision;
            watcherHasServer = watcherHasServer || entryInStore;
            watcherMissing = watcherHasServer && !entryInStore
        };
        sendSnapshot();
        atomic {
            if
            :: watcherMissing -> watcherHasServer = false; watcherMissing = false
            :: else -> skip
            fi
        };
        sendSnapshot();
        watcherDone = true;
        break
    od
}

active proctype follower()
{
    byte snapshotRevision;
    bool snapshotHasServer;
    bool snapshotMissing;
    do
    :: atomic {
        if
        :: slowPath ? snapshotRevision, snapshotHasServer, snapshotMissing
        :: fastPath ? snapshotRevision, snapshotHasServer, snapshotMissing
        fi;
#ifndef ADOPT_ANY
        if
        :: snapshotRevision > followerRevision ->
#endif
            assert(snapshotRevision >= followerRevision);
            followerRevision = snapshotRevision;
            if
            :: snapshotHasServer -> followerHasServer = true; followerMissing = false
            :: !snapshotHasServer && snapshotMissing -> followerMissing = followerHasServer
            :: else -> followerHasServer = false; followerMissing = false
            fi
#ifndef ADOPT_ANY
        :: else -> skip
        fi
#endif
    }
#ifndef NO_GRACE_EXPIRY
    :: atomic { followerMissing -> followerHasServer = false; followerMissing = false }
#endif
    :: atomic { watcherDone && empty(slowPath) && empty(fastPath) && !followerMissing -> break }
#ifdef NO_GRACE_EXPIRY
    :: atomic { watcherDone && empty(slowPath) && empty(fastPath) && followerMissing -> break }
#endif
    od;
    assert(watcherHasServer == entryInStore);
    assert(followerHasServer == entryInStore)
}
