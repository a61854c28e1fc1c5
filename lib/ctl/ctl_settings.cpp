#include "peridotwheel/ctl/ctl_settings.h"

#include "peridotwheel/support/endpoint_text.h"

#include <INIReader.h>
#include <map>
#include <sstream>

namespace peridotwheel {

namespace {

result<endpoint> requireEndpoint(const std::string &text, const std::string &where)
{
    if (const auto parsed = parseEndpoint(text))
        return *parsed;
    return failure(error_kind::InvalidArgument,
                   where + " = '" + text +
                           "' is not a numeric address with a port; write it like "
                           "127.0.0.1:7000 or [::1]:7000");
}

std::string trimmed(const std::string &text)
{
    const auto first = text.find_first_not_of(" \t");
    return first == std::string::npos
                   ? ""
                   : text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

} // namespace

result<ctl_settings> readCtlSettings(const std::string &path)
{
    const INIReader reader(path);
    if (reader.ParseError() > 0) {
        return failure(error_kind::InvalidArgument,
                       path + ": line " + std::to_string(reader.ParseError()) +
                               " is neither a section nor 'key = value'; correct it");
    }
    if (reader.ParseError() != 0) {
        return failure(error_kind::NotFound,
                       "settings file '" + path +
                               "' cannot be read; name one by --settings or PERIDOTCTL_SETTINGS "
                               "that holds [platform] address = IP:PORT");
    }
    ctl_settings out;
    BOOST_OUTCOME_TRY(platform, requireEndpoint(reader.Get("platform", "address", ""),
                                                path + ": [platform] address"));
    out.platform = platform;
    std::istringstream list(reader.Get("fallback", "operators", ""));
    for (std::string item; std::getline(list, item, ',');) {
        BOOST_OUTCOME_TRY(address, requireEndpoint(trimmed(item), path + ": [fallback] operators"));
        out.fallback.push_back(std::move(address));
    }
    return out;
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
        return failure(error_kind::InvalidArgument,
                       "found '" + text +
                               "' as a time; give a positive number with unit of at most an hour, "
                               "as 140ms, 2s or 500us");
    }
    return fromMilliseconds(number * unit->second);
}

} // namespace peridotwheel
