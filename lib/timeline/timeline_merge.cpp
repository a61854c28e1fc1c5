#include "peridotwheel/timeline/timeline_merge.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <tuple>

namespace peridotwheel {

namespace {

std::int64_t toMs(wall_time t)
{
    return t.time_since_epoch().count();
}

void appendEvents(const process_timeline &from, const timeline_filter &filter, merged_timeline &out)
{
    for (const auto &event : from.events) {
        if (filter.passes(event))
            out.events.push_back({from.process, event});
    }
}

} // namespace

bool timeline_filter::passes(const timeline_event &event) const
{
    if (from && event.at.wallMs < toMs(*from))
        return false;
    if (to && event.at.wallMs >= toMs(*to))
        return false;
    if (!request.value().empty() && event.request != request)
        return false;
    if (!className.value().empty() && event.className != className)
        return false;
    return kinds.empty() || kinds.count(event.kind) != 0;
}

merged_timeline mergeTimelines(const std::vector<process_timeline> &timelines,
                               const timeline_filter &filter)
{
    merged_timeline out;
    for (const auto &timeline : timelines) {
        out.processes.push_back(timeline.process);
        if (timeline.failureReason) {
            out.missing.push_back(timeline.process + ": " + *timeline.failureReason);
            continue;
        }
        if (timeline.dropped != 0) {
            out.incomplete.push_back(timeline.process + ": " + std::to_string(timeline.dropped) +
                                     " older events lost");
        }
        appendEvents(timeline, filter, out);
    }
    std::stable_sort(out.events.begin(), out.events.end(), [](const auto &a, const auto &b) {
        return std::tie(a.event.at.wallMs, a.event.at.counter, a.process) <
               std::tie(b.event.at.wallMs, b.event.at.counter, b.process);
    });
    for (auto *names : {&out.processes, &out.missing, &out.incomplete})
        std::sort(names->begin(), names->end());
    return out;
}

std::string renderJson(const merged_timeline &timeline)
{
    using nlohmann::json;
    json events = json::array();
    for (const auto &[process, event] : timeline.events) {
        json j = toJson(event);
        j["process"] = process;
        events.push_back(std::move(j));
    }
    const json page = {{"processes", timeline.processes},
                       {"missing", timeline.missing},
                       {"incomplete", timeline.incomplete},
                       {"events", std::move(events)}};
    return page.dump(2, ' ', false, json::error_handler_t::replace) + "\n";
}

} // namespace peridotwheel
