#include "peridotwheel/limits/retry_budget.h"

#include <cmath>

namespace peridotwheel {

namespace {

constexpr double halfLifeUs = 5e6;
/// Decay is applied in steps, so that most calls do not compute an exponential.
constexpr duration decayStep = milliseconds(50);

} // namespace

retry_budget::retry_budget(double fraction, double burst, time_point now)
    : m_fraction(fraction)
    , m_burst(burst)
    , m_decayedAt(now)
{
}

void retry_budget::decay(time_point now)
{
    const duration elapsed = now - m_decayedAt;
    if (elapsed < decayStep)
        return;
    const double factor = std::exp2(-static_cast<double>(elapsed.count()) / halfLifeUs);
    m_firstAttempts *= factor;
    m_extraAttempts *= factor;
    m_decayedAt = now;
}

void retry_budget::onFirstAttempts(std::uint32_t count, time_point now)
{
    decay(now);
    m_firstAttempts += count;
}

bool retry_budget::tryTake(time_point now)
{
    decay(now);
    double scale = 1;
    if (m_slowdown > toleratedSlowdown)
        scale = std::pow(toleratedSlowdown / m_slowdown, 2);
    if (m_extraAttempts + 1 > scale * (m_fraction * m_firstAttempts + m_burst))
        return false;
    m_extraAttempts += 1;
    return true;
}

} // namespace peridotwheel
