#ifndef PERIDOTWHEEL_LIMITS_DECAYING_COUNT_H
#define PERIDOTWHEEL_LIMITS_DECAYING_COUNT_H

#include "peridotwheel/support/units.h"

#include <cmath>

namespace peridotwheel {

/// Exponentially decaying count of events: falls to 1/e within `decayTimeConstant`.
class decaying_count
{
public:
    /// Long enough to smooth bursts of callers that retry together, short enough to forget a flood
    /// soon after its end.
    static constexpr duration decayTimeConstant = seconds(2);

    void add(time_point now)
    {
        m_value = value(now) + 1;
        m_at = now;
    }

    double value(time_point now) const
    {
        const auto age = static_cast<double>((now - m_at).count());
        return m_value * std::exp(-age / static_cast<double>(decayTimeConstant.count()));
    }

private:
    double m_value = 0;
    time_point m_at{};
};

} // namespace peridotwheel

#endif
