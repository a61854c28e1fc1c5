#ifndef PERIDOTWHEEL_CLAIMS_CLAIM_OPTIONS_H
#define PERIDOTWHEEL_CLAIMS_CLAIM_OPTIONS_H

#include "peridotwheel/support/units.h"

#include <chrono>
#include <cstddef>

namespace peridotwheel {

/// Intervals of the claim protocol. At-most-once execution depends on none of them.
struct claim_options
{
    /// A `claimed` record of another holder is released once it is older than this. A holder needs
    /// milliseconds between `claimed` and `sent`, so an older one has paused or stopped. A refusal
    /// says "not run" only within half of this time after the claim, which makes it true as long as
    /// the wall clocks of two instances differ by less than the other half.
    duration patience = seconds(10);
    /// Age of a `sent` record up to which its holder is assumed to be waiting for the server.
    duration inProgressFor = seconds(30);
    /// Later than this after the time of issue another try of the same request may be under way. If
    /// the platform cannot be asked, a refusal then says "unknown" instead of "not run". Longer
    /// than the latency target of the slowest class, so that a first try in an outage is "not run".
    duration resendAge = seconds(3);
    /// Records are kept for this long; requests older than half of it are refused, so that the
    /// expiry of a claim cannot allow a second run.
    duration retention = std::chrono::hours(24);
    /// Requests issued this far in the future are refused: they would outlive their claim.
    duration maxFuture = std::chrono::minutes(5);
    /// Pause before a failed read-back is repeated.
    duration readBackDelay = milliseconds(20);
    /// Platform calls of one try. The usual number is 2 before the request is sent; losing one race
    /// and one reply costs 4 more.
    int maxCalls = 10;
    /// Pauses between tries to settle a record in the background: doubled from the first to the
    /// last.
    duration firstSettleDelay = milliseconds(200);
    duration lastSettleDelay = seconds(30);
    /// Records waiting to be settled. The oldest gives way: it stays as it is in the store, which
    /// is safe but makes resends wait for `patience` or end as unknown.
    std::size_t maxSettling = 1000;
    /// Requests run by this instance that are remembered, so that it does not deny them.
    std::size_t maxRemembered = 8192;
    /// Time between two sweeps, and between two removals of a sweep (5 writes/s at most, against
    /// the platform's several hundred).
    duration sweepEvery = std::chrono::minutes(10);
    duration sweepSpacing = milliseconds(200);
};

} // namespace peridotwheel

#endif
