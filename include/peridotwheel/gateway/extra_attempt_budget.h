#ifndef PERIDOTWHEEL_GATEWAY_EXTRA_ATTEMPT_BUDGET_H
#define PERIDOTWHEEL_GATEWAY_EXTRA_ATTEMPT_BUDGET_H

#include "peridotwheel/support/units.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace peridotwheel {

/// Bound of the attempts beyond the first of each request, over all instances together.
struct extra_attempt_limits
{
    /// Extra attempts for each request in the window.
    double ratio = 0.2;
    /// Extra attempts in any window besides, shared by all instances.
    double constant = 50;
    duration window = seconds(10);
};

/// The part of the fleet's budget for extra attempts at one service that this instance may use.
///
/// In every trailing window it uses at most the ratio of its own requests and an equal share of the
/// constant. The sum over all instances then keeps the bound without any message between them,
/// however uneven the load is. A process that has just started does not know what its predecessor
/// used, and waits for one window before it uses its share of the constant.
class extra_attempt_budget
{
public:
    /// \p processStart counts also for services that appear later: nobody used their budget before.
    extra_attempt_budget(const extra_attempt_limits &limits, time_point processStart);

    void onRequest(time_point now);
    /// Takes one extra attempt if there is one left. \p instances is the number of instances that
    /// share the constant, 0 if it is not known: the constant stays unused then. \p reservedShare
    /// is kept for more urgent work.
    bool tryTake(time_point now, std::size_t instances, double reservedShare = 0);
    /// Extra attempts allowed in the present window, used ones included.
    double allowance(time_point now, std::size_t instances);

private:
    static constexpr std::size_t bucketCount = 50;
    struct bucket
    {
        std::uint32_t requests = 0;
        std::uint32_t extra = 0;
    };

    void advance(time_point now);
    bucket &current() { return m_buckets[m_bucketNumber % bucketCount]; }

    extra_attempt_limits m_limits;
    duration m_bucketDuration;
    time_point m_startedAt;
    std::uint64_t m_bucketNumber = 0;
    std::array<bucket, bucketCount> m_buckets{};
    std::uint32_t m_requests = 0;
    std::uint32_t m_extra = 0;
};

} // namespace peridotwheel

#endif
