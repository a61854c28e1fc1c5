#ifndef PERIDOTWHEEL_LIB_GATEWAY_WORK_ESTIMATE_H
#define PERIDOTWHEEL_LIB_GATEWAY_WORK_ESTIMATE_H

#include "peridotwheel/support/units.h"

#include <algorithm>

namespace peridotwheel {

/// The usual time that the requests of one route work at a server, near the median: samples move
/// it by a bounded step, so that slow servers and pauses hardly count.
class work_estimate
{
public:
    void add(duration sample)
    {
        if (!m_known) {
            m_value = sample;
            m_known = true;
            return;
        }
        const duration step = std::max(m_value / stepDivisor, minStep);
        m_value = std::max(m_value + std::clamp(sample - m_value, -step, step), minStep);
    }

    duration value() const { return m_value; }

private:
    static constexpr int stepDivisor = 20;
    static constexpr duration minStep = std::chrono::microseconds(50);
    /// Assumed before the first reply: work of tens of milliseconds is usual.
    duration m_value = milliseconds(10);
    bool m_known = false;
};

} // namespace peridotwheel

#endif
