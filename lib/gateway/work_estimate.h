#ifndef PERIDOTWHEEL_LIB_GATEWAY_WORK_ESTIMATE_H
#define PERIDOTWHEEL_LIB_GATEWAY_WORK_ESTIMATE_H

#include "peridotwheel/support/units.h"

#include <algorithm>

namespace peridotwheel {

/// Estimates the service time of the requests of one route at a server.
class work_estimate
{
public:
    void add(duration sample, time_point now)
    {
        if (!m_known) {
            m_typical = sample;
            m_onIdleServers = sample;
            m_known = true;
            m_updatedAt = now;
            return;
        }
        const duration step = std::max(m_typical / stepDivisor, minStep);
        m_typical = std::max(m_typical + std::clamp(sample - m_typical, -step, step), minStep);
        const double elapsed = toMilliseconds(now - m_updatedAt) / 1000;
        m_onIdleServers =
                std::min(m_typical, scaled(m_onIdleServers, 1 + idleGrowthPerSecond * elapsed));
        m_updatedAt = now;
    }

    /// Returns the typical service time at present, close to the median. Each sample moves it by a
    /// bounded step, so that slow servers and pauses hardly affect it.
    duration typical() const { return m_typical; }
    /// Returns the typical service time on lightly loaded servers. It follows an increase only
    /// slowly, so that an overload hardly changes it.
    duration onIdleServers() const { return std::max(m_onIdleServers, schedulingTime); }

private:
    static constexpr int stepDivisor = 20;
    static constexpr duration minStep = std::chrono::microseconds(50);
    /// Times below this are caused by the scheduling of processes with a small share of a core and
    /// not by the work.
    static constexpr duration schedulingTime = milliseconds(8);
    /// The service time changes with the data over minutes, while an overload lasts for seconds.
    static constexpr double idleGrowthPerSecond = 0.01;
    /// Assumed before the first reply; service times of tens of milliseconds are typical.
    duration m_typical = milliseconds(10);
    duration m_onIdleServers = milliseconds(10);
    time_point m_updatedAt{};
    bool m_known = false;
};

} // namespace peridotwheel

#endif
