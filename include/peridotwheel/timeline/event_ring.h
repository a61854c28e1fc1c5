#ifndef PERIDOTWHEEL_TIMELINE_EVENT_RING_H
#define PERIDOTWHEEL_TIMELINE_EVENT_RING_H

#include "peridotwheel/timeline/hybrid_clock.h"
#include "peridotwheel/timeline/timeline_event.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace peridotwheel {

/// Ring buffer of the latest events of one process. When full, a new event replaces the oldest.
class event_ring
{
public:
    /// Longer event texts are truncated, so that the memory of the ring is bounded.
    static constexpr std::size_t maxTextBytes = 256;

    /// \p capacity is the number of events kept; at least 1.
    event_ring(event_loop &loop, std::size_t capacity);
    event_ring(const event_ring &) = delete;
    event_ring &operator=(const event_ring &) = delete;

    /// Stores \p event with the current hybrid time as its time stamp.
    void record(timeline_event event);
    /// Returns a sink that records into this ring; valid as long as the ring exists.
    event_sink sink();
    hybrid_clock &clock() { return m_clock; }

    /// Returns the stored events, oldest first.
    std::vector<timeline_event> events() const;
    /// Returns the number of events that have been replaced since the ring was created.
    std::uint64_t dropped() const { return m_dropped; }

private:
    hybrid_clock m_clock;
    std::size_t m_capacity;
    std::vector<timeline_event> m_slots;
    std::size_t m_oldest = 0;
    std::uint64_t m_dropped = 0;
};

} // namespace peridotwheel

#endif
