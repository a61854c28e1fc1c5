#include "peridotwheel/limits/concurrency_limiter.h"

#include <algorithm>
#include <cmath>

namespace peridotwheel {

namespace {

constexpr double shedFactor = 0.7;
constexpr double queueingFactor = 0.9;
/// One overload affects all attempts in flight, so the limit shrinks at most once in this time.
constexpr duration shrinkInterval = milliseconds(50);

} // namespace

concurrency_limiter::concurrency_limiter(std::uint32_t start)
    : m_limit(start)
    , m_maximum(start)
{
}

void concurrency_limiter::setMaximum(std::uint32_t maximum)
{
    // A limit that was at the maximum stays at it.
    const bool unrestrained = m_limit >= m_maximum && m_maximum > 1;
    m_maximum = maximum;
    m_limit = unrestrained ? m_maximum : std::clamp(m_limit, 1.0, std::max(1.0, m_maximum));
}

void concurrency_limiter::shrink(double factor, time_point now)
{
    if (now < m_nextShrink)
        return;
    m_nextShrink = now + shrinkInterval;
    m_limit = std::max(1.0, m_limit * factor);
}

void concurrency_limiter::onShed(time_point now)
{
    shrink(shedFactor, now);
}

void concurrency_limiter::onReply(duration average, duration queueingThreshold,
                                  std::uint32_t inFlight, time_point now)
{
    if (average > queueingThreshold) {
        shrink(queueingFactor, now);
        return;
    }
    const bool limitReached = inFlight + 1 >= limit();
    if (limitReached)
        m_limit = std::min(m_maximum, m_limit + 1 / std::max(1.0, m_limit));
}

std::uint32_t concurrency_limiter::limit() const
{
    // Rounded to the nearest: at shares of two or three connections, rounding down would turn the
    // smallest decrease into a loss of up to half of the capacity.
    return static_cast<std::uint32_t>(std::lround(std::min(m_limit, m_maximum)));
}

} // namespace peridotwheel
