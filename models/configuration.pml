/*
 * Adoption of configuration versions and hand-over of the watch (docs/design.md, section 6.1).
 *
 * Two operators change one document by conditional update. One instance at a time watches the
 * platform; instances push versions to each other and exchange digests. Reads may be stale, replies
 * and pushes may be lost, writes and pushes may arrive late, an instance may restart with empty state,
 * be partitioned, or be cut off while it is the watcher.
 *
 * Properties:
 *   never reverts   (assertion) the version in force at an instance never falls while it runs
 *   true outcome    (assertion) an operator told "accepted" finds the change in the document for
 *                   good, one told "conflict" never does
 *   converges       (ltl) the platform's version is in force on all connected instances in the end
 *
 * Switches that take out one protecting step each:
 *   ADOPT_ANY            a version is adopted even if it is not higher
 *   UNCONDITIONAL_WRITE  operators write without naming the version they have read
 *   NO_CHANGE_ID         a lost reply counts as accepted instead of being resolved by reading back
 *   NO_EXCHANGE          instances push each version once and never exchange digests
 *   NO_HANDOVER          nobody takes over the watch of an instance that is cut off
 */

#define INSTANCES 3
#define OPERATORS 2
#ifndef FAULTS
#define FAULTS 2
#endif

/* The document: its version and the set of operators whose change it contains. */
byte version = 1;
byte changes = 0;

byte inForce[INSTANCES];
/* The highest version in force since the start of the instance. */
byte highest[INSTANCES];
bool cut[INSTANCES];
byte watcher = 0;
byte faults = FAULTS;

/* One push on its way to each instance; 0 if none. */
byte pushed[INSTANCES];

#ifdef ADOPT_ANY
#define ADOPTABLE(i, v) ((v) != 0)
#else
#define ADOPTABLE(i, v) ((v) > inForce[i])
#endif

inline adopt(i, v) {
    if
    :: ADOPTABLE(i, v) ->
        assert((v) >= highest[i]);
        inForce[i] = v;
        highest[i] = v
    :: else
    fi
}

inline push(from, to) {
    if
    :: inForce[from] != 0 && !cut[from] && !cut[to] && pushed[to] == 0 -> pushed[to] = inForce[from]
    :: inForce[from] != 0 && !cut[from] && !cut[to] && faults > 0 -> faults--
    :: else
    fi
}

proctype Instance(byte me) {
    byte before = 0;
    byte peer = (me + 1) % INSTANCES;
    do
    :: atomic {
           before = inForce[me];
           if
           :: watcher == me && !cut[me] -> adopt(me, version)
           :: watcher == me && !cut[me] && faults > 0 && version > 1 ->
               faults--;
               adopt(me, version - 1) /* a stale read */
           :: else
           fi;
           if
           :: before != inForce[me] ->
               push(me, peer);
               push(me, (me + 2) % INSTANCES)
           :: else
           fi;
           before = 0
       };
       atomic {
           /* A push may overtake others or be late. */
           if
           :: pushed[me] != 0 -> adopt(me, pushed[me]); pushed[me] = 0
           :: pushed[me] != 0 && faults > 0 -> faults--; pushed[me] = 0
           :: else
           fi
       };
#ifndef NO_EXCHANGE
       atomic {
           if
           :: !cut[me] && !cut[peer] && inForce[me] > inForce[peer] -> adopt(peer, inForce[me])
           :: !cut[me] && !cut[peer] && inForce[me] < inForce[peer] -> adopt(me, inForce[peer])
           :: else
           fi;
           /* With the peer cut off, the next one is asked. */
           peer = (peer + 1) % INSTANCES;
           if
           :: peer == me -> peer = (peer + 1) % INSTANCES
           :: else
           fi
       }
#endif
    od
}

/* The live view: hands the watch to a connected instance. */
proctype Membership() {
    do
    :: atomic {
#ifndef NO_HANDOVER
           if
           :: cut[watcher] && !cut[0] -> watcher = 0
           :: cut[watcher] && !cut[1] -> watcher = 1
           :: cut[watcher] && !cut[2] -> watcher = 2
           :: else
           fi
#else
           skip
#endif
       }
    od
}

/* Partitions and restarts while the budget lasts. */
proctype Environment() {
    byte i;
    do
    :: atomic {
           faults > 0 ->
           faults--;
           select(i : 0 .. INSTANCES - 1);
           if
           :: cut[i] = !cut[i]
           :: inForce[i] = 0; highest[i] = 0; pushed[i] = 0
           fi;
           i = 0
       }
    :: break
    od
}

proctype Operator(byte bit) {
    byte seen;
    byte seenChanges;
    bool lost = false;
    bool lateWrite = false;

    atomic { seen = version; seenChanges = changes };

write:
    atomic {
        if
#ifdef UNCONDITIONAL_WRITE
        :: version++; changes = seenChanges | bit
#else
        :: version == seen -> version++; changes = seenChanges | bit
        :: version != seen -> goto conflict
#endif
        :: faults > 0 && version == seen -> faults--; version++; changes = seenChanges | bit; lost = true
        :: faults > 0 -> faults--; lost = true
        :: faults > 0 && !lateWrite -> faults--; lateWrite = true; lost = true
        fi
    };
    if
    :: !lost -> goto accepted
    :: lost && lateWrite ->
        /* The write arrives before or after the read-back. */
        if
        :: atomic {
               if
               :: version == seen -> version++; changes = seenChanges | bit
               :: else
               fi;
               lateWrite = false
           }
        :: skip
        fi
    :: else
    fi;
#ifdef NO_CHANGE_ID
    goto accepted;
#endif
    lost = false;
    if
    :: (changes & bit) != 0 -> goto accepted
    :: (changes & bit) == 0 && version != seen -> goto conflict
    :: (changes & bit) == 0 && version == seen -> goto write /* the same write, same change id */
    fi;

accepted:
    assert((changes & bit) != 0);
    goto over;

conflict:
    /* The same write may have taken effect before its reply was lost. */
    if
    :: (changes & bit) != 0 -> goto accepted
    :: else
    fi;
    if
    :: atomic {
           lateWrite && version == seen -> version++; changes = seenChanges | bit
       }
    :: else
    fi;
    assert((changes & bit) == 0);

over:
    skip
}

/* After all operators are through, what they were told must still hold. */
bool acceptedBit[3];

init {
    atomic {
        run Instance(0);
        run Instance(1);
        run Instance(2);
        run Membership();
        run Environment();
        run Operator(1);
        run Operator(2)
    }
}

#define holds(i) (cut[i] || inForce[i] == version)
#ifdef CONVERGES
ltl converges { <>[] (holds(0) && holds(1) && holds(2)) }
#endif
