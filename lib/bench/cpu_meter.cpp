#include "peridotwheel/bench/cpu_meter.h"

#include <ctime>
#include <fstream>
#include <string>

namespace peridotwheel {

namespace {

struct cpu_ticks
{
    std::uint64_t idle = 0;
    std::uint64_t total = 0;
};

cpu_ticks readTicks()
{
    // First line of /proc/stat: "cpu user nice system idle iowait ...".
    constexpr int idleField = 3;
    constexpr int iowaitField = 4;
    std::ifstream in("/proc/stat");
    std::string label;
    in >> label;
    cpu_ticks ticks;
    std::uint64_t value = 0;
    for (int field = 0; field < 8 && in >> value; ++field) {
        ticks.total += value;
        if (field == idleField || field == iowaitField)
            ticks.idle += value;
    }
    return ticks;
}

} // namespace

idle_meter::idle_meter()
{
    const cpu_ticks now = readTicks();
    m_idle = now.idle;
    m_total = now.total;
}

double idle_meter::idleShare() const
{
    const cpu_ticks now = readTicks();
    if (now.total == m_total)
        return 1.0;
    return static_cast<double>(now.idle - m_idle) / static_cast<double>(now.total - m_total);
}

duration threadCpuTime()
{
    timespec ts{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &ts);
    return seconds(ts.tv_sec) +
           std::chrono::duration_cast<duration>(std::chrono::nanoseconds(ts.tv_nsec));
}

} // namespace peridotwheel
