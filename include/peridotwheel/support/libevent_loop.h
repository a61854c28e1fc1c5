#ifndef PERIDOTWHEEL_SUPPORT_LIBEVENT_LOOP_H
#define PERIDOTWHEEL_SUPPORT_LIBEVENT_LOOP_H

#include "peridotwheel/support/event_loop.h"
#include "peridotwheel/support/libevent_ptr.h"

#include <deque>
#include <mutex>

namespace peridotwheel {

/// An event loop on libevent. `run` must be called by the thread that owns the loop.
class libevent_loop : public event_loop
{
public:
    libevent_loop();
    ~libevent_loop() override;

    time_point now() const override;
    wall_time wallNow() const override;
    duration processorTime() const override;
    timer schedule(duration delay, task fn) override;
    void post(task fn) override;

    /// Dispatches until `stop` is called.
    void run();
    /// Ends `run` after the current callback; may be called from any thread.
    void stop();

    event_base *base() const { return m_base.get(); }

private:
    void runPosted();

    event_base_ptr m_base;
    event_ptr m_wakeUp;
    std::mutex m_mutex;
    std::deque<task> m_posted; // guarded by m_mutex
};

} // namespace peridotwheel

#endif
