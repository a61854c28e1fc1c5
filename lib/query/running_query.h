#ifndef PERIDOTWHEEL_LIB_QUERY_RUNNING_QUERY_H
#define PERIDOTWHEEL_LIB_QUERY_RUNNING_QUERY_H

#include "attempt.h"
#include "peridotwheel/query/group_progress.h"
#include "peridotwheel/query/reply_merger.h"
#include "peridotwheel/support/earliest_timer.h"
#include "scatter_plan.h"
#include "slot_tracker.h"

#include <boost/container/small_vector.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace peridotwheel {

struct engine_state;

/// One query from its scatter to its answer.
class running_query : public std::enable_shared_from_this<running_query>
{
public:
    running_query(engine_state &state, query_request request, answer_hook done);

    void start();
    /// Ends the query without an answer; used when the engine is destroyed.
    void endWithoutAnswer();

    void onOutcome(attempt &a, const reply_headers &headers, const http_outcome &outcome);
    void onReturned(attempt &a);
    /// Called when the server of \p a is suspect and \p a has been in flight for longer than the
    /// silence timeout, so that no reply is expected.
    void onServerSuspected(const attempt &a);

    const query_request &request() const { return m_request; }
    index_version version() const { return m_version.value_or(index_version()); }
    time_point answerDeadline() const { return m_answerDeadline; }

private:
    /// The progress of one group of shards.
    struct group_state : group_progress
    {
        const shard_group *group = nullptr;
        std::vector<shard_id> shards;
        boost::container::small_vector<const backend_server *, 4> triedServers;
        unsigned attemptCount = 0;
        /// Counts the query as waiting for the service until the group is answered.
        slot_guard slot;
        /// At least one attempt was sent, so that a further one is an extra request.
        bool sentBefore = false;
        unsigned backoffCount = 0;
    };
    using group_list = std::vector<std::size_t>;
    enum class failure_cause { NotSent, NotRun, VersionLost, MayHaveRun };

    /// Pins the shard map and adds a group for each set of shards to ask. Returns false if the
    /// query was refused.
    bool pinShardMap();
    bool addRequestedShards(const scatter_plan &sharded);
    void installCancelHook();
    bool addRequestedGroups(const scatter_plan *sharded);
    void addGroup(const shard_group &group, std::vector<shard_id> shards);
    void dispatch(const group_list &groups, attempt_kind kind);
    std::shared_ptr<backend_server> chooseServer(const group_state &g, std::uint64_t scatter,
                                                 attempt_kind kind);
    attempt &attemptFor(const std::shared_ptr<backend_server> &server, std::uint64_t scatter,
                        std::vector<std::shared_ptr<attempt>> &started, attempt_kind kind,
                        bool plain);
    void submit(const std::vector<std::shared_ptr<attempt>> &started);
    void probeSuspects();
    void planHedge(group_state &g, const backend_server &server);
    void sendDueHedges(time_point now);
    attempt *pendingAttempt(std::size_t group) const;
    bool hasAlternative(const group_state &g) const;
    /// Takes a token for repeating \p first from the hedge or the retry budget. Returns false if
    /// the budget is exhausted.
    bool takeBudgetToken(const attempt &first, time_point now);
    /// Takes \p waiting, which was not sent yet, back from its server and retries it on another
    /// one.
    void moveToAnotherServer(attempt &waiting);

    /// Removes the attempt from the outstanding attempts of its groups.
    void markAttemptClosed(const attempt &a);
    void onReply(attempt &a, const reply_headers &headers, const http_outcome &outcome);
    void onFailure(const attempt &a, failure_cause cause);
    /// Decides how to continue after a failed attempt. Returns false if the query was restarted.
    bool failGroup(std::size_t index, failure_cause cause);
    void retry(std::size_t index, failure_cause cause);
    /// Schedules a retry of the group after a backoff, unless all replicas are leaving or
    /// `maxBackoffs` is reached.
    void scheduleBackoff(group_state &g);
    void withdrawUnneededAttempts();
    bool newerVersionKnown() const;
    void restart();

    void onTimer();
    void armTimer();
    /// Finishes the query if no further result can arrive; otherwise arms the timer for the next
    /// hedge, retry or the answer deadline.
    void finishOrArmTimer();
    void finish(bool atDeadline);
    query_answer makeAnswer(bool atDeadline);
    bool anyAttemptSent() const;
    void refuse(answer_kind kind, std::string detail);
    void deliver(query_answer answer);
    void releaseAttempts();
    void releaseSlots();

    engine_state &m_state;
    query_request m_request;
    answer_hook m_done;
    time_point m_startedAt;
    time_point m_answerDeadline;
    std::optional<index_version> m_version;
    std::vector<scatter_plan_ptr> m_plans;
    std::vector<group_state> m_groups;
    std::vector<std::shared_ptr<attempt>> m_attempts;
    std::optional<reply_merger> m_merger;
    earliest_timer m_timer;
    bool m_isStarting = false;
    bool m_finished = false;
    bool m_restarted = false;
    bool m_versionLost = false;
    bool m_anySent = false;
    bool m_ranSomewhere = false;
    /// Hedges, retries or probes were started, so that some shards may have more than one attempt.
    bool m_hasExtraAttempts = false;
};

} // namespace peridotwheel

#endif
