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
 *   at most once      executions <= 1
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
 * NO_STATUS_PAGE leaves out the status page, which keeps three tries small enough.
 */

#ifndef TRIES
#define TRIES 2
#endif
#ifndef FAULTS
#define FAULTS 2
#endif
#ifndef MAX_CALLS
#define MAX_CALLS 7
#endif

/* Time of issue: all tries are copies of the first but for the second of three. */
#if TRIES == 3
#define ISSUE_TIME(i) (1 + (i == 2))
#else
#define ISSUE_TIME(i) 1
#endif

mtype = { Absent, Claimed, Sent, Done, Released };
mtype = { Ok, Conflict, Lost, Unavailable };

/* The record in the platform; version 0 stands for its absence. */
mtype state = Absent;
byte version = 0;
byte nonce = 0;
byte sealedUpTo = 0;

/* Writes that take effect later, one for each try. */
bool hasDelayedWrite[TRIES + 1];
byte delayedExpectedVersion[TRIES + 1];
mtype delayedState[TRIES + 1];
byte delayedSeal[TRIES + 1];

byte faultsLeft = FAULTS;
byte executions = 0;
/* Latest time of issue that was answered as not run, and earliest that ran. */
byte latestNotRunIssueTime = 0;
byte executedIssueTime = 9;

inline apply(expected, newState, writer, seal) {
    if
    :: version == expected ->
        version++;
        state = newState;
        nonce = writer;
        sealedUpTo = seal;
        reply = Ok
    :: else ->
        reply = Conflict
    fi
}

inline write(expected, newState, writer, seal) {
    atomic {
        calls++;
        if
        :: apply(expected, newState, writer, seal)
        :: faultsLeft > 0 -> faultsLeft--; apply(expected, newState, writer, seal); reply = Lost
        :: faultsLeft > 0 -> faultsLeft--; reply = Lost
        :: faultsLeft > 0 && !hasDelayedWrite[me] ->
            faultsLeft--;
            hasDelayedWrite[me] = true;
            delayedExpectedVersion[me] = expected;
            delayedState[me] = newState;
            delayedSeal[me] = seal;
            reply = Lost
        :: faultsLeft > 0 -> faultsLeft--; reply = Unavailable
        fi
    }
}

inline read() {
    seenState = state;
    seenVersion = version;
    seenNonce = nonce;
    seenSeal = sealedUpTo
}

inline executeRequest() {
    atomic {
        executions++;
        assert(executions <= 1);
        assert(issueTime > latestNotRunIssueTime);
        executedIssueTime = issueTime
    }
}

/* A later try may have run on purpose; then only the earlier ones did not. */
inline answerNotRun() {
    atomic {
        assert(executedIssueTime > issueTime);
        if
        :: issueTime > latestNotRunIssueTime -> latestNotRunIssueTime = issueTime
        :: else
        fi
    }
}

#ifdef NO_NONCE
#define HAS_OWN_NONCE true
#else
#define HAS_OWN_NONCE (seenNonce == me)
#endif

#ifdef TAKE_OVER_SENT
#define MAY_TAKE_OVER (seenState == Claimed || seenState == Sent)
#else
#define MAY_TAKE_OVER (seenState == Claimed)
#endif

#ifdef UNCONDITIONAL_SENT
#define SENT_EXPECTED_VERSION version
#else
#define SENT_EXPECTED_VERSION seenVersion
#endif

#ifdef NO_SEAL
#define SEALED false
#else
#define SEALED (issueTime <= seenSeal)
#endif

#ifdef SEAL_DROPPED
#define KEPT_SEAL 0
#else
#define KEPT_SEAL seenSeal
#endif

