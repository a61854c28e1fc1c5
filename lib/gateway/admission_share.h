#ifndef PERIDOTWHEEL_LIB_GATEWAY_ADMISSION_SHARE_H
#define PERIDOTWHEEL_LIB_GATEWAY_ADMISSION_SHARE_H

#include "peridotwheel/configuration/class_spec.h"
#include "peridotwheel/support/strong_id.h"
#include "peridotwheel/support/units.h"
#include "team_shares.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

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

/// Number of a query, unique among those that one admission share has admitted.
using query_number = strong_id<struct query_number_tag, std::uint64_t>;

/// What the shards have done with a query so far.
struct query_progress
{
    query_number query;
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
/// queues at all shards does. A query with more work than usual looks like a queued one, so the
/// controller uses a low quantile of several recent queries: a standing queue delays all of
/// them, while only some have more work.
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
    bool admit(class_rank rank, duration work, double chance, time_point now)
    {
        return admit(rank, team_name(), work, chance, now);
    }
    /// The same for a query of \p team. Within its rank, teams share by max-min fairness.
    bool admit(class_rank rank, const team_name &team, duration work, double chance,
               time_point now);
    /// Returns the number of teams that share what is admitted.
    std::size_t teams() const { return m_teams.teams(); }
    /// Records the end of an admitted query.
    void onQueryEnded(const query_progress &query, time_point now);
    /// Records the progress of a query that is still running; to be called a few times a second.
    /// In a sudden overload the first queries end only after their whole queueing delay, which is
    /// too late to react.
    void onQueryRunning(const query_progress &query, time_point now);
    /// Returns whether a query that has been running for \p age can contribute a sample to
    /// `onQueryRunning`.
    bool canSample(duration age) const { return age > restrictedTarget(); }
    /// Returns the retry delay for a refused query; \p chance, uniform in [0, 1), adds jitter.
    duration retryAfter(double chance) const;

    double share() const { return m_share; }
    /// Returns the standing queueing delay in the last interval.
    duration queueing() const { return m_queueing; }
    /// Returns the queueing delay from which on the share shrinks in an overload.
    duration restrictedTarget() const;

private:
    struct sample
    {
        query_number query;
        std::optional<duration> queueingDelay;
        double rejectedShare = 0;
        time_point takenAt;
    };

    /// Adjusts the share once per interval.
    void adjust(time_point now);
    /// Updates the queueing excess from the recent samples. Returns the relative excess over the
    /// target, rejections included.
    double updateExcess(time_point now);
    /// Returns a low quantile of the recent queueing delays, or zero with too few queries.
    duration standingDelay() const;
    /// Drops the samples that are too old, and all but the last ones of those already used.
    void dropSamples(time_point now);
    /// Returns whether the share is restricted or was until a moment ago.
    bool isOverloaded(time_point now) const;
    duration targetInForce(time_point now) const;
    void step(double excess, time_point now);
    /// \p passed is the number of intervals since the last step.
    void grow(double excess, double passed, time_point now);
    void shrink(double factor);
    void addSample(const query_progress &query, time_point now);
    void decay(time_point now);
    double totalOffered() const;
    /// Returns the share of the queries of a rank to admit, whatever their team.
    double shareOfRank(class_rank rank) const;

    std::map<class_rank, double> m_floors;
    duration m_shortestTarget{};
    /// Recently offered work by rank, and recently finished work; exponentially decayed sums, of
    /// which only the proportions matter.
    std::map<class_rank, double> m_offered;
    double m_finished = 0;
    team_shares m_teams;
    time_point m_decayedAt{};
    double m_share = 1;
    /// The last sample of each recent query, oldest first.
    std::vector<sample> m_samples;
    /// How many of them were taken in the current interval.
    std::size_t m_newSamples = 0;
    duration m_queueing{};
    time_point m_intervalEnd{};
    double m_lastExcess = 0;
    /// Integral of the excess over time, at least zero.
    duration m_excessTime{};
    /// Last time at which the share was less than 1.
    time_point m_restrictedAt{};
    time_point m_lastStepAt{};
    /// Last time at which the queueing delay was a notable part of its target.
    time_point m_lastQueueingAt{};
};

} // namespace peridotwheel

#endif
