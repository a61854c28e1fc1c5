#include "peridotwheel/query/hedging_policy.h"

#include <algorithm>

namespace peridotwheel {

namespace {

/// Assumed until the latency of the service has been measured.
constexpr duration assumedP95 = milliseconds(40);
/// Time allowed for a second attempt, as a multiple of the p95. The p99 itself is not suitable:
/// with one straggler in a hundred it jumps to the latency of the stragglers, and every attempt
/// would be hedged at its p95.
constexpr double secondAttemptFactor = 1.5;
/// Time for gathering the replies, and timer granularity.
constexpr duration gatherMargin = milliseconds(5);

} // namespace

std::optional<time_point> hedgeTime(const hedging_input &input)
{
    const bool measured = input.p95 > duration::zero();
    const duration p95 = measured ? input.p95 : assumedP95;
    const duration second = fromMilliseconds(toMilliseconds(p95) * secondAttemptFactor) +
                            input.extraLatency + gatherMargin;
    const time_point replyBy = std::min(input.target, input.deadline);
    const time_point latest = replyBy - second;
    const time_point at = std::max(latest, input.sentAt + p95);
    // After the target a hedge still improves the coverage, as long as half of the time allowed for
    // it, about the median latency, is left before the deadline.
    if (at + second / 2 > input.deadline)
        return std::nullopt;
    return at;
}

} // namespace peridotwheel
