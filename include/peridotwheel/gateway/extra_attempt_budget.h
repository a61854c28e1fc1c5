#ifndef PERIDOTWHEEL_GATEWAY_EXTRA_ATTEMPT_BUDGET_H
#define PERIDOTWHEEL_GATEWAY_EXTRA_ATTEMPT_BUDGET_H

#include "peridotwheel/support/units.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>

namespace peridotwheel {

/// Limits on attempts beyond the first one of each request, over all instances together.
struct extra_attempt_limits
{
    /// Allowed extra attempts per request in the window.
    double ratio = 0.2;
    /// Allowed extra attempts per window in addition, shared by all instances.
    double constant = 50;
    duration window = seconds(10);
};

/// This instance's part of the fleet's budget for extra attempts (retries and second attempts) at
/// one service.
///
/// In every trailing window an instance uses at most the ratio times its own requests plus an equal
/// share of the constant. The sum over all instances then stays within the limit without any
/// communication between them, however uneven the load is. A part below one attempt is rounded at
/// random, up as often as its size says: a large fleet whose instances have less than one attempt
/// each would otherwise use nothing of its budget. A process that has just started cannot
/// tell what its predecessor used, so it waits for one window before it uses its share of the
/// constant.
class extra_attempt_budget
{
public:
    /// Returns a random number from 0 to 1.
    using fraction_hook = std::function<double()>;

    /// \p processStart is the start of the process also for services that appear later, since no
    /// predecessor has used their budget.
    extra_attempt_budget(const extra_attempt_limits &limits, time_point processStart,
                         fraction_hook fraction);

    void onRequest(time_point now);
    /// Takes one extra attempt from the budget and returns whether there was one left.
    /// \p instances is the number of instances that share the constant, or 0 if it is not known, in
    /// which case the constant is not used. \p reservedShare is reserved for more urgent work.
    bool tryTake(time_point now, std::size_t instances, double reservedShare = 0);
    /// Returns the extra attempts allowed in the current window, used ones included.
    double allowance(time_point now, std::size_t instances);

private:
    static constexpr std::size_t bucketCount = 50;
    struct bucket
    {
        std::uint32_t requests = 0;
        std::uint32_t extra = 0;
    };

    /// Moves the window to \p now and clears the buckets that have left it.
    void advance(time_point now);
    bucket &current() { return m_buckets[m_bucketNumber % bucketCount]; }

    extra_attempt_limits m_limits;
    fraction_hook m_fraction;
    duration m_bucketDuration;
    time_point m_startedAt;
    std::uint64_t m_bucketNumber = 0;
    std::array<bucket, bucketCount> m_buckets{};
    /// Part of an attempt from which the next one is allowed.
    double m_roundUpFrom = 1;
    /// Sums over all buckets.
    std::uint32_t m_requests = 0;
    std::uint32_t m_extra = 0;
};

} // namespace peridotwheel

#endif
