#ifndef PERIDOTWHEEL_CLAIMS_CLAIM_OPTIONS_H
#define PERIDOTWHEEL_CLAIMS_CLAIM_OPTIONS_H

#include "peridotwheel/support/units.h"

#include <chrono>
#include <cstddef>

namespace peridotwheel {

/// Intervals of the claim protocol. At-most-once execution depends on none of them.
struct claim_options
{
    /// A `claimed` record of another holder is taken over once it is older than this. A holder
    /// needs milliseconds between `claimed` and `sent`, so an older one has paused or stopped.
    duration takeoverAge = seconds(10);
    /// Age of a `sent` record up to which its holder is assumed to be waiting for the server.
    duration inProgressTimeout = seconds(30);
    /// A refusal waits this long for the confirmation of its seal; then its answer is "unknown".
    duration sealTimeout = seconds(1);
    /// Tries in progress. A claim costs 3 writes of the platform's several hundred per second, so a
    /// flood beyond this is refused without a platform call.
    std::size_t maxActiveClaims = 256;
    /// Records are kept for this long; requests older than half of it are refused, so that the
    /// expiry of a claim cannot allow a second run.
    duration retention = std::chrono::hours(24);
    /// Requests issued this far in the future are refused: they would outlive their claim.
    duration maxIssuedAtLead = std::chrono::minutes(5);
    /// A copy accepted elsewhere just before half of the retention may be under way this long: the
    /// longest deadline is 10 minutes, and clocks may differ.
    duration inFlightCopyMargin = std::chrono::minutes(15);
    /// Pause before a failed read-back is repeated.
    duration readBackDelay = milliseconds(20);
    /// Platform calls of one try. The usual number is 2 before the request is sent; losing one race
    /// and one reply costs 4 more.
    int maxPlatformCalls = 10;
    /// Pauses between tries to settle a record in the background: doubled from the first to the
    /// last.
    duration initialFinaliseBackoff = milliseconds(200);
    duration maxFinaliseBackoff = seconds(30);
    /// Records waiting to be settled. The oldest gives way: it stays as it is in the store, which
    /// is safe but makes resends wait for `takeoverAge` or end as unknown.
    std::size_t maxPendingRecords = 1000;
    /// Time between two sweeps, and between two removals of a sweep (5 writes/s at most, against
    /// the platform's several hundred).
    duration sweepInterval = std::chrono::minutes(10);
    duration removalInterval = milliseconds(200);
};

} // namespace peridotwheel

#endif
