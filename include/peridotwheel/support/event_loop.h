#ifndef PERIDOTWHEEL_SUPPORT_EVENT_LOOP_H
#define PERIDOTWHEEL_SUPPORT_EVENT_LOOP_H

#include "peridotwheel/support/units.h"

#include <functional>
#include <memory>

namespace peridotwheel {

/// Owns one scheduled call; destroying or resetting it cancels the call.
class timer
{
public:
    /// Cancels the call when destroyed.
    class handle
    {
    public:
        handle() = default;
        handle(const handle &) = delete;
        handle &operator=(const handle &) = delete;
        virtual ~handle() = default;
    };

    timer() = default;
    explicit timer(std::unique_ptr<handle> h)
        : m_handle(std::move(h))
    {
    }

    void cancel() { m_handle.reset(); }
    explicit operator bool() const { return m_handle != nullptr; }

private:
    std::unique_ptr<handle> m_handle;
};

/// The clock and the scheduler of one instance. All code of an instance runs on its loop's thread.
class event_loop
{
public:
    using task = std::function<void()>;

    event_loop() = default;
    event_loop(const event_loop &) = delete;
    event_loop &operator=(const event_loop &) = delete;
    virtual ~event_loop() = default;

    virtual time_point now() const = 0;
    virtual wall_time wallNow() const = 0;
    /// Returns the processor time that this process has used since its start.
    virtual duration processorTime() const = 0;
    /// Calls \p fn once, \p delay from now, unless the returned timer is destroyed before.
    virtual timer schedule(duration delay, task fn) = 0;
    /// Calls \p fn on the loop's thread, after the current callback. The only member that other
    /// threads may call.
    virtual void post(task fn) = 0;
};

} // namespace peridotwheel

#endif
