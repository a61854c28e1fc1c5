#include "peridotwheel/gateway/gateway_settings.h"

#include "peridotwheel/support/endpoint_text.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <fstream>
#include <ini.h>
#include <map>
#include <optional>
#include <sstream>
#include <sys/resource.h>
#include <unistd.h>

namespace peridotwheel {

namespace {

/// Larger settings files are rejected without being parsed.
constexpr std::size_t maxFileBytes = 64 * 1024;
constexpr double maxSeconds = 3600;
constexpr double maxAttemptsConstant = 1e6;
constexpr double minLinkMegabits = 0.1;
constexpr double maxLinkMegabits = 1e6;
constexpr double defaultLinkMegabits = 100;
constexpr double minMemoryMegabytes = 1;
/// Memory that is used at most if the settings do not state it.
constexpr std::size_t defaultMemoryBytes = 256 * bytesPerMegabyte;

/// Returns the memory of this machine.
std::size_t machineMemoryBytes()
{
    const long pages = sysconf(_SC_PHYS_PAGES);
    const long pageBytes = sysconf(_SC_PAGESIZE);
    if (pages <= 0 || pageBytes <= 0)
        return defaultMemoryBytes;
    return static_cast<std::size_t>(pages) * static_cast<std::size_t>(pageBytes);
}
constexpr double maxMemoryMegabytes = 1e6;
constexpr double maxDescriptors = 1e7;
/// Descriptors that are assumed if the system states no limit.
constexpr std::size_t defaultDescriptors = 4096;

/// Returns the limit of this process on open descriptors.
std::size_t processDescriptors()
{
    rlimit limit{};
    const bool isKnown = getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY;
    return isKnown ? static_cast<std::size_t>(limit.rlim_cur) : defaultDescriptors;
}

using value_map = std::map<std::string, std::string>;

int storeSetting(void *user, const char *section, const char *key, const char *value)
{
    (*static_cast<value_map *>(user))[std::string(section) + "." + key] = value;
    return 1;
}

std::vector<std::string> splitList(const std::string &text)
{
    std::vector<std::string> out;
    std::istringstream in(text);
    for (std::string item; std::getline(in, item, ',');) {
        const auto first = item.find_first_not_of(" \t");
        if (first != std::string::npos)
            out.push_back(item.substr(first, item.find_last_not_of(" \t") - first + 1));
    }
    return out;
}

/// Reads typed values and records the first problem.
class value_reader
{
public:
    value_reader(value_map values, std::string source)
        : m_values(std::move(values))
        , m_source(std::move(source))
    {
    }

    std::string text(const std::string &key)
    {
        const auto it = m_values.find(key);
        if (it == m_values.end() || it->second.empty())
            return recordProblem(key, "", "is missing; add it"), "";
        return it->second;
    }

    endpoint address(const std::string &key)
    {
        const std::string value = text(key);
        if (const auto parsed = parseEndpoint(value))
            return *parsed;
        recordProblem(key, value,
                      "is not a numeric address with a port; write it like 10.0.0.7:8080");
        return {};
    }

    std::vector<endpoint> addresses(const std::string &key)
    {
        std::vector<endpoint> out;
        const auto it = m_values.find(key);
        for (const auto &item : splitList(it == m_values.end() ? "" : it->second)) {
            if (const auto parsed = parseEndpoint(item))
                out.push_back(*parsed);
            else
                recordProblem(key, item,
                              "is not a numeric address with a port; correct or remove it");
        }
        return out;
    }

    double number(const std::string &key, double low, double high, double fallback)
    {
        const auto it = m_values.find(key);
        if (it == m_values.end() || it->second.empty())
            return fallback;
        char *end = nullptr;
        const double value = std::strtod(it->second.c_str(), &end);
        if (*end == '\0' && value >= low && value <= high)
            return value;
        recordProblem(key, it->second,
                      "is not a number from " + numberText(low) + " to " + numberText(high) +
                              "; choose one in this range");
        return fallback;
    }

    bool flag(const std::string &key)
    {
        const auto it = m_values.find(key);
        if (it == m_values.end() || it->second.empty() || it->second == "false")
            return false;
        if (it->second != "true")
            recordProblem(key, it->second, "is neither 'true' nor 'false'; write one of them");
        return true;
    }

    std::vector<std::string> list(const std::string &key)
    {
        const auto it = m_values.find(key);
        return splitList(it == m_values.end() ? "" : it->second);
    }

    /// Returns all pairs of one section, keyed without the section's name.
    value_map section(const std::string &name) const
    {
        value_map out;
        const std::string prefix = name + ".";
        for (const auto &[key, value] : m_values) {
            if (key.compare(0, prefix.size(), prefix) == 0)
                out[key.substr(prefix.size())] = value;
        }
        return out;
    }

