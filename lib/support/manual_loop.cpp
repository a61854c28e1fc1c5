#include "peridotwheel/support/manual_loop.h"

namespace peridotwheel {

class manual_loop::timer_handle : public timer::handle
{
public:
    timer_handle(manual_loop &loop, key k)
        : m_loop(loop)
        , m_key(k)
    {
    }
    ~timer_handle() override { m_loop.m_timers.erase(m_key); }

private:
    manual_loop &m_loop;
    key m_key;
};

wall_time manual_loop::wallNow() const
{
    return wall_time(std::chrono::duration_cast<milliseconds>(m_now.time_since_epoch()));
}

timer manual_loop::schedule(duration delay, task fn)
{
    const key k{m_now + std::max(delay, duration::zero()), m_sequence++};
    m_timers.emplace(k, std::move(fn));
    return timer(std::make_unique<timer_handle>(*this, k));
}

void manual_loop::runPosted()
{
    while (!m_posted.empty()) {
        auto fn = std::move(m_posted.front());
        m_posted.pop_front();
        fn();
    }
}

void manual_loop::advance(duration d)
{
    const time_point end = m_now + d;
    runPosted();
    while (!m_timers.empty() && m_timers.begin()->first.first <= end) {
        auto node = m_timers.extract(m_timers.begin());
        m_now = std::max(m_now, node.key().first);
        node.mapped()();
        runPosted();
    }
    m_now = end;
}

void manual_loop::pause(duration d)
{
    m_now += d;
    advance(duration::zero());
}

} // namespace peridotwheel
