#ifndef PERIDOTWHEEL_SUPPORT_LOOP_THREAD_H
#define PERIDOTWHEEL_SUPPORT_LOOP_THREAD_H

#include "peridotwheel/support/libevent_loop.h"

#include <functional>
#include <future>
#include <thread>

namespace peridotwheel {

/// A thread that runs one event loop, for tests and experiments that run many instances in one
/// process. Objects that use the loop are created, used and destroyed through `call`.
class loop_thread
{
public:
    loop_thread();
    loop_thread(const loop_thread &) = delete;
    loop_thread &operator=(const loop_thread &) = delete;
    /// Stops the loop and joins the thread.
    ~loop_thread();

    libevent_loop &loop() { return m_loop; }

    /// Runs \p fn on the loop's thread and waits for its result. Must not be called on that thread.
    template <class Fn>
    auto call(Fn fn) -> decltype(fn())
    {
        std::packaged_task<decltype(fn())()> task(std::move(fn));
        auto result = task.get_future();
        m_loop.post([&task] { task(); });
        return result.get();
    }

private:
    libevent_loop m_loop;
    std::thread m_thread;
};

} // namespace peridotwheel

#endif
