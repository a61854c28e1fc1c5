#ifndef PERIDOTWHEEL_LIB_STANDIN_LOOP_THREAD_H
#define PERIDOTWHEEL_LIB_STANDIN_LOOP_THREAD_H

#include "peridotwheel/support/libevent_loop.h"

#include <future>
#include <thread>

namespace peridotwheel {

/// An event loop on a thread of its own.
class loop_thread
{
public:
    loop_thread()
        : m_thread([this] { m_loop.run(); })
    {
    }
    loop_thread(const loop_thread &) = delete;
    loop_thread &operator=(const loop_thread &) = delete;
    ~loop_thread()
    {
        m_loop.stop();
        m_thread.join();
    }

    libevent_loop &loop() { return m_loop; }

    /// Runs \p fn on the loop's thread and returns its result; other threads only.
    template <class Fn>
    auto call(Fn fn) -> decltype(fn())
    {
        std::packaged_task<decltype(fn())()> task(std::move(fn));
        auto done = task.get_future();
        m_loop.post([&task] { task(); });
        return done.get();
    }

private:
    libevent_loop m_loop;
    std::thread m_thread;
};

} // namespace peridotwheel

#endif