    const std::optional<std::string> &problem() const { return m_problem; }

private:
    static std::string numberText(double value)
    {
        std::ostringstream out;
        out << value;
        return out.str();
    }

    void recordProblem(const std::string &key, const std::string &value, const std::string &remedy)
    {
        if (m_problem)
            return;
        const auto dot = key.find('.');
        m_problem = m_source + ": [" + key.substr(0, dot) + "] " + key.substr(dot + 1) + " = '" +
                    value + "' " + remedy;
    }

    value_map m_values;
    std::string m_source;
    std::optional<std::string> m_problem;
};

} // namespace

result<gateway_settings> parseGatewaySettings(const std::string &text,
                                              const std::string &sourceName)
{
    value_map values;
    const int badLine = ini_parse_string(text.c_str(), storeSetting, &values);
    if (badLine != 0) {
        return failure(error_kind::InvalidArgument,
                       sourceName + ": line " + std::to_string(badLine) +
                               " is neither '[section]' nor 'key = value'; correct it");
    }
    value_reader reader(std::move(values), sourceName);
    gateway_settings s;
    s.id = instance_id(reader.text("instance.id"));
    s.dataCentre = data_centre_id(reader.text("instance.data_centre"));
    s.callers = reader.address("listen.callers");
    s.readiness = reader.address("listen.readiness");
    s.peers = reader.address("listen.peers");
    s.metrics = reader.address("listen.metrics");
    s.store = reader.address("store.address");
    s.seeds = reader.addresses("peers.seeds");
    s.firstStart = reader.flag("instance.first_start");
    s.link = byte_rate::fromMegabits(reader.number("instance.link_mbit", minLinkMegabits,
                                                   maxLinkMegabits, defaultLinkMegabits));
    const double memoryMegabytes =
            reader.number("instance.memory_mb", minMemoryMegabytes, maxMemoryMegabytes, 0);
    s.memoryBytes = memoryMegabytes > 0
                            ? static_cast<std::size_t>(bytesPerMegabyte * memoryMegabytes)
                            : std::min(machineMemoryBytes(), defaultMemoryBytes);
    s.contracts = reader.list("rules.contracts");
    for (const auto &[dataCentre, region] : reader.section("regions"))
        s.regions[data_centre_id(dataCentre)] = region_id(region);
    extra_attempt_limits &extra = s.extraAttempts;
    extra.ratio = reader.number("extra_attempts.ratio", 0, 1, extra.ratio);
    extra.constant =
            reader.number("extra_attempts.constant", 0, maxAttemptsConstant, extra.constant);
    const auto secondsOf = [&](const char *key, duration fallback) {
        return fromMilliseconds(1000 *
                                reader.number(key, 1, maxSeconds, toMilliseconds(fallback) / 1000));
    };
    extra.window = secondsOf("extra_attempts.window_seconds", extra.window);
    const auto millisecondsOf = [&](const char *key, duration fallback) {
        return fromMilliseconds(reader.number(key, 1, 1000 * maxSeconds, toMilliseconds(fallback)));
    };
    s.applyWithin = std::min(millisecondsOf("changes.configuration_within_ms", s.applyWithin),
                             millisecondsOf("changes.drain_within_ms", s.applyWithin));
    const double evacuateMs =
            reader.number("changes.evacuation_within_ms", 0, 1000 * maxSeconds, 0);
    if (evacuateMs > 0)
        s.evacuateWithin = fromMilliseconds(evacuateMs);
    s.allotments.window = secondsOf("allotments.window_seconds", s.allotments.window);
    s.allotments.excess = reader.number("allotments.excess", 0, 1, s.allotments.excess);
    s.allotments.slack =
            reader.number("allotments.slack", 0, maxAttemptsConstant, s.allotments.slack);
    s.maxDescriptors =
            static_cast<std::size_t>(reader.number("instance.descriptors", 0, maxDescriptors, 0));
    if (s.maxDescriptors == 0)
        s.maxDescriptors = processDescriptors();
    s.stopWithin = secondsOf("shutdown.killed_after_seconds", s.stopWithin);
    if (reader.problem())
        return failure(error_kind::InvalidArgument, *reader.problem());
    return s;
}

result<gateway_settings> readGatewaySettings(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    std::string text(maxFileBytes + 1, '\0');
    file.read(text.data(), static_cast<std::streamsize>(text.size()));
    if (file.bad() || file.gcount() == 0) {
        return failure(error_kind::NotFound,
                       path + ": cannot be read; check that the file exists and is readable");
    }
    text.resize(static_cast<std::size_t>(file.gcount()));
    if (text.size() > maxFileBytes) {
        return failure(error_kind::InvalidArgument, path + ": is larger than " +
                                                            std::to_string(maxFileBytes) +
                                                            " bytes; shorten it");
    }
    return parseGatewaySettings(text, path);
}

} // namespace peridotwheel
