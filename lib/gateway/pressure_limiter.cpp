#include "pressure_limiter.h"

#include <algorithm>

namespace peridotwheel {

namespace {

/// Least limit: enough queries to notice that the pressure has gone.
constexpr double minLimit = 2;
/// Largest limit: more queries do not fit into the memory of a small instance.
constexpr double maxLimit = 256;
/// Weight of a new sample of the pressure.
constexpr double sampleWeight = 0.2;
/// Beyond the first value most of the time is spent in queues, and more queries at once gain
/// nothing. Below the second one there is room. Faults of single servers stay below both.
constexpr double highPressure = 4.5;
constexpr double lowPressure = 3;
constexpr double shrinkFactor = 0.85;
/// Growth for each query that ends while the limit is used.
constexpr double growth = 0.25;
constexpr double usedShare = 0.7;
/// Queries that began before the last change have to end before the next one counts.
constexpr duration shrinkInterval = milliseconds(100);

} // namespace

void pressure_limiter::onEnded(double pressure, std::uint32_t running, time_point now)
{
    m_pressure += sampleWeight * (pressure - m_pressure);
    if (m_pressure > highPressure) {
        if (now < m_nextShrink)
            return;
        m_nextShrink = now + shrinkInterval;
        m_limit =
                std::max(std::min(m_limit, static_cast<double>(running)) * shrinkFactor, minLimit);
        return;
    }
    const bool isUsed = running >= usedShare * m_limit;
    if (m_pressure < lowPressure && isUsed)
        m_limit = std::min(m_limit + growth, maxLimit);
}

} // namespace peridotwheel
