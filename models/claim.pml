/*
 * Claim protocol of one non-repeatable request (docs/design.md, section 6.6).
 *
 * Several tries (the request and its resends at other instances) work on one record of the platform.
 * A write may be refused, lose its reply before or after its effect, or take effect later. A pause or
 * a crash of a try is a prefix of some interleaving, and all of them are explored.
 *
 * Properties:
 *   at most once      runs <= 1
 *   truthful refusal  when a try answers "not run", the request has not run
 *
 * Switches that take out one protecting step each:
 *   UNCONDITIONAL_SENT    the update to sent does not name the version it expects
 *   NO_NONCE              a read-back compares the state but not the nonce
 *   RELEASE_FROM_SENT     another try may release a sent record as well as a claimed one
 *   NO_CLAIM_AGE_RULE     a refusal says "not run" however old the claim of the try is
 *   NO_RESEND_AGE_RULE    a refusal that knows nothing says "not run" however old the request is
 *
 * SKEWED_CLOCKS lets a try take any claim for old. At most once must hold all the same; the truth of
 * refusals is stated for bounded skew only and not checked then.
 */

#ifndef TRIES
#define TRIES 2
#endif
#ifndef FAULTS
#define FAULTS 2
#endif
#ifndef CALLS
#define CALLS 7
#endif

mtype = { Absent, Claimed, Sent, Done, Released };
mtype = { Ok, Conflict, Lost, Unavailable };
mtype = { Nothing, OwnClaim, OtherHolder };

/* The record in the platform; version 0 stands for its absence. */
mtype state = Absent;
byte version = 0;
byte nonce = 0;

/* Writes that take effect later, one for each try. */
bool lateFull[TRIES + 1];
byte lateVersion[TRIES + 1];
mtype lateState[TRIES + 1];

byte faults = FAULTS;
byte runs = 0;

/* Age of the claim of each try: 0 fresh, 1 half the patience, 2 the whole patience. */
byte age[TRIES + 1];
/* The time from which on resends are possible has passed. */
bool resendable = false;

inline apply(expected, newState, who) {
    if
    :: version == expected ->
        version++;
        state = newState;
        nonce = who;
        reply = Ok
    :: else ->
        reply = Conflict
    fi
}

inline write(expected, newState, who) {
    atomic {
        calls++;
        if
        :: apply(expected, newState, who)
        :: faults > 0 -> faults--; apply(expected, newState, who); reply = Lost
        :: faults > 0 -> faults--; reply = Lost
        :: faults > 0 && who == me && !lateFull[me] ->
            faults--;
            lateFull[me] = true;
            lateVersion[me] = expected;
            lateState[me] = newState;
            reply = Lost
        :: faults > 0 -> faults--; reply = Unavailable
        fi
    }
}

#ifdef NO_NONCE
#define MINE true
#else
#define MINE (seenNonce == me)
#endif

#ifdef RELEASE_FROM_SENT
#define MAY_RELEASE (seenState == Claimed || seenState == Sent)
#else
#define MAY_RELEASE (seenState == Claimed)
#endif

#ifdef SKEWED_CLOCKS
#define OLD_ENOUGH true
#else
#define OLD_ENOUGH (age[seenNonce] == 2)
#endif

#ifdef UNCONDITIONAL_SENT
#define SENT_EXPECTS version
#else
#define SENT_EXPECTS seenVersion
#endif

#ifdef NO_CLAIM_AGE_RULE
#define CLAIM_FRESH true
#else
#define CLAIM_FRESH (age[me] == 0)
#endif

#ifdef NO_RESEND_AGE_RULE
#define ONLY_TRY true
#else
#define ONLY_TRY (!resendable)
#endif

