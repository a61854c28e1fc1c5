#ifndef PERIDOTWHEEL_TIMELINE_TIMELINE_EVENT_H
#define PERIDOTWHEEL_TIMELINE_TIMELINE_EVENT_H

#include "peridotwheel/support/ids.h"
#include "peridotwheel/support/units.h"

#include <cstdint>
#include <functional>
#include <string>

namespace peridotwheel {

enum class event_kind {
    Admission,
    Refusal,
    Hedge,
    Retry,
    Answer,
    Drain,
    Configuration,
    Snapshot,
    Membership,
    Claim,
    Platform,
    Fault,
    Lifecycle,
};

const char *toString(event_kind kind);

/// Hybrid logical time: wall clock milliseconds and a counter, ordered so that an effect never
/// precedes its cause, even when the clocks of two instances differ.
struct hybrid_time
{
    std::int64_t wallMs = 0;
    std::uint32_t counter = 0;

    friend bool operator<(const hybrid_time &a, const hybrid_time &b)
    {
        return a.wallMs != b.wallMs ? a.wallMs < b.wallMs : a.counter < b.counter;
    }
    friend bool operator==(const hybrid_time &a, const hybrid_time &b)
    {
        return a.wallMs == b.wallMs && a.counter == b.counter;
    }
};

/// One entry of the timeline. Fields that do not apply are empty.
struct timeline_event
{
    hybrid_time at; ///< Set by `event_ring::record`.
    event_kind kind = event_kind::Lifecycle;
    request_id request;
    class_name className;
    /// What happened, in one line: "hedge shard=3 server=s1-2".
    std::string text;
};

/// Callback by which components report events; the instance connects it to its `event_ring`.
using event_sink = std::function<void(timeline_event)>;

} // namespace peridotwheel

#endif
