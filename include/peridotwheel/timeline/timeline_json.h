#ifndef PERIDOTWHEEL_TIMELINE_TIMELINE_JSON_H
#define PERIDOTWHEEL_TIMELINE_TIMELINE_JSON_H

#include "peridotwheel/support/error.h"
#include "peridotwheel/timeline/timeline_event.h"

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

namespace peridotwheel {

class event_ring;

/// The events of one process, as returned by its `/operator/timeline` page.
struct process_timeline
{
    std::string process;
    /// Number of older events that were replaced because the ring was full.
    std::uint64_t dropped = 0;
    std::vector<timeline_event> events;
    /// Set if the page could not be fetched or parsed; the process is then listed as missing.
    std::optional<std::string> failureReason;
};

/// Returns the kind whose `toString` is \p name, or no value if there is none.
std::optional<event_kind> eventKindFromString(const std::string &name);

nlohmann::json toJson(const timeline_event &event);

/// Serialises the page of one process: {"process", "dropped", "events"}.
std::string serialiseTimelinePage(const std::string &process, const event_ring &ring);
/// Parses such a page. Fails with `InvalidArgument` if it is malformed.
result<process_timeline> parseTimelinePage(const std::string &text);

} // namespace peridotwheel

#endif
