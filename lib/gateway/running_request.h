#ifndef PERIDOTWHEEL_LIB_GATEWAY_RUNNING_REQUEST_H
#define PERIDOTWHEEL_LIB_GATEWAY_RUNNING_REQUEST_H

#include "gateway_state.h"
#include "peridotwheel/gateway/answer_policy.h"
#include "peridotwheel/support/earliest_timer.h"
#include "region_filter.h"
#include "request_trace.h"

#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <utility>
#include <vector>

namespace peridotwheel {

/// Returns the refusal of a request that \p decision does not grant.
refusal allotmentRefusal(const allotment_decision &decision);
/// Returns its reason as written to the log.
const char *allotmentRefusalReason(const allotment_decision &decision);

/// Runs one request from its arrival until it is answered exactly once. A plain request is a query
/// with one part whose reply is passed on; a gather has a part for each shard and merges the
/// replies.
class running_request : public std::enable_shared_from_this<running_request>
{
public:
    running_request(gateway_state &state, route_ptr r, configuration_version version,
                    const opaque_request &request, const caller_terms &terms,
                    const caller_identity &identity, std::shared_ptr<http_responder> client);

    /// Ends the request if its client disconnects, also while it waits for its allotment.
    void watchClient();
    /// Runs the request, or refuses it if it is not admitted.
    void start();
    /// Starts the request if \p decision grants it a token, and refuses it otherwise.
    void onAllotment(const allotment_decision &decision);
    /// Reports the progress of the query to admission control; to be called a few times a second.
    void reportProgress();
    /// Answers the request by \p end at the latest.
    void finishBy(time_point end);
    /// Ends the request without an answer, when the process stops.
    void drop();

private:
    /// An attempt that waits for a connection or for its reply.
    struct live_attempt
    {
        backend_server_ptr server;
        backend_attempt_ptr attempt;
    };

    struct used_connection
    {
        const backend_server *server;
        connection_number number;
    };

    /// State of one part, that is, of one service that the request needs.
    struct part
    {
        service_group_ptr group;
        std::vector<live_attempt> live;
        /// Servers that have already been chosen for an attempt.
        std::vector<const backend_server *> tried;
        /// Connections on which an attempt has ended.
        std::vector<used_connection> used;
        /// Ended attempts that were sent and not certainly rejected, so that they may have run.
        unsigned possibleRuns = 0;
        /// Ended attempts that reached a server, rejected ones included.
        unsigned receivedAttempts = 0;
        /// Whether an attempt was written to a server that has not stated that it did not run it.
        bool wasWritten = false;
        bool isAnswered = false;
        /// Whether no further attempt is made and no answer is expected.
        bool isGivenUp = false;
        /// Servers for the first attempt.
        placement_choice first;
        bool wasBudgetDenied = false;
        bool rejectedByFullServer = false;
        /// When to send a second attempt; absent if none is planned.
        std::optional<time_point> secondAttemptAt;
        answer_part result;
        /// Time until the answer, without the network round trip.
        duration served{};
        /// The last failure reply of a server.
        std::optional<http_reply> failure;

        bool isLikelyUnresponsive() const { return first.best && first.best->likelyUnresponsive; }
    };

    /// Time of a second attempt and index of its part.
    using due_attempt = std::pair<time_point, std::size_t>;

    enum class attempt_kind { First, Second, Retry };