inline raiseSeal() {
    if
    :: issueTime > seenSeal -> seenSeal = issueTime
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
    byte issueTime = ISSUE_TIME(me);

claim:
    if
    :: calls >= MAX_CALLS -> goto outcomeUnknown
    :: else
    fi;
    write(seenVersion, Claimed, me, KEPT_SEAL);
    if
    :: reply == Ok ->
        atomic { seenState = Claimed; seenVersion++; seenNonce = me; seenSeal = KEPT_SEAL };
        goto evaluate
    :: reply == Conflict || reply == Lost -> goto readBack
    :: reply == Unavailable -> goto outcomeUnknown
    fi;

readBack:
    if
    :: calls >= MAX_CALLS -> goto outcomeUnknown
    :: goto outcomeUnknown /* the deadline passed: answered as unknown */
    :: atomic { faultsLeft > 0 -> faultsLeft--; calls++ }; goto readBack
    :: atomic { calls < MAX_CALLS -> calls++; read() }
    fi;

evaluate:
    if
    :: seenState == Absent -> goto claim
    :: seenState == Released && !SEALED -> goto claim
    :: seenState == Released && SEALED -> answerNotRun(); goto answered
    :: seenState == Done -> goto answered
    :: (seenState == Claimed || seenState == Sent) && HAS_OWN_NONCE
    :: (seenState == Claimed || seenState == Sent) && !HAS_OWN_NONCE ->
        if
        :: MAY_TAKE_OVER && !sealing && !SEALED -> goto claim
        :: goto answered /* in progress, or the outcome is unknown */
        fi
    fi;

    if
    :: sealing -> goto seal
    :: !sealing && seenState == Sent -> goto send
    :: !sealing && seenState == Claimed && calls >= MAX_CALLS -> goto outcomeUnknown
    :: !sealing && seenState == Claimed && calls < MAX_CALLS
    fi;
    write(SENT_EXPECTED_VERSION, Sent, me, seenSeal);
    if
    :: reply == Ok -> atomic { seenState = Sent; seenVersion++ }
    :: reply == Conflict || reply == Lost -> goto readBack
    :: reply == Unavailable -> goto outcomeUnknown
    fi;

send:
    if
    :: sealing = true; goto seal /* refused by admission, or shed: certainly not run */
    :: executeRequest(); goto answered /* the reply is lost: the record stays sent */
    :: executeRequest()
    fi;
    write(seenVersion, Done, me, seenSeal);
    goto answered;

seal:
    if
    :: calls >= MAX_CALLS -> goto outcomeUnknown
    :: else
    fi;
    atomic { raiseSeal() };
    write(seenVersion, Released, me, seenSeal);
    if
    :: reply == Ok -> answerNotRun(); goto answered
    :: reply == Conflict || reply == Lost -> goto readBack
    :: reply == Unavailable
    fi;

outcomeUnknown:
    /* Answered as unknown. The record is sealed in the background; the try never sends from here on. */
#ifdef UNSEALED_REFUSAL
    if
    :: !sealing -> answerNotRun()
    :: else
    fi;
#endif
    if
    :: atomic { read() }
    :: goto answered /* a crash, or the platform is down for good */
    fi;
    if
    :: seenNonce == me && (seenState == Claimed || seenState == Sent) && calls < MAX_CALLS + 2 ->
        atomic { raiseSeal() };
        write(seenVersion, Released, me, seenSeal);
        if
        :: reply == Ok -> goto answered
        :: else -> goto outcomeUnknown
        fi
    :: else
    fi;

answered:
    skip
}

/* A status page that seals what nobody runs; it reads back before it answers. */
proctype StatusPage() {
    mtype reply;
    mtype seenState;
    byte seenVersion;
    byte seenNonce;
    byte seenSeal;
    byte calls = 0;
    byte me = 0;
    byte issueTime = 1;

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
        :: seenState == Released && issueTime <= seenSeal -> answerNotRun()
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
           :: hasDelayedWrite[i] ->
               hasDelayedWrite[i] = false;
               apply(delayedExpectedVersion[i], delayedState[i], i, delayedSeal[i]);
               delayedExpectedVersion[i] = 0;
               delayedState[i] = 0;
               delayedSeal[i] = 0
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
#ifndef NO_STATUS_PAGE
        run StatusPage();
#endif
        do
        :: i <= TRIES -> run Try(i); i++
        :: else -> break
        od;
        i = 0
    }
}
