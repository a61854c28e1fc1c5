#include "peridotwheel/timeline/hybrid_clock.h"

namespace peridotwheel {

hybrid_time hybrid_clock::tick()
{
    const std::int64_t wall = m_loop.wallNow().time_since_epoch().count();
    if (wall > m_last.wallMs) {
        m_last = {wall, 0};
        return m_last;
    }
    ++m_last.counter;
    if (m_last.counter == 0)
        ++m_last.wallMs;
    return m_last;
}

hybrid_time hybrid_clock::observe(hybrid_time remote)
{
    const std::int64_t limit =
            m_loop.wallNow().time_since_epoch().count() + maxAheadOfWallClock.count();
    if (m_last < remote && remote.wallMs <= limit)
        m_last = remote;
    return tick();
}

} // namespace peridotwheel
