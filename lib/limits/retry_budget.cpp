#include "peridotwheel/limits/retry_budget.h"

#include <cmath>

namespace peridotwheel {

namespace {

constexpr double halfLifeUs = 5e6;
/// Fading is applied in steps, so that a token costs no exponential.
constexpr duration fadeStep = milliseconds(50);

} // namespace

retry_budget::retry_budget(double fraction, double burst, time_point now)
    : m_fraction(fraction)
    , m_burst(burst)
    , m_fadedAt(now)
{
}

void retry_budget::fade(time_point now)
{
    const duration elapsed = now - m_fadedAt;
    if (elapsed < fadeStep)
        return;
    const double factor = std::exp2(-static_cast<double>(elapsed.count()) / halfLifeUs);
    m_first *= factor;
    m_taken *= factor;
    m_fadedAt = now;
}

void retry_budget::onFirstAttempts(std::uint32_t count, time_point now)
{
    fade(now);
    m_first += count;
}

bool retry_budget::take(time_point now)
{
    fade(now);
    double scale = 1;
    if (m_slowdown > toleratedSlowdown)
        scale = std::pow(toleratedSlowdown / m_slowdown, 2);
    if (m_taken + 1 > scale * (m_fraction * m_first + m_burst))
        return false;
    m_taken += 1;
    return true;
}

} // namespace peridotwheel
