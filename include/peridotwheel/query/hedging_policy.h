#ifndef PERIDOTWHEEL_QUERY_HEDGING_POLICY_H
#define PERIDOTWHEEL_QUERY_HEDGING_POLICY_H

#include "peridotwheel/support/units.h"

#include <optional>

namespace peridotwheel {

/// Input of the hedging decision for one attempt.
struct hedging_input
{
    time_point sentAt;
    /// Latest time of an answer that meets the latency target of the class.
    time_point target;
    /// Latest useful time of an answer.
    time_point deadline;
    /// Measured latency of the service; zero if nothing was measured.
    duration p95;
    /// Latency of the nearest other replica beyond that of the first server, for example because it
    /// is in another region.
    duration extraLatency{};
};

/// Returns when to send a second attempt: at the last moment at which it still meets the target, so
/// that as few attempts as possible are duplicated, and never before the p95 of the first. Returns
/// nothing if a second attempt could not return before the deadline.
std::optional<time_point> hedgeTime(const hedging_input &input);

} // namespace peridotwheel

#endif
