/*
 * Claim protocol of one non-repeatable request (docs/design.md, section 6.6).
 *
 * Several tries (the request, copies of it and a deliberate later try, at different instances) work on
 * one record of the platform. They start at any time, also after a refusal of another. A write may be
 * refused, lose its reply before or after its effect, or take effect later. A pause or a crash of a
 * try is a prefix of some interleaving, and all of them are explored. Any claim may be taken for old,
 * so that neither property depends on a clock.
 *
 * Properties:
 *   at most once      runs <= 1
 *   truthful refusal  a try that was answered as not run has not run and no copy of it runs later
 *
 * Switches that take out one protecting step each:
 *   UNCONDITIONAL_SENT    the update to sent does not name the version it expects
 *   NO_NONCE              a read-back compares the state but not the nonce
 *   TAKE_OVER_SENT        another try may take over a sent record as well as a claimed one
 *   NO_SEAL               a released record may be claimed anew by a copy
 *   UNSEALED_REFUSAL      a try that ends before its run answers "not run" without a seal
 *   SEAL_DROPPED          a later claim forgets the seal of earlier tries (needs TRIES=3)
 *
 * NO_PAGE leaves out the status page, which keeps three tries small enough.
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

/* Time of issue: all tries are copies of the first but for the second of three. */
#if TRIES == 3
#define ISSUE(i) (1 + (i == 2))
#else
#define ISSUE(i) 1
#endif

mtype = { Absent, Claimed, Sent, Done, Released };
mtype = { Ok, Conflict, Lost, Unavailable };

/* The record in the platform; version 0 stands for its absence. */
mtype state = Absent;
byte version = 0;
byte nonce = 0;
byte sealedUpTo = 0;

/* Writes that take effect later, one for each try. */
bool lateFull[TRIES + 1];
byte lateVersion[TRIES + 1];
mtype lateState[TRIES + 1];
byte lateSeal[TRIES + 1];

byte faults = FAULTS;
byte runs = 0;
/* Latest time of issue that was answered as not run, and earliest that ran. */
byte denied = 0;
byte ranIssue = 9;

inline apply(expected, newState, who, seal) {
    if
    :: version == expected ->
        version++;
        state = newState;
        nonce = who;
        sealedUpTo = seal;
        reply = Ok
    :: else ->
        reply = Conflict
    fi
}

inline write(expected, newState, who, seal) {
    atomic {
        calls++;
        if
        :: apply(expected, newState, who, seal)
        :: faults > 0 -> faults--; apply(expected, newState, who, seal); reply = Lost
        :: faults > 0 -> faults--; reply = Lost
        :: faults > 0 && !lateFull[me] ->
            faults--;
            lateFull[me] = true;
            lateVersion[me] = expected;
            lateState[me] = newState;
            lateSeal[me] = seal;
            reply = Lost
        :: faults > 0 -> faults--; reply = Unavailable
        fi
    }
}

inline read() {
    seenState = state;
    seenVersion = version;
    seenNonce = nonce;
    seenSeal = sealedUpTo
}

inline runIt() {
    atomic {
        runs++;
        assert(runs <= 1);
        assert(issue > denied);
        ranIssue = issue
    }
}

/* A later try may have run on purpose; then only the earlier ones did not. */
inline deny() {
    atomic {
        assert(ranIssue > issue);
        if
        :: issue > denied -> denied = issue
        :: else
        fi
    }
}

#ifdef NO_NONCE
#define MINE true
#else
#define MINE (seenNonce == me)
#endif

#ifdef TAKE_OVER_SENT
#define MAY_TAKE_OVER (seenState == Claimed || seenState == Sent)
#else
#define MAY_TAKE_OVER (seenState == Claimed)
#endif

#ifdef UNCONDITIONAL_SENT
#define SENT_EXPECTS version
#else
#define SENT_EXPECTS seenVersion
#endif

#ifdef NO_SEAL
#define SEALED false
#else
#define SEALED (issue <= seenSeal)
#endif

#ifdef SEAL_DROPPED
#define KEPT_SEAL 0
#else
#define KEPT_SEAL seenSeal
#endif

inline raiseSeal() {
    if
    :: issue > seenSeal -> seenSeal = issue
    :: else
    fi
}

