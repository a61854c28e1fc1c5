#ifndef PERIDOTWHEEL_LIB_GATEWAY_ADMISSION_SHARE_H
#define PERIDOTWHEEL_LIB_GATEWAY_ADMISSION_SHARE_H

#include "peridotwheel/configuration/class_spec.h"
#include "peridotwheel/support/units.h"

#include <map>
#include <optional>

namespace peridotwheel {

/// Offered and guaranteed work of one rank, as shares of all offered work.
struct rank_demand
{
    double offered = 0;
    /// Minimum share of the admitted work that the rank gets if it offers that much.
    double floor = 0;
};

using rank_demands = std::map<class_rank, rank_demand>;

/// Returns the share of each rank's queries to admit if the share \p admitted of all offered work
/// can run. Ranks are served in order of urgency, after the floors of the other ranks are reserved.
std::map<class_rank, double> divideAdmission(double admitted, const rank_demands &demands);

/// What the shards have done with a query so far.
struct query_progress
{
    /// Service time of each part at a server without a queue.
    duration work{};
    /// Queueing delay of its quicker parts; absent if no server accepted a part.
    std::optional<duration> queueingDelay;
    /// Share of its parts that servers with full queues rejected.
    double rejectedShare = 0;
};

/// Admission control for one set of shards: the share of the offered queries that this instance
/// admits.
///
/// Protects the shards during overload. They are shared with other instances and their capacity is
/// not known, so a feedback controller adjusts the share such that the queueing delay at the shards
/// stays at a small fraction of the shortest latency target. The queueing delay of a query is that
/// of its quicker parts: single slow, paused or silent servers do not change it, while work that
/// queues at all shards does.
///
/// The controlled value is a share and not a number of concurrent queries, because all instances
/// see the same queues: each then refuses the same share of its callers, even where an instance
/// runs less than one query at a time on average.
class admission_share
{
public:
    /// \p classes must not be empty.
    explicit admission_share(const std::map<class_name, class_spec> &classes);
    void setClasses(const std::map<class_name, class_spec> &classes);
    /// Returns whether to admit a query with service time \p work at each shard. \p chance is a
    /// random number, uniform in [0, 1).
    bool admit(class_rank rank, duration work, double chance, time_point now);
    /// Records the end of an admitted query.
    void onQueryEnded(const query_progress &query, time_point now);
    /// Records the progress of a query that is still running; to be called a few times a second.
    /// In a sudden overload the first queries end only after their whole queueing delay, which is
    /// too late to react.
    void onQueryRunning(const query_progress &query, time_point now);
    /// Returns whether a query that has been running for \p age can contribute a sample to
    /// `onQueryRunning`.
    bool canSample(duration age) const { return age > m_queueingTarget; }
    /// Returns the retry delay for a refused query; \p chance, uniform in [0, 1), adds jitter.
    duration retryAfter(double chance) const;

    double share() const { return m_share; }
    /// Returns the queueing delay in the last interval.
    duration queueing() const { return scaled(m_queueingTarget, 1 + m_queueingExcess); }

private:
    /// Adjusts the share once per interval.
    void adjust(time_point now);
    /// Updates the queueing excess from the samples of this interval. Returns the relative excess
    /// over the target, rejections included.
    double updateExcess();
    void step(double excess, time_point now);
    void grow(double excess, time_point now);
    void shrink(double factor);
    void addSample(const query_progress &query, time_point now);
    void decay(time_point now);
    double totalOffered() const;

    std::map<class_rank, double> m_floors;
    /// Queueing delay at which the share is left unchanged.
    duration m_queueingTarget{};
    /// Recently offered work by rank, and recently finished work; exponentially decayed sums, of
    /// which only the proportions matter.
    std::map<class_rank, double> m_offered;
    double m_finished = 0;
    time_point m_decayedAt{};
    double m_share = 1;
    /// Sums over the samples of the current interval.
    duration m_queueingSum{};
    double m_rejectedSum = 0;
    int m_samples = 0;
    int m_queueSamples = 0;
    /// Relative excess of the last known queueing delay over its target, without rejections.
    double m_queueingExcess = -1;
    time_point m_intervalEnd{};
    double m_lastExcess = 0;
    time_point m_lastStepAt{};
    /// Last time at which the queueing delay was a notable part of its target.
    time_point m_lastQueueingAt{};
};

} // namespace peridotwheel

#endif
