#ifndef PERIDOTWHEEL_TIMELINE_HYBRID_CLOCK_H
#define PERIDOTWHEEL_TIMELINE_HYBRID_CLOCK_H

#include "peridotwheel/support/event_loop.h"
#include "peridotwheel/timeline/timeline_event.h"

namespace peridotwheel {

/// A hybrid logical clock: stays near the wall clock, rises strictly, and is moved past the time of
/// every message received. It orders events for people; no decision about safety uses it.
class hybrid_clock
{
public:
    /// A time further ahead of the wall clock than this is not adopted, because one instance with a
    /// wrong clock would otherwise move the clocks of the whole fleet.
    static constexpr milliseconds maxAheadOfWallClock = seconds(60);

    explicit hybrid_clock(const event_loop &loop)
        : m_loop(loop)
    {
    }

    /// The time of a local event or of a message about to be sent.
    hybrid_time tick();
    /// Takes note of the time \p remote that a message carried; returns the time of its receipt.
    hybrid_time observe(hybrid_time remote);

private:
    const event_loop &m_loop;
    hybrid_time m_last;
};

} // namespace peridotwheel

#endif
