#ifndef PERIDOTWHEEL_TIMELINE_TIMELINE_MERGE_H
#define PERIDOTWHEEL_TIMELINE_TIMELINE_MERGE_H

#include "peridotwheel/timeline/timeline_json.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace peridotwheel {

/// Selects events; an empty field does not restrict the selection.
struct timeline_filter
{
    std::optional<wall_time> from; ///< Inclusive.
    std::optional<wall_time> to;   ///< Exclusive.
    request_id request;
    class_name className;
    std::set<event_kind> kinds;

    bool passes(const timeline_event &event) const;
};

struct merged_event
{
    std::string process;
    timeline_event event;
};

/// The events of several processes in one causal order.
struct merged_timeline
{
    std::vector<merged_event> events;
    /// All processes that were queried, sorted by name.
    std::vector<std::string> processes;
    /// Processes whose events could not be fetched or parsed, each with the reason: "i3: connection
    /// refused".
    std::vector<std::string> missing;
    /// Processes whose ring has lost older events: "i1: 120 older events lost".
    std::vector<std::string> incomplete;
};

/// Merges by hybrid time. Equal times are ordered by process name, so that the order is the
/// same wherever the merge runs.
merged_timeline mergeTimelines(const std::vector<process_timeline> &timelines,
                               const timeline_filter &filter);

std::string renderText(const merged_timeline &timeline);
std::string renderJson(const merged_timeline &timeline);
/// One lane for each process, time from left to right, one dot with a tooltip for each event.
std::string renderSvg(const merged_timeline &timeline);

} // namespace peridotwheel

#endif
