#include "admission_gate.h"

#include <utility>

namespace peridotwheel {

namespace {

constexpr double sampleWeight = 0.1;

void smooth(duration &average, duration sample)
{
    average =
            average == duration::zero() ? sample : average + scaled(sample - average, sampleWeight);
}

} // namespace

admission_gate::admission_gate(event_loop &loop, std::uint64_t seed)
    : m_loop(loop)
    , m_random(seed)
    , m_queue(admission_queue::options())
{
}

admission_gate::~admission_gate() = default;

slot_state admission_gate::slots(class_rank rank) const
{
    slot_state s;
    s.running = m_running;
    s.limit = m_limiter.limit();
    const auto it = m_serviceTime.find(rank);
    s.serviceTime = it == m_serviceTime.end() ? m_slotTime : it->second;
    s.slotTime = m_slotTime;
    return s;
}

void admission_gate::offer(class_rank rank, time_point targetEnd, waiting_query query)
{
    if (m_running < m_limiter.limit() && m_queue.size() == 0) {
        ++m_running;
        if (!query.run())
            --m_running;
        return;
    }
    const time_point now = m_loop.now();
    const auto offered = m_queue.offer(rank, targetEnd, now, slots(rank), m_random.fraction());
    if (offered.displaced)
        refuse(*offered.displaced);
    if (offered.reason != refusal_reason::None) {
        query.refuse(m_queue.retryAfter(rank, now, m_random.fraction()));
        return;
    }
    m_waiting.emplace(offered.id, entry{rank, std::move(query)});
    expireLater();
}

void admission_gate::refuse(admission_queue::ticket ticket)
{
    const auto node = m_waiting.extract(ticket);
    if (node.empty())
        return;
    const entry &e = node.mapped();
    e.query.refuse(m_queue.retryAfter(e.rank, m_loop.now(), m_random.fraction()));
}

void admission_gate::onEnded(class_rank rank, duration took, double pressure)
{
    m_limiter.onEnded(pressure, m_running, m_loop.now());
    --m_running;
    smooth(m_serviceTime[rank], took);
    smooth(m_slotTime, took);
    dispatch();
}

void admission_gate::onAbandoned()
{
    --m_running;
    dispatch();
}

void admission_gate::dispatch()
{
    while (m_running < m_limiter.limit() && m_queue.size() > 0) {
        const auto taken = m_queue.take(m_loop.now());
        for (const auto ticket : taken.refused)
            refuse(ticket);
        if (!taken.run)
            return;
        const auto node = m_waiting.extract(*taken.run);
        ++m_running;
        if (node.empty() || !node.mapped().query.run())
            --m_running;
    }
}

void admission_gate::expireLater()
{
    const auto next = m_queue.nextExpiry();
    if (!next)
        return;
    m_expiry = m_loop.schedule(*next - m_loop.now(), [this] {
        for (const auto ticket : m_queue.expire(m_loop.now()))
            refuse(ticket);
        expireLater();
    });
}

} // namespace peridotwheel
