/*
 * Claim protocol of one non-repeatable request (docs/design.md, section 6.6).
 *
 * Several tries (the request, copies of it and a deliberate later try, at different instances)
 * update the same claim record in the platform's store. A try may start at any time, also after
 * another was refused. A write may be refused, lose its reply before or after taking effect, or
 * take effect later. A pause or a crash of a try is a prefix of some interleaving, and all
 * interleavings are explored. Any claim may be treated as expired, so that neither property depends
 * on a clock.
 *
 * Properties:
 *   at most once      executions <= 1
 *   truthful refusal  if a try was answered as not run, it has not run and no copy of it runs later
 *
 * Each of these switches leaves out one protective step:
 *   UNCONDITIONAL_SENT    the update to Sent does not depend on the version that the try has read
 *   NO_NONCE              a read-back compares the state but not the nonce
 *   TAKE_OVER_SENT        another try may take over a Sent record as well as a Claimed one
 *   NO_SEAL               a copy of a sealed try may claim the Released record again
 *   UNSEALED_REFUSAL      a try that ends before it has sent answers "not run" without a seal
 *   SEAL_DROPPED          a later claim overwrites the seal of earlier tries (needs TRIES=3)
 *
 * NO_STATUS_PAGE leaves out the status page, so that the state space of three tries stays small
 * enough.
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

/* Time of issue of try i. All tries are copies of one request, except that with three tries the
 * second is a deliberate later one. */
#if TRIES == 3
#define ISSUE_TIME(i) (1 + (i == 2))
#else
#define ISSUE_TIME(i) 1
#endif

mtype = { Absent, Claimed, Sent, Done, Released };
mtype = { Ok, Conflict, Lost, Unavailable };

/* The claim record in the platform's store; version 0 means that it does not exist. The seal is the
 * latest time of issue for which the record may not be claimed again. */
mtype state = Absent;
byte version = 0;
byte nonce = 0;
byte sealedUpTo = 0;

/* Delayed writes, at most one for each try. */
bool hasDelayedWrite[TRIES + 1];
byte delayedExpectedVersion[TRIES + 1];
mtype delayedState[TRIES + 1];
byte delayedSeal[TRIES + 1];

byte faultsLeft = FAULTS;
byte executions = 0;
/* Latest time of issue that was answered as not run, and the time of issue of the try that ran; 9,
 * later than any time of issue, while none has run. */
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

/* Answers that the try has not run. A deliberate later try may have run nevertheless, but no
 * copy of this try or of an earlier one. */
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
    :: goto outcomeUnknown /* deadline exceeded: answered as unknown */
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
        :: goto answered /* answered as in progress or as unknown */
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
    :: sealing = true; goto seal /* rejected by admission control or load shedding: has not run */
    :: executeRequest(); goto answered /* the reply is lost: the record stays Sent */
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
    /* Answered as unknown. The record is sealed in the background; the try does not send the
     * request after this point. */
#ifdef UNSEALED_REFUSAL
    if
    :: !sealing -> answerNotRun()
    :: else
    fi;
#endif
    if
    :: atomic { read() }
    :: goto answered /* a crash, or a permanent outage of the platform */
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

/* A status page: seals the record unless it is Sent or Done, and reads it back before answering. */
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

/* Applies delayed writes at any time. */
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
