#ifndef PERIDOTWHEEL_TIMELINE_HYBRID_CLOCK_H
#define PERIDOTWHEEL_TIMELINE_HYBRID_CLOCK_H

#include "peridotwheel/support/event_loop.h"
#include "peridotwheel/timeline/timeline_event.h"

namespace peridotwheel {

/// A hybrid logical clock: stays near the wall clock, increases strictly, and moves past the times
/// of received messages. It orders events for display only; no decision about safety uses it.
class hybrid_clock
{
public:
    /// A received time stamp further ahead of the wall clock than this is ignored, because one
    /// instance with a wrong clock would otherwise move the clocks of the whole fleet.
    static constexpr milliseconds maxAheadOfWallClock = seconds(60);

    explicit hybrid_clock(const event_loop &loop)
        : m_loop(loop)
    {
    }

    /// Advances the clock and returns the time of a local event or of a message about to be sent.
    hybrid_time tick();
    /// Moves past the time \p remote of a message unless too far ahead; returns the time of
    /// receipt.
    hybrid_time observe(hybrid_time remote);

private:
    const event_loop &m_loop;
    hybrid_time m_last;
};

} // namespace peridotwheel

#endif
