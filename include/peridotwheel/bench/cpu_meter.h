#ifndef PERIDOTWHEEL_BENCH_CPU_METER_H
#define PERIDOTWHEEL_BENCH_CPU_METER_H

#include "peridotwheel/support/units.h"

#include <cstdint>

namespace peridotwheel {

/// Share of idle time over all cores since construction, from the kernel's counters.
class idle_meter
{
public:
    idle_meter();
    double idleShare() const;

private:
    std::uint64_t m_idle = 0;
    std::uint64_t m_total = 0;
};

/// Processor time that the calling thread has used.
duration threadCpuTime();

} // namespace peridotwheel

#endif
