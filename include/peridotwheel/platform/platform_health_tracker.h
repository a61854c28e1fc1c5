#ifndef PERIDOTWHEEL_PLATFORM_PLATFORM_HEALTH_TRACKER_H
#define PERIDOTWHEEL_PLATFORM_PLATFORM_HEALTH_TRACKER_H

#include "peridotwheel/state/blackboard.h"
#include "peridotwheel/support/event_loop.h"
#include "peridotwheel/timeline/timeline_event.h"

namespace peridotwheel {

/// Derives `platformHealth` from the outcomes of all calls to the platform.
class platform_health_tracker
{
public:
    /// Consecutive failed calls before the platform is reported as unreachable. Single failures are
    /// too common to indicate an outage.
    static constexpr unsigned failuresUntilUnreachable = 2;

    platform_health_tracker(event_loop &loop, blackboard &board, event_sink events)
        : m_loop(loop)
        , m_board(board)
        , m_events(std::move(events))
    {
    }

    void recordCall(bool answered);

private:
    void publish(bool reachable, wall_time since);

    event_loop &m_loop;
    blackboard &m_board;
    event_sink m_events;
    unsigned m_failures = 0;
    wall_time m_firstFailure{};
    bool m_isPublished = false;
};

} // namespace peridotwheel

#endif
