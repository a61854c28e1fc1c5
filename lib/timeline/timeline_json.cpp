#include "peridotwheel/timeline/timeline_json.h"

#include "peridotwheel/timeline/event_ring.h"

#include <array>
#include <nlohmann/json.hpp>
#include <utility>

namespace peridotwheel {

namespace {

using nlohmann::json;

constexpr std::array<std::pair<event_kind, const char *>, 13> kindNames = {{
        {event_kind::Admission, "admission"},
        {event_kind::Refusal, "refusal"},
        {event_kind::Hedge, "hedge"},
        {event_kind::Retry, "retry"},
        {event_kind::Answer, "answer"},
        {event_kind::Drain, "drain"},
        {event_kind::Configuration, "configuration"},
        {event_kind::Snapshot, "snapshot"},
        {event_kind::Membership, "membership"},
        {event_kind::Claim, "claim"},
        {event_kind::Platform, "platform"},
        {event_kind::Fault, "fault"},
        {event_kind::Lifecycle, "lifecycle"},
}};

timeline_event eventFromJson(const json &j)
{
    timeline_event event;
    event.at.wallMs = j.at("wallMs").get<std::int64_t>();
    event.at.counter = j.at("counter").get<std::uint32_t>();
    // A process of a newer version may report a kind that this version does not define.
    event.kind =
            eventKindFromString(j.at("kind").get<std::string>()).value_or(event_kind::Lifecycle);
    event.request = request_id(j.value("request", ""));
    event.className = class_name(j.value("class", ""));
    event.text = j.value("text", "");
    return event;
}

} // namespace

const char *toString(event_kind kind)
{
    for (const auto &[value, name] : kindNames) {
        if (value == kind)
            return name;
    }
    return "unknown";
}

std::optional<event_kind> eventKindFromString(const std::string &name)
{
    for (const auto &[value, known] : kindNames) {
        if (name == known)
            return value;
    }
    return std::nullopt;
}

json toJson(const timeline_event &event)
{
    json j = {{"wallMs", event.at.wallMs},
              {"counter", event.at.counter},
              {"kind", toString(event.kind)},
              {"text", event.text}};
    if (!event.request.value().empty())
        j["request"] = event.request.value();
    if (!event.className.value().empty())
        j["class"] = event.className.value();
    return j;
}

std::string serialiseTimelinePage(const std::string &process, const event_ring &ring)
{
    json events = json::array();
    for (const auto &event : ring.events())
        events.push_back(toJson(event));
    const json page = {
            {"process", process}, {"dropped", ring.dropped()}, {"events", std::move(events)}};
    // Texts may contain caller input that is not valid UTF-8; invalid bytes are replaced.
    return page.dump(-1, ' ', false, json::error_handler_t::replace);
}

result<process_timeline> parseTimelinePage(const std::string &text)
{
    try {
        const json page = json::parse(text);
        process_timeline out;
        out.process = page.at("process").get<std::string>();
        out.dropped = page.at("dropped").get<std::uint64_t>();
        for (const auto &event : page.at("events"))
            out.events.push_back(eventFromJson(event));
        return out;
    } catch (const json::exception &problem) {
        return failure(error_kind::InvalidArgument,
                       std::string("timeline page is malformed (") + problem.what() +
                               "); check that the process runs a compatible version");
    }
}

} // namespace peridotwheel
