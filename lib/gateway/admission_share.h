#ifndef PERIDOTWHEEL_LIB_GATEWAY_ADMISSION_SHARE_H
#define PERIDOTWHEEL_LIB_GATEWAY_ADMISSION_SHARE_H

#include "peridotwheel/configuration/class_spec.h"
#include "peridotwheel/support/units.h"

#include <map>
#include <optional>

namespace peridotwheel {

/// What each rank offers and is guaranteed, as shares of all offered work.
struct rank_demand
{
    double offered = 0;
    /// Least part of the admitted work that the rank gets if it offers as much.
    double floor = 0;
};

using rank_demands = std::map<class_rank, rank_demand>;

/// Share of the queries of each rank that run if \p admitted of all offered work does: the most
/// urgent rank first, but for the floors of the others.
std::map<class_rank, double> divideAdmission(double admitted, const rank_demands &demands);

/// What the shards did with a query so far.
struct query_progress
{
    /// Time that each part takes at a server without a queue.
    duration work{};
    /// How long its quicker parts were queued; absent if no server took a part.
    std::optional<duration> queueingDelay;
    /// Share of its parts that full servers rejected.
    double rejectedShare = 0;
};

/// The share of the offered queries that this instance lets through to one set of shards.
///
/// Answers the load of floods. The shards are shared with other instances and their capacity is not
/// known, so that the share follows the time for which queries are queued at the shards, and keeps
/// it at a small part of the shortest target. The queueing of a query is that of its quicker parts:
/// single slow, paused or silent servers do not move it, work that queues at all shards does.
///
/// It is a share and not a number of queries, since all instances meet the same queues: each then
/// turns away the same part of its callers, also where an instance runs less than one query at a
/// time.
class admission_share
{
public:
    /// \p classes must not be empty.
    explicit admission_share(const std::map<class_name, class_spec> &classes);
    void setClasses(const std::map<class_name, class_spec> &classes);
    /// Whether a query runs that works for \p work at each shard. \p chance is uniform in [0, 1).
    bool admit(class_rank rank, duration work, double chance, time_point now);
    /// A query that ran has ended.
    void onQueryEnded(const query_progress &query, time_point now);
    /// A query runs. Told a few times a second: in a sudden flood the first queries end only after
    /// the time that it has queued.
    void onQueryRunning(const query_progress &query, time_point now);
    /// Whether `onQueryRunning` can learn from a query that has run for \p age.
    bool learnsFrom(duration age) const { return age > m_queueingTarget; }
    /// When a refused query had better come back; \p chance spreads the callers.
    duration retryAfter(double chance) const;

    double share() const { return m_share; }
    /// Queueing in the last interval.
    duration queueing() const { return scaled(m_queueingTarget, 1 + m_queueingExcess); }

private:
    /// Adjusts the share once in each interval.
    void adjust(time_point now);
    /// Excess of the present interval over the wanted queueing.
    double updateExcess();
    void step(double excess, time_point now);
    void grow(double excess, time_point now);
    void shrink(double factor);
    void addSample(const query_progress &query, time_point now);
    void decay(time_point now);
    double totalOffered() const;

    std::map<class_rank, double> m_floors;
    /// Queueing at which the share stays as it is.
    duration m_queueingTarget{};
    /// Work offered by rank, and work finished, in the recent past; only the proportions matter.
    std::map<class_rank, double> m_offered;
    double m_finished = 0;
    time_point m_decayedAt{};
    double m_share = 1;
    /// Sums over the samples of the present interval.
    duration m_queueingSum{};
    double m_rejectedSum = 0;
    int m_samples = 0;
    int m_queueSamples = 0;
    /// Excess of the queueing alone, as last known.
    double m_queueingExcess = -1;
    time_point m_intervalEnd{};
    double m_lastExcess = 0;
    time_point m_lastStepAt{};
    /// When queries were last queued for a part of the wanted time.
    time_point m_lastQueueingAt{};
};

} // namespace peridotwheel

#endif
