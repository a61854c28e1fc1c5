#ifndef PERIDOTWHEEL_LIB_RELAY_RELAYED_QUERY_H
#define PERIDOTWHEEL_LIB_RELAY_RELAYED_QUERY_H

#include "peridotwheel/http/http_connection.h"
#include "peridotwheel/query/group_progress.h"
#include "peridotwheel/query/query.h"
#include "peridotwheel/relay/relay_message.h"
#include "peridotwheel/support/earliest_timer.h"
#include "relay_merger.h"
#include "relay_plan.h"

#include <memory>
#include <optional>
#include <vector>

namespace peridotwheel {

struct relay_state;

/// One query that is split between the local engine and the owners of connections, from the split
/// to the merged answer.
class relayed_query : public std::enable_shared_from_this<relayed_query>
{
public:
    relayed_query(relay_state &state, query_request request, answer_hook done);

    /// Pins the shard map and adds the groups to ask. Returns false if the query cannot be split
    /// and the local engine should refuse it.
    bool pinShardMap();
    /// Return the constructor's arguments of a query that could not be pinned.
    query_request takeRequest() { return std::move(m_request); }
    answer_hook takeHook() { return std::move(m_done); }
    void start();
    /// Ends the query without an answer; used when the executor is destroyed.
    void endWithoutAnswer();
    /// Fails the open parts at \p peer, which is dead or was removed from the member list.
    void onPeerDown(const relay_peer &peer);

private:
    enum class part_kind { First, Hedge, Retry };
    enum class failure_cause { NotRun, MayHaveRun };

    struct part
    {
        std::uint64_t id = 0;
        relay_peer_ptr peer; ///< Null: the local engine.
        part_kind kind = part_kind::First;
        std::vector<std::size_t> groups;
        std::vector<shard_id> shards;       ///< Ascending, with the numbers of plain services.
        std::vector<shard_id> plainNumbers; ///< Numbers of the plain services, in the order sent.
        time_point sentAt{};
        std::shared_ptr<query_cancellation> cancellation;
    };
    using part_ptr = std::shared_ptr<part>;

    /// The progress of one group of shards.
    struct group_state : group_progress
    {
        const relay_group *group = nullptr;
        std::vector<shard_id> shards;
        std::vector<const relay_peer *> triedTargets; ///< Null stands for the local engine.
        unsigned backoffCount = 0;
        bool mayHaveRun = false;
    };
    using group_list = std::vector<std::size_t>;

    struct target
    {
        relay_peer_ptr peer; ///< Null: the local engine.
    };

    bool addRequestedServices(const relay_plan *sharded);
    void addGroup(const relay_group &group, std::vector<shard_id> shards);
    std::optional<target> chooseTarget(const group_state &g, std::uint64_t dispatchId,
                                       const std::vector<part_ptr> &started);
    bool triedBefore(const group_state &g, const relay_peer *peer) const;
    bool locallyUsable(const group_state &g) const;
    bool hasAlternative(const group_state &g) const;
    void dispatch(const group_list &groups, part_kind kind);
    void planHedge(group_state &g);
    query_request partRequest(part &p) const;
    void send(const part_ptr &p);
    void sendLocally(const part_ptr &p, query_request request);

    void onRemoteOutcome(const part_ptr &p, const http_outcome &outcome);
    void onAnswer(const part_ptr &p, relay_answer answer);
    /// Returns whether the owner answered all shards of the group as not owned.
    static bool answeredNotOwned(const part &p, const group_state &g,
                                 const std::vector<shard_id> &notOwned);
    void onPartFailure(const part_ptr &p, failure_cause cause);
    /// Removes the part from the open parts. Returns false if it was no longer open or the query
    /// has finished.
    bool closePart(const part_ptr &p);
    /// Notes the failure of a part unless the group is done. Returns whether the group needs
    /// another attempt.
    bool failGroup(group_state &g, failure_cause cause);
    void retry(const group_list &groups);
    /// Schedules a retry after a backoff, at which all targets may be tried again, unless
    /// `maxBackoffs` is reached.
    void scheduleBackoff(group_state &g, double jitter);
    /// Returns whether the query may start again on the current version, which it may do once.
    bool mayRestart() const;
    void restart();
    /// Cancels open parts whose groups are all done.
    void cancelUnneededParts();
    void cancel(const part &p);

    void onTimer();
    void sendDueHedges(time_point now);
    void armTimer();
    /// Finishes the query if it is complete, at its answer deadline or has no open group; otherwise
    /// arms the timer for the next hedge, retry or the answer deadline.
    void finishOrArmTimer();
    void finish(bool atDeadline);
    query_answer makeAnswer(bool atDeadline);

    relay_state &m_state;
    query_request m_request;
    answer_hook m_done;
    time_point m_startedAt;
    time_point m_answerDeadline;
    std::optional<index_version> m_version;
    std::vector<relay_plan_ptr> m_plans;
    std::vector<group_state> m_groups;
    std::vector<part_ptr> m_openParts;
    std::optional<relay_merger> m_merger;
    earliest_timer m_timer;
    bool m_isStarting = false;
    bool m_finished = false;
    bool m_restarted = false;
    bool m_anySent = false;
    bool m_ranSomewhere = false;
};

} // namespace peridotwheel

#endif