proctype Try(byte me) {
    mtype reply;
    mtype seenState = Absent;
    byte seenVersion = 0;
    byte seenNonce = 0;
    mtype known = Nothing;
    byte calls = 0;

    /* All but the first are resends. */
    atomic { (me == 1 || resendable); age[me] = 0 };

claim:
    if
    :: calls >= CALLS -> goto refuse
    :: else
    fi;
    /* The age counts from the first write of a claim, since a delayed one may take effect last. */
    write(seenVersion, Claimed, me);
    if
    :: reply == Ok -> atomic { seenState = Claimed; seenVersion++; seenNonce = me }; goto evaluate
    :: reply == Conflict -> known = OtherHolder; goto readBack
    :: reply == Lost -> goto readBack
    :: reply == Unavailable -> goto refuse
    fi;

readBack:
    if
    :: calls >= CALLS -> goto refuse
    :: goto refuse /* the deadline passed */
    :: atomic { faults > 0 -> faults--; calls++ }; goto readBack
    :: atomic {
           calls < CALLS ->
           calls++;
           seenState = state;
           seenVersion = version;
           seenNonce = nonce
       }
    fi;

evaluate:
    if
    :: seenState == Absent || seenState == Released -> known = Nothing; goto claim
    :: seenState == Done -> goto answered
    :: (seenState == Claimed || seenState == Sent) && MINE -> known = OwnClaim
    :: (seenState == Claimed || seenState == Sent) && !MINE ->
        known = OtherHolder;
        if
        :: MAY_RELEASE && OLD_ENOUGH && calls < CALLS ->
            write(seenVersion, Released, seenNonce);
            if
            :: reply == Ok -> atomic { seenState = Released; seenVersion++ }; goto evaluate
            :: reply == Conflict || reply == Lost -> goto readBack
            :: reply == Unavailable -> goto refuse
            fi
        :: goto answered /* in progress, or the outcome is unknown */
        fi
    fi;

    if
    :: seenState == Sent -> goto send
    :: seenState == Claimed && calls >= CALLS -> goto refuse
    :: seenState == Claimed && calls < CALLS
    fi;
    write(SENT_EXPECTS, Sent, me);
    if
    :: reply == Ok -> atomic { seenState = Sent; seenVersion++ }
    :: reply == Conflict -> known = OtherHolder; goto readBack
    :: reply == Lost -> goto readBack
    :: reply == Unavailable -> goto refuse
    fi;

send:
    if
    :: goto settle /* the deadline passed, or the server shed the request: certainly not run */
    :: runs++ -> assert(runs <= 1); goto answered /* the reply is lost: the record stays sent */
    :: runs++ -> assert(runs <= 1)
    fi;
    write(seenVersion, Done, me);
    goto answered;

refuse:
    atomic {
        if
        :: known == OwnClaim && CLAIM_FRESH ->
#ifndef SKEWED_CLOCKS
            assert(runs == 0)
#else
            skip
#endif
        :: known == Nothing && ONLY_TRY ->
            assert(runs == 0)
        :: else -> skip /* answered as unknown */
        fi
    };

settle:
    /* The record is released in the background; the try never sends from here on. */
    if
    :: atomic { seenState = state; seenVersion = version; seenNonce = nonce }
    :: goto answered /* a crash, or the platform is down for good */
    fi;
    if
    :: seenNonce == me && (seenState == Claimed || seenState == Sent) && calls < CALLS + 2 ->
        write(seenVersion, Released, me);
        if
        :: reply == Ok -> goto answered
        :: else -> goto settle
        fi
    :: else
    fi;

answered:
    skip
}

/* Delivers late writes at any time. */
proctype Network() {
    byte i;
    mtype reply;
end:
    do
    :: atomic {
           select(i : 1 .. TRIES);
           if
           :: lateFull[i] ->
               lateFull[i] = false;
               apply(lateVersion[i], lateState[i], i);
               lateVersion[i] = 0;
               lateState[i] = 0
           :: else
           fi;
           i = 0
       }
    od
}

proctype Time() {
    byte i;
end:
    do
    :: atomic {
           select(i : 1 .. TRIES);
           if
           :: age[i] < 2 -> age[i]++
           :: else
           fi;
           i = 0
       }
    :: !resendable -> resendable = true
    od
}

init {
    byte i = 1;
    atomic {
        run Network();
        run Time();
        do
        :: i <= TRIES -> run Try(i); i++
        :: else -> break
        od;
        i = 0
    }
}
