#ifndef PERIDOTWHEEL_LIMITS_ADMISSION_QUEUE_H
#define PERIDOTWHEEL_LIMITS_ADMISSION_QUEUE_H

#include "peridotwheel/configuration/class_spec.h"
#include "peridotwheel/limits/decaying_count.h"
#include "peridotwheel/limits/rank_floors.h"

#include <cstddef>
#include <cstdint>
#include <ext/pb_ds/assoc_container.hpp>
#include <ext/pb_ds/tree_policy.hpp>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace peridotwheel {

/// State of the slots for which queued requests wait.
struct slot_state
{
    std::uint32_t running = 0;
    /// Queries that may run at once; at least 1.
    std::uint32_t limit = 1;
    /// Expected time from the start of the offered request to its answer.
    duration serviceTime{};
    /// Mean time for which a query holds a slot; `serviceTime` if zero.
    duration slotTime{};
};

enum class refusal_reason {
    None,
    DeadlinePassed,
    TargetUnreachable, ///< Estimated wait plus service time exceeds the remaining time.
    QueueFull,         ///< The queue is full of requests that are at least as urgent.
};

/// Orders waiting queries by rank and refuses those that cannot meet their target. Deterministic:
/// time, slot state and random numbers are passed as arguments.
///
/// Order: the most urgent rank first, within a rank the earliest deadline first. A rank that has
/// waited for 1/floor dispatches is served next regardless of its urgency, so that a flood of
/// urgent requests leaves every other rank its floor.
///
/// Refusal: a request is refused on arrival if the estimated wait plus the service time exceeds its
/// remaining time. A request behind others of its rank may spend only a part of its slack
/// (remaining time minus service time) on waiting. This part shrinks to half in a lasting overload,
/// so that the queue of a rank stays short and the requests that run still have time left for slow
/// replies. A queued request is also refused once its remaining time is shorter than the service
/// time.
///
/// All operations cost O(log n) in queued requests and ranks; `setClasses` is linear in both.
class admission_queue
{
public:
    using ticket = std::uint64_t;

    struct options
    {
        std::size_t maxQueued = 256;
        /// If false, the queue is first in, first out over all ranks and refuses requests only when
        /// it is full or their deadline has passed. This is the baseline of the experiments.
        bool enabled = true;
    };

    struct offer_result
    {
        refusal_reason reason = refusal_reason::None;
        /// Valid if not refused.
        ticket id = 0;
        duration estimatedWait{};
        /// A queued request that was removed to make room.
        std::optional<ticket> displaced;
    };

    struct take_result
    {
        /// The request to run now, if any.
        std::optional<ticket> run;
        /// Requests that reached the front of the queue with too little time left.
        std::vector<ticket> refused;
    };

    explicit admission_queue(options o);

    /// Replaces the classes. Queued requests keep the rank with which they were offered; a rank
    /// without classes keeps its floor until its last request has left the queue.
    void setClasses(const std::map<class_name, class_spec> &classes);

    /// \p jitter is uniform in [0, 1). It varies the refusal threshold by up to a tenth either way,
    /// so that instances under the same overload do not alternate in step between refusing and
    /// admitting all requests.
    offer_result offer(class_rank rank, time_point deadline, time_point now,
                       const slot_state &slots, double jitter);

    /// Removes the next request to run. There must be a free slot for it.
    take_result take(time_point now);

    /// Removes requests whose remaining time is shorter than the service time.
    std::vector<ticket> expire(time_point now);
    /// Returns the earliest time at which `expire` would remove a request.
    std::optional<time_point> nextExpiry() const;

    /// Returns the delay after which a refused caller of \p rank should retry. It grows with the
    /// ratio of offered to served requests. \p jitter lengthens it by up to half, so that callers
    /// do not retry in step.
    duration retryAfter(class_rank rank, time_point now, double jitter) const;
    /// Returns the expected wait of a request of \p rank that is offered now with a deadline later
    /// than those of the queued requests of its rank.
    duration estimatedWait(class_rank rank, const slot_state &slots) const;

    std::size_t size() const { return m_order.size(); }

private:
    struct key
    {
        class_rank rank;
        /// The deadline, or a constant if the queue is first in, first out.
        time_point order;
        ticket id = 0;
        time_point deadline;
        duration serviceTime{};
        /// Admitted in spite of the estimate, to measure the service time again. Such a request may
        /// start until its deadline.
        bool probe = false;

        bool operator<(const key &other) const;
    };

    using order_tree =
            __gnu_pbds::tree<key, __gnu_pbds::null_type, std::less<key>, __gnu_pbds::rb_tree_tag,
                             __gnu_pbds::tree_order_statistics_node_update>;

    struct rank_state
    {
        bool configured = false;
        double floor = 0;
        std::size_t quota = 1;
        std::size_t queued = 0;
        /// Number of the dispatch from which the floor entitles the rank to be served next.
        double dueAtDispatch = 0;
        /// Moving average of the time for which the head of the rank's queue waits for its
        /// dispatch.
        double headWaitUs = 0;
        time_point headSince{};
        /// First refusal since the last admission.
        std::optional<time_point> refusingSince;
        decaying_count offered;
        decaying_count served;

        /// Returns the ratio of offered to served requests, which is about 1 while all are served.
        double overloadRatio(time_point now) const
        {
            return (offered.value(now) + 1) / (served.value(now) + 1);
        }
    };

    rank_state &stateOf(class_rank rank);
    void insert(const key &k, time_point now);
    void erase(const key &k);
    void updateQuota(class_rank rank, const rank_state &r);
    bool makeRoom(const key &k, offer_result &result);
    class_rank nextRank() const;
    void recordDispatch(class_rank rank, time_point now);
    refusal_reason checkAdmission(rank_state &r, key &k, offer_result &result, time_point now,
                                  const slot_state &slots, double jitter) const;
    double waitMicroseconds(const rank_state &r, std::size_t ahead, std::size_t sameRankAhead,
                            const slot_state &slots) const;
    bool tooLate(const key &k, time_point now) const;
    /// Returns the time after which the request is too late to start; `m_deadlines` is ordered by
    /// it.
    time_point latestStart(const key &k) const;
    static key firstKey(class_rank rank);
    static key lastKey(class_rank rank);

    options m_options;
    std::map<class_rank, rank_state> m_ranks;
    order_tree m_order;
    std::map<std::pair<time_point, ticket>, key> m_deadlines;
    std::set<std::pair<double, class_rank>> m_due;
    std::set<class_rank> m_overQuota;
    ticket m_nextTicket = 1;
    double m_dispatches = 0;
};

} // namespace peridotwheel

#endif
