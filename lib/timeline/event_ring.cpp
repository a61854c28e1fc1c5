#include "peridotwheel/timeline/event_ring.h"

#include <cassert>

namespace peridotwheel {

event_ring::event_ring(event_loop &loop, std::size_t capacity)
    : m_clock(loop)
    , m_capacity(capacity)
{
    assert(capacity > 0 && "event_ring capacity is 0; it must be at least 1");
    m_slots.reserve(capacity);
}

void event_ring::record(timeline_event event)
{
    event.at = m_clock.tick();
    if (event.text.size() > maxTextBytes)
        event.text.resize(maxTextBytes);
    if (m_slots.size() < m_capacity) {
        m_slots.push_back(std::move(event));
        return;
    }
    m_slots[m_oldest] = std::move(event);
    m_oldest = (m_oldest + 1) % m_capacity;
    ++m_dropped;
}

event_sink event_ring::sink()
{
    return [this](timeline_event event) { record(std::move(event)); };
}

std::vector<timeline_event> event_ring::events() const
{
    std::vector<timeline_event> out;
    out.reserve(m_slots.size());
    for (std::size_t i = 0; i < m_slots.size(); ++i)
        out.push_back(m_slots[(m_oldest + i) % m_slots.size()]);
    return out;
}

} // namespace peridotwheel
