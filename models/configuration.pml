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
 * WRITES selects the part with the operators, otherwise the instances are checked: the two parts share
 * the version only, and together they are too large to explore.
 *
 * Switches that take out one protecting step each:
 *   ADOPT_ANY            a version is adopted even if it is not higher
 *   UNCONDITIONAL_WRITE  operators write without naming the version they have read
 *   NO_CHANGE_ID         a lost reply counts as accepted instead of being resolved by reading back
 *   NO_EXCHANGE          instances push each version once and never exchange digests
 *   NO_HANDOVER          nobody takes over the watch of an instance that is cut off
 */

mtype = { Ok, Conflict, Lost };

#define INSTANCES 3
#define OPERATORS 2
#ifndef FAULTS
#define FAULTS 2
#endif

#ifndef VERSIONS
#define VERSIONS 3
#endif

/* The document: its version and the set of operators whose change it contains. */
byte version = 1;
byte changes = 0;
/* The operators told "accepted" and "conflict", as bit sets; an operator's number is its bit. */
byte accepted = 0;
byte rejected = 0;
/* Writes that take effect later, one for each operator. */
bool hasDelayedWrite[OPERATORS + 1];
byte delayedExpectedVersion[OPERATORS + 1];
byte delayedBase[OPERATORS + 1];

byte inForce[INSTANCES];
/* The highest version in force since the start of the instance. */
byte highestInForce[INSTANCES];
bool disconnected[INSTANCES];
byte watcher = 0;
byte faultsLeft = FAULTS;

/* One push on its way to each instance; 0 if none. */
byte pushInFlight[INSTANCES];

#ifdef ADOPT_ANY
#define ADOPTABLE(i, v) ((v) != 0)
#else
#define ADOPTABLE(i, v) ((v) > inForce[i])
#endif

inline adopt(i, v) {
    if
    :: ADOPTABLE(i, v) ->
        assert((v) >= highestInForce[i]);
        inForce[i] = v;
        highestInForce[i] = v
    :: else
    fi
}

inline push(from, to) {
    if
    :: inForce[from] != 0 && !disconnected[from] && !disconnected[to] && pushInFlight[to] == 0 ->
        pushInFlight[to] = inForce[from]
    :: inForce[from] != 0 && !disconnected[from] && !disconnected[to] && faultsLeft > 0 ->
        faultsLeft--
    :: else
    fi
}

/* Compares digests with a peer; the lower one adopts. */
inline exchange(a, b) {
    if
    :: !disconnected[a] && !disconnected[b] && inForce[a] > inForce[b] -> adopt(b, inForce[a])
    :: !disconnected[a] && !disconnected[b] && inForce[a] < inForce[b] -> adopt(a, inForce[b])
    :: else
    fi
}

proctype Instance(byte me) {
    byte previousInForce = 0;
    do
    :: atomic {
           previousInForce = inForce[me];
           if
           :: watcher == me && !disconnected[me] -> adopt(me, version)
           :: watcher == me && !disconnected[me] && faultsLeft > 0 && version > 1 ->
               faultsLeft--;
               adopt(me, version - 1) /* a stale read */
           :: else
           fi;
           if
           :: previousInForce != inForce[me] ->
               push(me, (me + 1) % INSTANCES);
               push(me, (me + 2) % INSTANCES)
           :: else
           fi;
           previousInForce = 0
       };
       atomic {
           /* A push may overtake others or be late. */
           if
           :: pushInFlight[me] != 0 -> adopt(me, pushInFlight[me]); pushInFlight[me] = 0
           :: pushInFlight[me] != 0 && faultsLeft > 0 -> faultsLeft--; pushInFlight[me] = 0
           :: else
           fi
       };
#ifndef NO_EXCHANGE
       atomic {
           exchange(me, (me + 1) % INSTANCES);
           exchange(me, (me + 2) % INSTANCES)
       }
#endif
    od
}

