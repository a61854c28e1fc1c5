#include "peridotwheel/support/libevent_loop.h"

#include <cassert>
#include <csignal>
#include <ctime>
#include <event2/event.h>
#include <event2/thread.h>

namespace peridotwheel {

namespace {

timeval toTimeval(duration d)
{
    if (d < duration::zero())
        d = duration::zero();
    timeval tv{};
    tv.tv_sec = static_cast<decltype(tv.tv_sec)>(d.count() / 1000000);
    tv.tv_usec = static_cast<decltype(tv.tv_usec)>(d.count() % 1000000);
    return tv;
}

class libevent_timer : public timer::handle
{
public:
    libevent_timer(event_base *base, duration delay, event_loop::task fn)
        : m_fn(std::move(fn))
        , m_event(event_new(base, -1, EV_TIMEOUT, &libevent_timer::fire, this))
    {
        assert(m_event && "event_new failed: out of memory");
        const timeval tv = toTimeval(delay);
        event_add(m_event.get(), &tv);
    }

private:
    static void fire(evutil_socket_t, short, void *self)
    {
        // The task may destroy this timer, so it is moved out before it runs.
        auto fn = std::move(static_cast<libevent_timer *>(self)->m_fn);
        fn();
    }

    event_loop::task m_fn;
    event_ptr m_event;
};

/// Makes libevent thread-safe and ignores SIGPIPE, once per process. By default, SIGPIPE ends the
/// process when it writes to a socket that the peer has closed.
void initialiseProcess()
{
    static const bool initialised = [] {
        evthread_use_pthreads();
        std::signal(SIGPIPE, SIG_IGN);
        return true;
    }();
    static_cast<void>(initialised);
}

event_base *createEventBase()
{
    initialiseProcess();
    // libevent's default clock has a resolution of 4 ms on common kernels, which is too coarse for
    // hedge delays and for the simulated service times of the stand-in servers.
    event_config *config = event_config_new();
    assert(config && "event_config_new failed: out of memory");
    event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
    event_base *base = event_base_new_with_config(config);
    event_config_free(config);
    return base;
}

} // namespace

libevent_loop::libevent_loop()
    : m_base(createEventBase())
{
    assert(m_base && "event_base_new failed: no usable kernel event mechanism");
    m_wakeUp.reset(event_new(
            m_base.get(), -1, EV_PERSIST,
            [](evutil_socket_t, short, void *self) {
                static_cast<libevent_loop *>(self)->runPosted();
            },
            this));
}

libevent_loop::~libevent_loop() = default;

time_point libevent_loop::now() const
{
    const auto t = std::chrono::steady_clock::now().time_since_epoch();
    return time_point(std::chrono::duration_cast<duration>(t));
}

wall_time libevent_loop::wallNow() const
{
    return std::chrono::time_point_cast<milliseconds>(std::chrono::system_clock::now());
}

duration libevent_loop::processorTime() const
{
    timespec used{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
    return std::chrono::duration_cast<duration>(seconds(used.tv_sec) +
                                                std::chrono::nanoseconds(used.tv_nsec));
}

timer libevent_loop::schedule(duration delay, task fn)
{
    return timer(std::make_unique<libevent_timer>(m_base.get(), delay, std::move(fn)));
}

void libevent_loop::post(task fn)
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_posted.push_back(std::move(fn));
    }
    event_active(m_wakeUp.get(), EV_TIMEOUT, 0);
}

void libevent_loop::run()
{
    event_base_loop(m_base.get(), EVLOOP_NO_EXIT_ON_EMPTY);
}

void libevent_loop::stop()
{
    post([this] { event_base_loopbreak(m_base.get()); });
}

void libevent_loop::runPosted()
{
    std::deque<task> tasks;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        tasks.swap(m_posted);
    }
    for (auto &fn : tasks)
        fn();
}

} // namespace peridotwheel
