#ifndef PERIDOTWHEEL_DRAIN_DRAIN_CONTROLLER_H
#define PERIDOTWHEEL_DRAIN_DRAIN_CONTROLLER_H

#include "peridotwheel/state/blackboard.h"
#include "peridotwheel/support/event_loop.h"
#include "peridotwheel/timeline/timeline_event.h"

#include <cstddef>
#include <functional>

namespace peridotwheel {

/// What the drain asks and tells other components.
struct drain_hooks
{
    /// Requests accepted and not answered, and records not settled yet.
    std::function<std::size_t()> inProgress;
    /// Tells peers and the platform that this instance is leaving.
    std::function<void()> announceLeaving;
    std::function<void()> stopListening;
};

struct drain_options
{
    /// Requests are still accepted for this long after the balancer's check has begun to fail,
    /// since balancers see it late.
    duration acceptGrace = seconds(3);
    /// Upper bound of the whole shutdown.
    duration maxDuration = seconds(10);
};

/// Leads an instance through its life: serving, draining, stopped. Writes the `phase` section.
class drain_controller
{
public:
    drain_controller(event_loop &loop, blackboard &board, drain_hooks hooks, event_sink events,
                     drain_options options);

    void beginServing();
    /// Starts the shutdown; a second call has no effect. \p done is called once.
    void shutDown(std::function<void()> done);

private:
    void stopAccepting();
    void waitForRequests();
    void finish(const char *text);
    void setPhase(lifecycle_phase phase, const char *text);

    event_loop &m_loop;
    blackboard &m_board;
    drain_hooks m_hooks;
    event_sink m_events;
    drain_options m_options;
    std::function<void()> m_done;
    time_point m_stopDeadline{};
    timer m_stepTimer;
};

} // namespace peridotwheel

#endif
