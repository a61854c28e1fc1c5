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

/// The events of one process, as its `/operator/timeline` page gives them.
struct process_timeline
{
    std::string process;
    /// Events that the ring had no room for any more.
    std::uint64_t dropped = 0;
    std::vector<timeline_event> events;
    /// Why the process could not be asked; then it counts as missing.
    std::optional<std::string> failureReason;
};

/// The kind whose `toString` is \p name.
std::optional<event_kind> eventKindFromString(const std::string &name);

nlohmann::json toJson(const timeline_event &event);

/// The page of one process: {"process", "dropped", "events"}.
std::string serialiseTimelinePage(const std::string &process, const event_ring &ring);
/// Reads such a page. Error: `InvalidArgument`.
result<process_timeline> parseTimelinePage(const std::string &text);

} // namespace peridotwheel

#endif
