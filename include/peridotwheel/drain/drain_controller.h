#ifndef PERIDOTWHEEL_DRAIN_DRAIN_CONTROLLER_H
#define PERIDOTWHEEL_DRAIN_DRAIN_CONTROLLER_H

#include "peridotwheel/state/blackboard.h"
#include "peridotwheel/support/event_loop.h"
#include "peridotwheel/timeline/timeline_event.h"

#include <cstddef>
#include <functional>

namespace peridotwheel {

/// Callbacks of the drain into other components.
struct drain_hooks
{
    /// Returns the number of requests that are accepted but not answered, plus records that are not
    /// settled yet.
    std::function<std::size_t()> inProgress;
    /// Announces to peers and the platform that this instance is leaving.
    std::function<void()> announceLeaving;
    std::function<void()> stopListening;
};

struct drain_options
{
    /// Time for which requests are still accepted after the load balancer's health check has begun
    /// to fail, since load balancers detect it late.
    duration acceptGrace = seconds(3);
    /// Upper bound of the duration of the whole shutdown.
    duration maxDuration = seconds(10);
};

/// Controls the lifecycle of an instance: serving, draining, stopped. Writes the `phase` section.
class drain_controller
{
public:
    drain_controller(event_loop &loop, blackboard &board, drain_hooks hooks, event_sink events,
                     drain_options options);

    void beginServing();
    /// Starts the shutdown; a second call has no effect. \p done is called once, at its end.
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
