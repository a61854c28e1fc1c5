#include "peridotwheel/ctl/commands.h"
#include "peridotwheel/ctl/text_table.h"

#include <algorithm>
#include <INIReader.h>
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

/// One object for each instance, with the page's fields or the problem.
json merged(const std::vector<instance_page> &pages)
{
    json out = json::array();
    for (const auto &page : pages) {
        json entry = parsed(page);
        entry["instance"] = page.id.value();
        entry["dataCentre"] = page.dataCentre.value();
        if (!page.body)
            entry["problem"] = problemOf(page);
        out.push_back(std::move(entry));
    }
    return out;
}

result<endpoint> parseEndpoint(const std::string &text, const std::string &where)
{
    const auto colon = text.rfind(':');
    const std::string port = colon == std::string::npos ? "" : text.substr(colon + 1);
    const bool digits = !port.empty() && port.size() <= 5 &&
                        std::all_of(port.begin(), port.end(),
                                    [](unsigned char c) { return c >= '0' && c <= '9'; });
    const int number = digits ? std::stoi(port) : 0;
    if (number < 1 || number > 65535) {
        return failure(error_kind::InvalidArgument,
                       where + ": found '" + text +
                               "'; give an address and a port, as 127.0.0.1:7000");
    }
    return endpoint{text.substr(0, colon), static_cast<std::uint16_t>(number)};
}

} // namespace

exit_status operator_commands::fail(const error &e)
{
    m_err << "peridotctl: " << e.message << "\n";
    switch (e.kind) {
    case error_kind::Conflict:
        return exit_status::Conflict;
    case error_kind::Unavailable:
    case error_kind::OutcomeUnknown:
    case error_kind::TimedOut:
    case error_kind::Overloaded:
        return exit_status::PlatformUnreachable;
    default:
        return exit_status::BadInput;
    }
}

result<std::vector<instance_page>> operator_commands::pages(const std::string &path)
{
    auto members = m_fleet.instances();
    if (!members)
        return members.error();
    auto found = m_fleet.fetch(members.value(), path);
    for (const auto &page : found) {
        if (!page.body)
            m_err << "peridotctl: " << page.id << " is " << problemOf(page)
                  << "; nothing is known of it\n";
    }
    return found;
}

exit_status operator_commands::statusOf(const std::vector<instance_page> &pages)
{
    const bool all = std::all_of(pages.begin(), pages.end(),
                                 [](const instance_page &p) { return p.body.has_value(); });
    return all ? exit_status::Done : exit_status::PartialAnswer;
}

exit_status operator_commands::where()
{
    const auto found = pages("/operator/where");
    if (!found)
        return fail(found.error());
    if (m_json) {
        m_out << merged(found.value()).dump(2) << "\n";
        return statusOf(found.value());
    }
    std::vector<std::vector<std::string>> rows = {
            {"instance", "data centre", "configuration", "snapshot", ""}};
    for (const auto &page : found.value()) {
        const json p = parsed(page);
        rows.push_back({page.id.value(), page.dataCentre.value(), cell(p, "configurationVersion"),
                        cell(p, "snapshotVersion"), problemOf(page)});
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
        m_out << merged(found.value()).dump(2) << "\n";
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
                        cell(p, "servers"), cell(p, "serversLeaving"), members, problemOf(page)});
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
        process_timeline t;
        t.process = page.id.value();
        t.problem = page.problem;
        if (page.body) {
            auto read = timelineFromPage(*page.body);
            t.problem = read ? std::optional<std::string>() : read.error().message;
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

result<endpoint> readCtlSettings(const std::string &path)
{
    const INIReader reader(path);
    if (reader.ParseError() != 0) {
        return failure(error_kind::NotFound,
                       "settings file '" + path +
                               "' cannot be read; name one by --settings or PERIDOTCTL_SETTINGS "
                               "that holds [platform] address = IP:PORT");
    }
    return parseEndpoint(reader.Get("platform", "address", ""), path + ": [platform] address");
}

result<duration> parseDuration(const std::string &text)
{
    const std::map<std::string, double> unitsInMs = {{"us", 0.001}, {"ms", 1.0}, {"s", 1000.0}};
    std::size_t used = 0;
    double number = 0.0;
    try {
        number = std::stod(text, &used);
    } catch (const std::exception &) {
        used = 0;
    }
    const auto unit = unitsInMs.find(text.substr(used));
    constexpr double maxMs = 3600.0 * 1000.0;
    if (used == 0 || unit == unitsInMs.end() || !(number > 0.0) || number * unit->second > maxMs) {
        return failure(
                error_kind::InvalidArgument,
                "found '" + text +
                        "' as a time; give a positive number with unit, as 140ms, 2s or 500us");
    }
    return fromMilliseconds(number * unit->second);
}

} // namespace peridotwheel
