#ifndef PERIDOTWHEEL_SUPPORT_MANUAL_LOOP_H
#define PERIDOTWHEEL_SUPPORT_MANUAL_LOOP_H

#include "peridotwheel/support/event_loop.h"

#include <deque>
#include <map>

namespace peridotwheel {

/// An event loop whose time moves only by `advance` and `pause`, for deterministic tests.
class manual_loop : public event_loop
{
public:
    time_point now() const override { return m_now; }
    wall_time wallNow() const override;
    /// Time in tests passes without work.
    duration processorTime() const override { return {}; }
    timer schedule(duration delay, task fn) override;
    void post(task fn) override { m_posted.push_back(std::move(fn)); }

    /// Runs all posted tasks, including those posted meanwhile, without moving time.
    void runPosted();
    /// Moves time forward by \p d and runs the timers that expire meanwhile, in order.
    void advance(duration d);
    /// Moves time forward by \p d at once, as if the process had been suspended, and then runs the
    /// posted tasks and the timers that have expired.
    void pause(duration d);

private:
    class timer_handle;
    using key = std::pair<time_point, unsigned long>;

    time_point m_now{seconds(1000)};
    unsigned long m_sequence = 0;
    std::map<key, task> m_timers;
    std::deque<task> m_posted;
};

} // namespace peridotwheel

#endif
