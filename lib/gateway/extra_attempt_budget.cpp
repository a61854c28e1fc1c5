#include "peridotwheel/gateway/extra_attempt_budget.h"

#include <algorithm>
#include <utility>

namespace peridotwheel {

namespace {

/// Share of the limit that is used. The rest is a margin for attempts that the servers count in
/// another window than this instance: attempts are counted here when they are sent, not when they
/// arrive.
constexpr double usableShare = 0.92;

} // namespace

extra_attempt_budget::extra_attempt_budget(const extra_attempt_limits &limits,
                                           time_point processStart, fraction_hook fraction)
    : m_limits(limits)
    , m_fraction(std::move(fraction))
    // The buckets span one bucket more than the window, since the oldest one is only partly within
    // it.
    , m_bucketDuration(limits.window / static_cast<int>(bucketCount - 1))
    , m_startedAt(processStart)
    , m_bucketNumber(static_cast<std::uint64_t>(processStart.time_since_epoch() / m_bucketDuration))
    , m_roundUpFrom(m_fraction())
{
}

void extra_attempt_budget::advance(time_point now)
{
    const auto bucketNumber = static_cast<std::uint64_t>(now.time_since_epoch() / m_bucketDuration);
    const std::uint64_t steps = std::min<std::uint64_t>(
            bucketNumber - std::min(bucketNumber, m_bucketNumber), bucketCount);
    m_bucketNumber = std::max(bucketNumber, m_bucketNumber);
    for (std::uint64_t i = 0; i < steps; ++i) {
        bucket &old = m_buckets[(m_bucketNumber - i) % bucketCount];
        m_requests -= old.requests;
        m_extra -= old.extra;
        old = {};
    }
}

void extra_attempt_budget::onRequest(time_point now)
{
    advance(now);
    ++current().requests;
    ++m_requests;
}

double extra_attempt_budget::allowance(time_point now, std::size_t instances)
{
    advance(now);
    const bool mayUseConstant = instances > 0 && now - m_startedAt >= m_limits.window;
    const double constant = mayUseConstant ? m_limits.constant / static_cast<double>(instances) : 0;
    return usableShare * (m_limits.ratio * m_requests + constant);
}

bool extra_attempt_budget::tryTake(time_point now, std::size_t instances, double reservedShare)
{
    const double all = allowance(now, instances);
    const double left = all * (1 - reservedShare) - m_extra;
    if (left <= 0 || left < m_roundUpFrom)
        return false;
    m_roundUpFrom = m_fraction();
    ++current().extra;
    ++m_extra;
    return true;
}

} // namespace peridotwheel
