#ifndef PERIDOTWHEEL_LIB_GATEWAY_PRESSURE_LIMITER_H
#define PERIDOTWHEEL_LIB_GATEWAY_PRESSURE_LIMITER_H

#include "peridotwheel/support/units.h"

#include <cstdint>

namespace peridotwheel {

/// Queries that this instance may run at once over one set of shards.
///
/// Answers the load of floods: the shards are shared with other instances and their capacity is
/// not known, so that the limit follows the pressure that the queries meet. Pressure is the time
/// of the middle one of a query's parts as a multiple of that on idle servers: single slow, paused
/// or silent servers do not move it, work that queues on most shards does.
class pressure_limiter
{
public:
    void onEnded(double pressure, std::uint32_t running, time_point now);
    std::uint32_t limit() const { return static_cast<std::uint32_t>(m_limit); }
    double pressure() const { return m_pressure; }

private:
    double m_limit = 64;
    double m_pressure = 1;
    time_point m_nextShrink{};
};

} // namespace peridotwheel

#endif
