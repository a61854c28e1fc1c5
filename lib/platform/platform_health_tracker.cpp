#include "peridotwheel/platform/platform_health_tracker.h"

namespace peridotwheel {

void platform_health_tracker::recordCall(bool answered)
{
    const bool reachable = m_board.platformHealth.value().reachable;
    if (answered) {
        m_failures = 0;
        if (!reachable)
            publish(true, m_loop.wallNow());
        return;
    }
    if (m_failures == 0)
        m_firstFailure = m_loop.wallNow();
    if (++m_failures >= failuresUntilUnreachable && (reachable || !m_isPublished))
        publish(false, m_firstFailure);
}

void platform_health_tracker::publish(bool reachable, wall_time since)
{
    m_isPublished = true;
    m_board.platformHealth.set({reachable, since});
    timeline_event event;
    event.kind = event_kind::Platform;
    event.text = reachable ? "platform reachable" : "platform unreachable";
    if (m_events)
        m_events(std::move(event));
}

} // namespace peridotwheel
