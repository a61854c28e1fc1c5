#ifndef PERIDOTWHEEL_QUERY_HEDGING_POLICY_H
#define PERIDOTWHEEL_QUERY_HEDGING_POLICY_H

#include "peridotwheel/support/units.h"

#include <optional>

namespace peridotwheel {

/// What the hedging decision of one attempt depends on.
struct hedging_input
{
    time_point sentAt;
    /// Latest time at which an answer is within the class's target.
    time_point target;
    /// Latest useful time of an answer.
    time_point deadline;
    /// Measured latency of the service; zero if nothing was measured.
    duration p95;
    /// Latency that the other replicas have beyond that of the first server, for example because
    /// they are in another region.
    duration extraLatency{};
};

/// When to send a second attempt: at the last moment at which it still meets the target, so that
/// the fewest attempts are doubled, and never before the p95 of the first. Nothing if a second
/// attempt could not return before the deadline.
std::optional<time_point> hedgeTime(const hedging_input &input);

} // namespace peridotwheel

#endif
