#include "peridotwheel/drain/drain_controller.h"

#include <algorithm>

namespace peridotwheel {

namespace {

constexpr duration pollInterval = milliseconds(20);
/// Time for the last answers to leave the socket's buffer: an answer counts as given once it is
/// handed to that buffer.
constexpr duration flushDelay = milliseconds(200);

} // namespace

drain_controller::drain_controller(event_loop &loop, blackboard &board, drain_hooks hooks,
                                   event_sink events, drain_options options)
    : m_loop(loop)
    , m_board(board)
    , m_hooks(std::move(hooks))
    , m_events(std::move(events))
    , m_options(options)
{
}

void drain_controller::beginServing()
{
    setPhase(lifecycle_phase::Serving, "serving");
}

void drain_controller::shutDown(std::function<void()> done)
{
    if (m_done)
        return;
    m_done = std::move(done);
    m_stopDeadline = m_loop.now() + m_options.maxDuration;
    setPhase(lifecycle_phase::Draining, "draining");
    m_hooks.announceLeaving();
    const duration acceptGrace = std::min(m_options.acceptGrace, m_options.maxDuration);
    m_stepTimer = m_loop.schedule(acceptGrace, [this] { stopAccepting(); });
}

void drain_controller::stopAccepting()
{
    m_hooks.stopListening();
    waitForRequests();
}

void drain_controller::waitForRequests()
{
    if (m_loop.now() >= m_stopDeadline) {
        finish("stopped at the time limit, unfinished requests cut off");
        return;
    }
    if (m_hooks.inProgress() != 0) {
        m_stepTimer = m_loop.schedule(pollInterval, [this] { waitForRequests(); });
        return;
    }
    m_stepTimer = m_loop.schedule(flushDelay, [this] { finish("stopped, all requests ended"); });
}

void drain_controller::finish(const char *text)
{
    setPhase(lifecycle_phase::Stopped, text);
    m_done();
}

void drain_controller::setPhase(lifecycle_phase phase, const char *text)
{
    m_board.phase.set({phase});
    timeline_event e;
    e.kind = event_kind::Lifecycle;
    e.text = text;
    m_events(std::move(e));
}

} // namespace peridotwheel