    /// Returns whether admission control admits the request; refuses it if not.
    bool isAdmitted();
    void run();
    void reportEnd();
    query_progress progress() const;
    bool isGather() const { return m_route->gather.has_value(); }
    bool isIdempotent() const { return m_route->kind == request_kind::Idempotent; }
    void addParts();
    /// Refuses the request and returns true if too few parts can probably be answered in time.
    bool refuseIfCoverageUnlikely();
    void limitTo(time_point end);
    /// Returns the time to allow for an answer of the server \p best.
    duration timeNeeded(const placement &best) const;
    /// Chooses servers for the next attempt and a later second one; \p allowTried includes servers
    /// that were already tried.
    placement_choice choosePlacement(const part &p, bool allowTried) const;
    placement_choice choosePlacement(const part &p, bool allowTried, bool isPaced) const;
    /// Chooses servers for the first attempt, with paced servers in their share of the cases.
    placement_choice chooseFirstPlacement(const part &p) const;
    /// Decides by their pace which servers are preferred or avoided for a first attempt.
    void applyPace(const service_group &group, std::vector<placement_candidate> &candidates,
                   duration work) const;
    /// Returns whether an attempt at \p best can probably not be answered in time.
    bool isTooLate(const placement &best) const;
    /// Returns whether \p best may send too late for the target of a gather.
    bool isLimited(const placement &best) const;
    /// Sends an attempt for a part. Returns false if no server is available.
    bool sendAttempt(std::size_t index, attempt_kind kind);
    bool sendAttempt(std::size_t index, attempt_kind kind, const placement_choice &choice);
    void scheduleSecondAttempt(std::size_t index, const backend_server &server,
                               const placement &alternative);
    void setSecondAttempt(std::size_t index, time_point at);
    void giveUp(part &p);
    void onResult(std::size_t index, const backend_attempt_ptr &a, attempt_result result);
    void onAnswer(std::size_t index, duration served, attempt_result &result);
    duration sampleWork(const backend_server &server, const backend_attempt &a);
    /// Retries a part that has no live attempt left, or gives it up. \p mayHaveRun tells whether
    /// the last attempt may have run.
    void retry(std::size_t index, bool mayHaveRun);
    void traceSent(const backend_attempt &a);
    bool isFull(const backend_server &server) const;
    /// Takes an extra attempt from the budget; returns false if the budget is used up.
    bool takeExtraAttempt(part &p);
    void sendDueSecondAttempts(time_point now);
    /// Sends the second attempt of a part or, if the first one still waits for a connection, moves
    /// that one to another server.
    void sendSecondAttempt(std::size_t index, time_point now);
    void onTimer();
    void armTimer();
    /// Answers the request as soon as `decideAnswer` says so, and otherwise arms the timer.
    void answerIfDecided();
    parts_state partsState() const;
    bool isPending(const part &p) const { return !p.isAnswered && !p.isGivenUp; }
    /// Returns whether all live attempts of the part are at servers that are likely unresponsive.
    bool isStuck(const part &p, time_point now) const;
    /// Returns whether no pending part is likely to be answered.
    bool isStuck(time_point now) const;

    void answerGathered();
    void answerFailure();
    /// Returns the refusal for a request that failed without a server's reply to pass on.
    refusal ownFailure() const;
    /// Returns the retry delay for the caller: the longest one of the services whose part is not
    /// answered, and at least the time until enough servers accept requests.
    duration retryAfter() const;
    duration timeUntilServersAccept() const;
    void refuse(duration retryAfter, const char *text);
    void deliver(const http_reply &reply, const char *outcome);
    /// Counts the parts that are missing from the answer.
    missing_parts missingParts() const;
    /// Counts and logs the answer that was given at \p at.
    void recordOutcome(int status, const char *outcome, time_point at);
    /// Detaches the part's attempts. Attempts that have been sent may run until \p end.
    static void releaseAttempts(part &p, time_point end);
    /// Whether any attempt has been sent to a server.
    bool wasSent() const;
    void returnUnusedToken();
    void onClientGone();

    gateway_state &m_state;
    route_ptr m_route;
    /// Null if no team is known.
    team_ptr m_team;
    /// That of the team or, if it has none, of the route.
    class_rank m_rank;
    region_filter m_homes;
    /// Absent for plain requests.
    std::shared_ptr<admission_share> m_admission;
    query_number m_number;
    configuration_version m_version;
    std::shared_ptr<const outgoing_request> m_request;
    std::shared_ptr<http_responder> m_client;
    request_times m_times;
    std::vector<part> m_parts;
    /// Numbers of parts, kept up to date because each reply asks for them.
    std::size_t m_answered = 0;
    std::size_t m_givenUp = 0;
    /// Memory of the parts that are answered.
    std::size_t m_partBytes = 0;
    /// A part that was pending and not stuck when it was last looked at.
    mutable std::size_t m_awaited = 0;
    /// Due times of second attempts, earliest first. An entry whose time is no longer that of its
    /// part is void.
    std::priority_queue<due_attempt, std::vector<due_attempt>, std::greater<>> m_dueAttempts;
    request_trace m_trace;
    earliest_timer m_timer;
    /// Whether enough parts were answered before the end of the target.
    bool m_isWaitingForTargetEnd = false;
    /// Until the first attempts have been made.
    bool m_isStarting = true;
    /// The token of the team's allotment; absent if the team has none, or if it was returned.
    std::optional<allotment_token> m_token;
    bool m_isOver = false;
};

} // namespace peridotwheel

#endif
