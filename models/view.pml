/* How gateways take over server entries from the store and from each other.
 *
 * One server, one instance that watches the store, one that only hears of its view. The store goes
 * away, during which the server's entry lapses; the server either comes back or is gone. Snapshots
 * travel between the instances late and in any order.
 *
 * Claims:
 *  - a view never falls back to an older revision (asserted at each adoption);
 *  - when nothing is on its way any more, both views agree with the store about the server.
 *
 * Protecting steps that can be removed, each of which must break a claim:
 *  ADOPT_ANY     adopt a snapshot of any revision
 *  SEND_MISSING_AS_PRESENT  pass on servers that are missing as if they were present
 *  NO_GRACE_EXPIRY      the listener does not end its grace time
 */

#define MAX_READS 3

byte revision = 1;      /* of the store */
bool entryInStore = true;      /* the server's entry in the store */
bool storeSettled = false;   /* the store does not change any more */

byte watcherRevision = 1;
bool watcherHasServer = true;
bool watcherMissing = false;
bool watcherDone = false;

byte followerRevision = 1;
bool followerHasServer = true;
bool followerMissing = false;

/* revision, server present, server missing for a while; by two ways, so that snapshots overtake */
chan slowPath = [1] of { byte, bool, bool };
chan fastPath = [1] of { byte, bool, bool };

active proctype store()
{
    /* The entry lapses while the store is away. */
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
        /* A read after the outage: a server that is not in the list is missing for a while. */
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
        /* The last read sees the settled store; the grace time ends without a further change. */
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