proctype Try(byte me) {
    mtype reply;
    mtype seenState = Absent;
    byte seenVersion = 0;
    byte seenNonce = 0;
    byte seenSeal = 0;
    byte calls = 0;
    bool sealing = false;
    byte issue = ISSUE(me);

claim:
    if
    :: calls >= CALLS -> goto settle
    :: else
    fi;
    write(seenVersion, Claimed, me, KEPT_SEAL);
    if
    :: reply == Ok ->
        atomic { seenState = Claimed; seenVersion++; seenNonce = me; seenSeal = KEPT_SEAL };
        goto evaluate
    :: reply == Conflict || reply == Lost -> goto readBack
    :: reply == Unavailable -> goto settle
    fi;

readBack:
    if
    :: calls >= CALLS -> goto settle
    :: goto settle /* the deadline passed: answered as unknown */
    :: atomic { faults > 0 -> faults--; calls++ }; goto readBack
    :: atomic { calls < CALLS -> calls++; read() }
    fi;

evaluate:
    if
    :: seenState == Absent -> goto claim
    :: seenState == Released && !SEALED -> goto claim
    :: seenState == Released && SEALED -> deny(); goto answered
    :: seenState == Done -> goto answered
    :: (seenState == Claimed || seenState == Sent) && MINE
    :: (seenState == Claimed || seenState == Sent) && !MINE ->
        if
        :: MAY_TAKE_OVER && !sealing && !SEALED -> goto claim
        :: goto answered /* in progress, or the outcome is unknown */
        fi
    fi;

    if
    :: sealing -> goto seal
    :: !sealing && seenState == Sent -> goto send
    :: !sealing && seenState == Claimed && calls >= CALLS -> goto settle
    :: !sealing && seenState == Claimed && calls < CALLS
    fi;
    write(SENT_EXPECTS, Sent, me, seenSeal);
    if
    :: reply == Ok -> atomic { seenState = Sent; seenVersion++ }
    :: reply == Conflict || reply == Lost -> goto readBack
    :: reply == Unavailable -> goto settle
    fi;

send:
    if
    :: sealing = true; goto seal /* refused by admission, or shed: certainly not run */
    :: runIt(); goto answered /* the reply is lost: the record stays sent */
    :: runIt()
    fi;
    write(seenVersion, Done, me, seenSeal);
    goto answered;

seal:
    if
    :: calls >= CALLS -> goto settle
    :: else
    fi;
    atomic { raiseSeal() };
    write(seenVersion, Released, me, seenSeal);
    if
    :: reply == Ok -> deny(); goto answered
    :: reply == Conflict || reply == Lost -> goto readBack
    :: reply == Unavailable
    fi;

settle:
    /* Answered as unknown. The record is sealed in the background; the try never sends from here on. */
#ifdef UNSEALED_REFUSAL
    if
    :: !sealing -> deny()
    :: else
    fi;
#endif
    if
    :: atomic { read() }
    :: goto answered /* a crash, or the platform is down for good */
    fi;
    if
    :: seenNonce == me && (seenState == Claimed || seenState == Sent) && calls < CALLS + 2 ->
        atomic { raiseSeal() };
        write(seenVersion, Released, me, seenSeal);
        if
        :: reply == Ok -> goto answered
        :: else -> goto settle
        fi
    :: else
    fi;

answered:
    skip
}

/* A status page that seals what nobody runs; it reads back before it answers. */
proctype Page() {
    mtype reply;
    mtype seenState;
    byte seenVersion;
    byte seenNonce;
    byte seenSeal;
    byte calls = 0;
    byte me = 0;
    byte issue = 1;

    atomic { read() };
    if
    :: seenState == Absent || seenState == Claimed || seenState == Released ->
        atomic { raiseSeal() };
        write(seenVersion, Released, 0, seenSeal)
    :: else
    fi;
    atomic {
        read();
        if
        :: seenState == Released && issue <= seenSeal -> deny()
        :: else
        fi
    }
}

/* Delivers late writes at any time. */
proctype Network() {
    byte i;
    mtype reply;
end:
    do
    :: atomic {
           select(i : 0 .. TRIES);
           if
           :: lateFull[i] ->
               lateFull[i] = false;
               apply(lateVersion[i], lateState[i], i, lateSeal[i]);
               lateVersion[i] = 0;
               lateState[i] = 0;
               lateSeal[i] = 0
           :: else
           fi;
           i = 0;
           reply = 0
       }
    od
}

init {
    byte i = 1;
    atomic {
        run Network();
#ifndef NO_PAGE
        run Page();
#endif
        do
        :: i <= TRIES -> run Try(i); i++
        :: else -> break
        od;
        i = 0
    }
}
