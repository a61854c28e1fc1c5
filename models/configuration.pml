/*
 * Adoption of configuration versions and hand-over of the watch (docs/design.md, section 6.1).
 *
 * Two operators change one document by conditional updates. One instance at a time watches the
 * platform's store; the instances push versions to each other and exchange digests. Reads may be
 * stale, replies and pushes may be lost, and writes and pushes may be delayed. An instance, also
 * the watcher, may restart with empty state or be disconnected by a partition.
 *
 * Properties:
 *   never reverts   (assertion) the version in force at an instance never decreases while it runs
 *   true outcome    (assertion) the document permanently contains each change that was answered as
 *                   accepted and never contains one that was answered as a conflict
 *   converges       (ltl) eventually the version in the store stays in force on all connected
 *                   instances
 *
 * With WRITES only the operators are checked, otherwise only the instances: the two parts share
 * nothing but the version, and the state space of both together is too large to explore.
 *
 * Each of these switches leaves out one protective step:
 *   ADOPT_ANY            an instance adopts a version even if it is not higher
 *   UNCONDITIONAL_WRITE  writes of operators do not depend on the version that was read
 *   NO_CHANGE_ID         a lost reply counts as accepted and a conflict as rejected, without a
 *                        read-back
 *   NO_EXCHANGE          instances push each version once and never exchange digests
 *   NO_HANDOVER          no instance takes over the watch when the watcher is disconnected
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
/* The operators whose changes were answered as accepted and as a conflict, as bit sets; the number
 * of an operator is its bit. */
byte accepted = 0;
byte rejected = 0;
/* Delayed writes, at most one for each operator. */
bool hasDelayedWrite[OPERATORS + 1];
byte delayedExpectedVersion[OPERATORS + 1];
byte delayedBase[OPERATORS + 1];

byte inForce[INSTANCES];
/* The highest version that was in force since the last restart of the instance. */
byte highestInForce[INSTANCES];
bool disconnected[INSTANCES];
byte watcher = 0;
byte faultsLeft = FAULTS;

/* The version of the push in flight to each instance, at most one; 0 if none. */
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

/* Compares the digests of two instances; the one with the lower version adopts the higher one. */
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
           /* A push may be delayed, lost or overtaken by other pushes. */
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

/* Membership: hands the watch over to a connected instance if the watcher is disconnected. */
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

/* Disconnects, reconnects or restarts instances; each of these uses up one fault. */
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

/* Applies a write of operator `me`, which has read version `expected` with the changes `base`. */
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
    /* The conflict may be with an earlier, delayed attempt of the same write. */
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

/* Applies delayed writes at any time. */
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

/* Replaces the operators when the instances are checked: raises the version up to VERSIONS. */
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
