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
 *  KEEP_MISSING  pass on servers that are missing as if they were present
 *  NO_GRACE      the listener does not end its grace time
 */

#define READS 3

byte revision = 1;      /* of the store */
bool entry = true;      /* the server's entry in the store */
bool settled = false;   /* the store does not change any more */

byte watcherAt = 1;
bool watcherHas = true;
bool watcherMissing = false;
bool watcherDone = false;

byte listenerAt = 1;
bool listenerHas = true;
bool listenerMissing = false;

/* revision, server present, server missing for a while; by two ways, so that snapshots overtake */
chan slow = [1] of { byte, bool, bool };
chan quick = [1] of { byte, bool, bool };

active proctype store()
{
    /* The entry lapses while the store is away. */
    atomic { revision++; entry = false };
    if
    :: atomic { revision++; entry = true }
    :: skip
    fi;
    settled = true
}

#ifdef KEEP_MISSING
#define SNAPSHOT watcherAt, watcherHas, false
#else
#define SNAPSHOT watcherAt, (watcherHas && !watcherMissing), watcherMissing
#endif

inline send()
{
    if
    :: slow ! SNAPSHOT
    :: quick ! SNAPSHOT
    fi
}

active proctype watcher()
{
    byte reads = 0;
    do
    :: reads < READS ->
        /* A read after the outage: a server that is not in the list is missing for a while. */
        atomic {
            watcherAt = revision;
            watcherMissing = watcherHas && !entry;
            if
            :: entry -> watcherHas = true; watcherMissing = false
            :: else -> skip
            fi;
            reads++
        };
        if
        :: nfull(slow) && nfull(quick) -> send()
        :: skip
        fi
    :: settled && reads >= 1 ->
        /* The last read sees the settled store; the grace time ends without a further change. */
        atomic {
            watcherAt = revision;
            watcherHas = watcherHas || entry;
            watcherMissing = watcherHas && !entry
        };
        send();
        atomic {
            if
            :: watcherMissing -> watcherHas = false; watcherMissing = false
            :: else -> skip
            fi
        };
        send();
        watcherDone = true;
        break
    od
}

active proctype listener()
{
    byte at;
    bool has;
    bool missing;
    do
    :: atomic {
        if
        :: slow ? at, has, missing
        :: quick ? at, has, missing
        fi;
#ifndef ADOPT_ANY
        if
        :: at > listenerAt ->
#endif
            assert(at >= listenerAt);
            listenerAt = at;
            if
            :: has -> listenerHas = true; listenerMissing = false
            :: !has && missing -> listenerMissing = listenerHas
            :: else -> listenerHas = false; listenerMissing = false
            fi
#ifndef ADOPT_ANY
        :: else -> skip
        fi
#endif
    }
#ifndef NO_GRACE
    :: atomic { listenerMissing -> listenerHas = false; listenerMissing = false }
#endif
    :: atomic { watcherDone && empty(slow) && empty(quick) && !listenerMissing -> break }
#ifdef NO_GRACE
    :: atomic { watcherDone && empty(slow) && empty(quick) && listenerMissing -> break }
#endif
    od;
    assert(watcherHas == entry);
    assert(listenerHas == entry)
}