/* The live view: hands the watch to a connected instance. */
proctype Membership() {
end:
    do
#ifndef NO_HANDOVER
    :: atomic { disconnected[watcher] && !disconnected[0] -> watcher = 0 }
    :: atomic { disconnected[watcher] && !disconnected[1] -> watcher = 1 }
    :: atomic { disconnected[watcher] && !disconnected[2] -> watcher = 2 }
#else
    :: false
#endif
    od
}

/* Partitions and restarts while the budget lasts. */
proctype Environment() {
    byte i;
    do
    :: atomic {
           faultsLeft > 0 ->
           faultsLeft--;
           select(i : 0 .. INSTANCES - 1);
           if
           :: disconnected[i] = !disconnected[i]
           :: inForce[i] = 0; highestInForce[i] = 0; pushInFlight[i] = 0
           fi;
           i = 0
       }
    :: break
    od
}

/* Applies a write of operator `me`, who read version `expected` with the changes `base`. */
inline apply(expected, base, me) {
    if
#ifdef UNCONDITIONAL_WRITE
    :: true ->
#else
    :: version == expected ->
#endif
        version++;
        changes = base | me;
        reply = Ok;
        assert((changes & accepted) == accepted);
        assert((changes & rejected) == 0)
    :: else -> reply = Conflict
    fi
}

proctype Operator(byte me) {
    byte seenVersion;
    byte base;
    mtype reply;

    atomic { seenVersion = version; base = changes };

write:
    atomic {
        if
        :: apply(seenVersion, base, me)
        :: faultsLeft > 0 -> faultsLeft--; apply(seenVersion, base, me); reply = Lost
        :: faultsLeft > 0 -> faultsLeft--; reply = Lost
        :: faultsLeft > 0 && !hasDelayedWrite[me] ->
            faultsLeft--;
            hasDelayedWrite[me] = true;
            delayedExpectedVersion[me] = seenVersion;
            delayedBase[me] = base;
            reply = Lost
        fi
    };
    if
    :: reply == Ok -> goto accept
    :: reply == Lost -> skip
    /* A conflict may be with the same write, sent before and delayed. */
    :: reply == Conflict -> skip
    fi;
#ifdef NO_CHANGE_ID
    if
    :: reply == Lost -> goto accept
    :: else -> goto reject
    fi;
#endif
    if
    :: atomic { (changes & me) != 0 -> goto accept }
    :: atomic { (changes & me) == 0 && version != seenVersion -> goto reject }
    :: atomic { (changes & me) == 0 && version == seenVersion -> goto write }
    fi;

accept:
    atomic {
        accepted = accepted | me;
        assert((changes & me) != 0);
        goto finished
    };

reject:
    atomic {
        rejected = rejected | me;
        assert((changes & me) == 0)
    };

finished:
    skip
}

/* Delivers delayed writes. */
proctype Network() {
    byte i;
    mtype reply;
end:
    do
    :: atomic {
           select(i : 1 .. OPERATORS);
           if
           :: hasDelayedWrite[i] ->
               hasDelayedWrite[i] = false;
               apply(delayedExpectedVersion[i], delayedBase[i], i);
               delayedExpectedVersion[i] = 0;
               delayedBase[i] = 0
           :: else
           fi;
           i = 0
       }
    od
}

/* Stands for the operators where only the adoption is checked. */
proctype Writer() {
    do
    :: version < VERSIONS -> version++
    :: version == VERSIONS -> break
    od
}

init {
    atomic {
#ifdef WRITES
        run Operator(1);
        run Operator(2);
        run Network()
#else
        run Instance(0);
        run Instance(1);
        run Instance(2);
        run Membership();
        run Environment();
        run Writer()
#endif
    }
}

#define hasConverged(i) (disconnected[i] || inForce[i] == version)
#ifdef CONVERGES
ltl converges { <>[] (hasConverged(0) && hasConverged(1) && hasConverged(2)) }
#endif
