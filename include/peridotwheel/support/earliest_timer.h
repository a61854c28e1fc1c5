#ifndef PERIDOTWHEEL_SUPPORT_EARLIEST_TIMER_H
#define PERIDOTWHEEL_SUPPORT_EARLIEST_TIMER_H

#include "peridotwheel/support/event_loop.h"

#include <functional>
#include <optional>

namespace peridotwheel {

/// Calls its owner back at the earliest requested time. The owner must check the clock itself: the
/// timer is never moved to a later time, because an early call costs less than rescheduling.
class earliest_timer
{
public:
    earliest_timer(event_loop &loop, std::function<void()> onWake)
        : m_loop(loop)
        , m_onWake(std::move(onWake))
    {
    }

    void wakeAt(time_point at)
    {
        if (m_armedFor && *m_armedFor <= at)
            return;
        m_armedFor = at;
        m_timer = m_loop.schedule(at - m_loop.now(), [this] {
            m_armedFor.reset();
            // The callback may destroy the owner and this timer, so it is copied before the call.
            const auto onWake = m_onWake;
            onWake();
        });
    }

    void cancel()
    {
        m_timer.cancel();
        m_armedFor.reset();
    }

private:
    event_loop &m_loop;
    std::function<void()> m_onWake;
    timer m_timer;
    std::optional<time_point> m_armedFor;
};

} // namespace peridotwheel

#endif
