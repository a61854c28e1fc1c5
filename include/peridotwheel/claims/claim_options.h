#ifndef PERIDOTWHEEL_CLAIMS_CLAIM_OPTIONS_H
#define PERIDOTWHEEL_CLAIMS_CLAIM_OPTIONS_H

#include "peridotwheel/support/units.h"

#include <chrono>
#include <cstddef>

namespace peridotwheel {

/// Intervals and limits of the claim protocol. At-most-once execution depends on none of them.
struct claim_options
{
    /// A `claimed` record of another holder is taken over once it is older than this. A holder
    /// needs milliseconds between `claimed` and `sent`, so the holder of an older record has paused
    /// or stopped.
    duration takeoverAge = seconds(10);
    /// Age up to which a `sent` record is reported as in progress, since its holder is assumed to
    /// be waiting for the server. The outcome of an older one is reported as unknown.
    duration inProgressTimeout = seconds(30);
    /// An answer "not run" waits this long for the confirmation of its seal. After that the answer
    /// leaves it unknown whether the request ran.
    duration sealTimeout = seconds(1);
    /// Limit of tries in progress. A claim costs 3 writes, and the platform accepts several hundred
    /// per second, so requests beyond the limit are refused without a platform call.
    std::size_t maxActiveClaims = 256;
    /// Records are kept for this long. Requests older than half of it are refused, so that the
    /// expiry of a claim cannot allow a second run.
    duration retention = std::chrono::hours(24);
    /// Requests issued further in the future than this are refused, since they would outlive their
    /// claim.
    duration maxIssuedAtLead = std::chrono::minutes(5);
    /// A copy that another instance accepted just before half of the retention may be in flight for
    /// this long: the longest deadline is 10 minutes, and clocks may differ.
    duration inFlightCopyMargin = std::chrono::minutes(15);
    /// Delay before a failed read-back is retried.
    duration readBackDelay = milliseconds(20);
    /// Limit of the platform calls of one try. A try usually makes 2 before the request is sent;
    /// one lost race and one lost reply cost 4 more.
    int maxPlatformCalls = 10;
    /// Backoff between attempts to write the final state of a record in the background: doubled
    /// from the initial to the maximum value.
    duration initialFinaliseBackoff = milliseconds(200);
    duration maxFinaliseBackoff = seconds(30);
    /// Limit of records whose final state is still to be written. Beyond it the oldest is dropped:
    /// its record stays as it is in the store, which is safe but makes resends wait for
    /// `takeoverAge` or end as unknown.
    std::size_t maxPendingRecords = 1000;
    /// Time between two sweeps, and between two removals of a sweep. A sweep makes at most 5
    /// writes/s of the several hundred that the platform accepts.
    duration sweepInterval = std::chrono::minutes(10);
    duration removalInterval = milliseconds(200);
};

} // namespace peridotwheel

#endif
