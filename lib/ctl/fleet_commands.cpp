#include "peridotwheel/ctl/commands.h"
#include "peridotwheel/ctl/text_table.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>

namespace peridotwheel {

namespace {

using json = nlohmann::ordered_json;

/// The page as an object; an empty one if there is none or it does not parse.
json parsed(const instance_page &page)
{
    if (!page.body)
        return json::object();
    json value = json::parse(*page.body, nullptr, false);
    return value.is_object() ? value : json::object();
}

std::string cell(const json &page, const char *key)
{
    const auto it = page.find(key);
    if (it == page.end())
        return "?";
    return it->is_string() ? it->get<std::string>() : it->dump();
}

std::string problemOf(const instance_page &page)
{
    return page.body ? "" : "unreachable: " + page.problem;
}

/// The last column of a table: why the row is not as usual.
std::string noteOf(const listed_page &page)
{
    std::string note = problemOf(page);
    const auto add = [&note](const std::string &text) {
        note += (note.empty() ? "" : "; ") + text;
    };
    if (page.listed.offPlatformList())
        add("not on the platform's list");
    if (page.listed.offPlatformList() || (!page.body && !page.listed.peersSay.empty()))
        add("peers say " + page.listed.peersSay);
    return note;
}

/// One object for each instance, with the page's fields or the problem.
json merged(const std::vector<listed_page> &pages)
{
    json out = json::array();
    for (const auto &page : pages) {
        json entry = parsed(page);
        entry["instance"] = page.id.value();
        entry["dataCentre"] = page.dataCentre.value();
        if (page.listed.onPlatformList)
            entry["onPlatformList"] = *page.listed.onPlatformList;
        if (!page.listed.peersSay.empty())
            entry["peersSay"] = page.listed.peersSay;
        if (!page.body)
            entry["problem"] = problemOf(page);
        out.push_back(std::move(entry));
    }
    return out;
}

} // namespace

exit_status operator_commands::fail(const error &e)
{
    m_err << "peridotctl: " << e.message;
    switch (e.kind) {
    case error_kind::Conflict:
        m_err << "\n";
        return exit_status::Conflict;
    case error_kind::OutcomeUnknown:
        m_err << "; 'peridotctl class list' shows whether it took effect\n";
        return exit_status::PlatformUnreachable;
    case error_kind::Unavailable:
    case error_kind::TimedOut:
    case error_kind::Overloaded:
        m_err << "; try again, or check [platform] address in the settings\n";
        return exit_status::PlatformUnreachable;
    default:
        m_err << "\n";
        return exit_status::BadInput;
    }
}

result<std::vector<listed_page>> operator_commands::pages(const std::string &path)
{
    auto list = m_directory.read();
    if (!list)
        return list.error();
    if (const auto &problem = list.value().platformProblem) {
        m_err << "peridotctl: " << problem->message
              << "; the instances are those that [fallback] operators know of\n";
    }
    std::vector<member> members;
    for (const auto &[id, listed] : list.value().instances)
        members.push_back(listed.instance);
    std::vector<listed_page> out;
    for (auto &page : m_fleet.fetch(members, path)) {
        const listed_instance &listed = list.value().instances.at(page.id);
        if (!page.body && !listed.gone()) {
            m_err << "peridotctl: " << page.id << " is " << problemOf(page)
                  << "; nothing is known of it, try again or see whether it runs\n";
        }
        out.push_back({std::move(page), listed});
    }
    return out;
}

exit_status operator_commands::statusOf(const std::vector<listed_page> &pages)
{
    const bool all = std::all_of(pages.begin(), pages.end(), [](const listed_page &p) {
        return p.body.has_value() || p.listed.gone();
    });
    return all ? exit_status::Done : exit_status::PartialAnswer;
}

void operator_commands::printJson(const std::vector<listed_page> &pages)
{
    m_out << merged(pages).dump(2) << "\n";
}

exit_status operator_commands::where()
{
    const auto found = pages("/operator/where");
    if (!found)
        return fail(found.error());
    if (m_json) {
        printJson(found.value());
        return statusOf(found.value());
    }
    std::vector<std::vector<std::string>> rows = {
            {"instance", "data centre", "configuration", "snapshot", ""}};
    for (const auto &page : found.value()) {
        const json p = parsed(page);
        rows.push_back({page.id.value(), page.dataCentre.value(), cell(p, "configurationVersion"),
                        cell(p, "snapshotVersion"), noteOf(page)});
    }
    m_out << renderTable(rows);
    return statusOf(found.value());
}

exit_status operator_commands::status()
{
    const auto found = pages("/operator/status");
    if (!found)
        return fail(found.error());
    if (m_json) {
        printJson(found.value());
        return statusOf(found.value());
    }
    std::vector<std::vector<std::string>> rows = {
            {"instance", "data centre", "phase", "platform", "servers", "leaving", "members", ""}};
    for (const auto &page : found.value()) {
        const json p = parsed(page);
        const std::string members =
                p.contains("members") ? std::to_string(p["members"].size()) : "?";
        const std::string platform = cell(p, "platformReachable");
        rows.push_back({page.id.value(), page.dataCentre.value(), cell(p, "phase"),
                        platform == "true"    ? "reachable"
                        : platform == "false" ? "unreachable"
                                              : "?",
                        cell(p, "servers"), cell(p, "serversLeaving"), members, noteOf(page)});
    }
    m_out << renderTable(rows);
    return statusOf(found.value());
}

exit_status operator_commands::counters()
{
    const auto found = pages("/operator/counters");
    if (!found)
        return fail(found.error());
    std::map<std::string, std::uint64_t> sums;
    for (const auto &page : found.value()) {
        // A named copy: `items` refers to it during the loop.
        const json counters = parsed(page).value("counters", json::object());
        for (const auto &[name, value] : counters.items())
            sums[name] += value.is_number_unsigned() ? value.get<std::uint64_t>() : 0;
    }
    if (m_json) {
        m_out << json{{"sum", sums}, {"instances", merged(found.value())}}.dump(2) << "\n";
        return statusOf(found.value());
    }
    std::vector<std::vector<std::string>> rows = {{"counter", "sum"}};
    for (const auto &[name, value] : sums)
        rows.push_back({name, std::to_string(value)});
    m_out << renderTable(rows);
    return statusOf(found.value());
}

exit_status operator_commands::timeline(const timeline_filter &filter, timeline_format format)
{
    const auto found = pages("/operator/timeline");
    if (!found)
        return fail(found.error());
    std::vector<process_timeline> timelines;
    for (const auto &page : found.value()) {
        if (!page.body && page.listed.gone())
            continue;
        process_timeline t;
        t.process = page.id.value();
        t.failureReason = page.problem;
        if (page.body) {
            auto read = parseTimelinePage(*page.body);
            t.failureReason = read ? std::optional<std::string>() : read.error().message;
            if (read)
                t = std::move(read).value();
        }
        timelines.push_back(std::move(t));
    }
    const auto all = mergeTimelines(timelines, filter);
    switch (format) {
    case timeline_format::Text:
        m_out << renderText(all);
        break;
    case timeline_format::Json:
        m_out << renderJson(all);
        break;
    case timeline_format::Svg:
        m_out << renderSvg(all);
        break;
    }
    return statusOf(found.value());
}

} // namespace peridotwheel
