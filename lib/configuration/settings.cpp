#include "peridotwheel/configuration/settings.h"

#include "peridotwheel/support/endpoint_text.h"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <functional>
#include <ini.h>
#include <iterator>
#include <map>
#include <optional>
#include <vector>

namespace peridotwheel {

namespace {

/// inih splits longer lines (INI_MAX_LINE minus line end and terminator) without reporting an
/// error.
constexpr std::size_t maxLineBytes = 197;
constexpr std::size_t maxNameBytes = 64;

/// Stores a value, or returns what is wrong with it and the remedy.
using assign_hook = std::function<std::optional<std::string>(settings &, const std::string &)>;

struct key_rule
{
    const char *section;
    const char *key;
    bool required;
    assign_hook assign;
};

struct ini_entry
{
    std::string section;
    std::string key;
    std::string value;
};

std::optional<std::string> checkName(const std::string &value)
{
    const bool valid = !value.empty() && value.size() <= maxNameBytes &&
                       std::all_of(value.begin(), value.end(), [](unsigned char c) {
                           return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
                       });
    if (valid)
        return std::nullopt;
    return "is not a valid name; use 1 to " + std::to_string(maxNameBytes) +
           " letters, digits, '-', '_' or '.'";
}

template <class Id>
assign_hook assignName(Id settings::*field)
{
    return [field](settings &s, const std::string &value) {
        s.*field = Id(value);
        return checkName(value);
    };
}

bool isWildcard(const std::string &address)
{
    return address == "0.0.0.0" || address == "::";
}

assign_hook assignAddress(endpoint settings::*field)
{
    return [field](settings &s, const std::string &value) -> std::optional<std::string> {
        const auto parsed = parseEndpoint(value);
        if (!parsed)
            return "is not a numeric address with a port; write it like 10.0.0.7:8080 or "
                   "[::1]:8080";
        // Other processes connect to this address, and listeners must not overlap.
        if (isWildcard(parsed->address))
            return "is a wildcard address; write the one address that others connect to";
        s.*field = *parsed;
        return std::nullopt;
    };
}

std::optional<std::uint64_t> parseNumber(const std::string &value)
{
    std::uint64_t number = 0;
    const char *end = value.data() + value.size();
    const auto [stop, problem] = std::from_chars(value.data(), end, number);
    if (problem != std::errc() || stop != end)
        return std::nullopt;
    return number;
}

using store_hook = std::function<void(settings &, std::uint64_t)>;

assign_hook assignNumber(std::uint64_t low, std::uint64_t high, const store_hook &store)
{
    return [=](settings &s, const std::string &value) -> std::optional<std::string> {
        const auto parsed = parseNumber(value);
        if (!parsed || *parsed < low || *parsed > high) {
            return "is not a whole number from " + std::to_string(low) + " to " +
                   std::to_string(high) + "; choose one in this range";
        }
        store(s, *parsed);
        return std::nullopt;
    };
}

std::optional<std::string> assignLevel(settings &s, const std::string &value)
{
    if (value != "debug" && value != "info" && value != "warning" && value != "error")
        return "is not a log level; use debug, info, warning or error";
    s.logLevel = value;
    return std::nullopt;
}

/// Returns the keys that a settings file may hold. The upper limits prevent a mistyped number from
/// exhausting the memory of a 256 MB instance.
const std::vector<key_rule> &keyRules()
{
    static const std::uint64_t maxSeconds =
            std::chrono::duration_cast<seconds>(maxShutdownTimeout).count();
    static const std::vector<key_rule> all = {
            {"instance", "id", true, assignName(&settings::id)},
            {"instance", "data_centre", true, assignName(&settings::dataCentre)},
            {"listen", "callers", true, assignAddress(&settings::callers)},
            {"listen", "peers", true, assignAddress(&settings::peers)},
            {"listen", "operators", true, assignAddress(&settings::operators)},
            {"platform", "address", true, assignAddress(&settings::platform)},
            {"limits", "max_body_bytes", false,
             assignNumber(256, 1024 * 1024, [](settings &s, auto n) { s.maxBodyBytes = n; })},
            {"limits", "max_connections", false,
             assignNumber(1, 20000, [](settings &s, auto n) { s.maxConnections = n; })},
            {"limits", "max_waiting", false,
             assignNumber(1, 100000, [](settings &s, auto n) { s.maxWaiting = n; })},
            {"limits", "shutdown_seconds", false,
             assignNumber(1, maxSeconds,
                          [](settings &s, auto n) { s.shutdownTimeout = seconds(n); })},
            {"log", "level", false, assignLevel},
    };
    return all;
}

/// Number of single-character edits that turn \p a into \p b.
std::size_t editDistance(const std::string &a, const std::string &b)
{
    std::vector<std::size_t> row(b.size() + 1);
    for (std::size_t j = 0; j < row.size(); ++j)
        row[j] = j;
    for (std::size_t i = 1; i <= a.size(); ++i) {
        std::size_t diagonal = std::exchange(row[0], i);
        for (std::size_t j = 1; j < row.size(); ++j) {
            const std::size_t replaced = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
            diagonal = row[j];
            row[j] = std::min({replaced, row[j] + 1, row[j - 1] + 1});
        }
    }
    return row.back();
}

std::string qualified(const std::string &section, const std::string &key)
{
    return "[" + section + "] " + key;
}

std::string nearestKey(const ini_entry &entry)
{
    const key_rule *best = nullptr;
    std::size_t bestDistance = 0;
    for (const auto &rule : keyRules()) {
        // A difference in the key counts twice, so that a known key in the wrong section is nearer
        // than another key of the same section.
        const auto distance =
                2 * editDistance(entry.key, rule.key) + editDistance(entry.section, rule.section);
        if (best != nullptr && distance >= bestDistance)
            continue;
        best = &rule;
        bestDistance = distance;
    }
    return qualified(best->section, best->key);
}

const key_rule *findRule(const ini_entry &entry)
{
    for (const auto &rule : keyRules()) {
        if (entry.section == rule.section && entry.key == rule.key)
            return &rule;
    }
    return nullptr;
}

int collectEntry(void *user, const char *section, const char *key, const char *value)
{
    static_cast<std::vector<ini_entry> *>(user)->push_back({section, key, value});
    return 1;
}

std::optional<std::string> checkText(const std::string &text)
{
    if (text.size() > maxSettingsBytes)
        return "is larger than " + std::to_string(maxSettingsBytes) + " bytes; shorten it";
    if (text.find('\0') != std::string::npos)
        return "contains a NUL byte; save it as plain text";
    std::size_t line = 1;
    std::size_t length = 0;
    for (const char c : text) {
        length = c == '\n' ? 0 : length + 1;
        line += c == '\n' ? 1 : 0;
        if (length > maxLineBytes)
            return "line " + std::to_string(line) + " is longer than " +
                   std::to_string(maxLineBytes) + " bytes; shorten it";
    }
    return std::nullopt;
}

auto invalid(const std::string &message)
{
    return failure(error_kind::InvalidArgument, message);
}

std::optional<std::string> assignEntries(const std::vector<ini_entry> &entries, settings &s)
{
    std::map<const key_rule *, bool> seen;
    for (const auto &entry : entries) {
        const std::string found = qualified(entry.section, entry.key) + " = '" + entry.value + "' ";
        const auto *rule = findRule(entry);
        if (rule == nullptr)
            return found + "is unknown; did you mean " + nearestKey(entry) + "?";
        if (std::exchange(seen[rule], true))
            return found + "is given twice or continued on a second line; keep one line";
        if (const auto problem = rule->assign(s, entry.value))
            return found + *problem;
    }
    for (const auto &rule : keyRules()) {
        if (rule.required && seen.count(&rule) == 0)
            return qualified(rule.section, rule.key) + " = '' is missing; add it";
    }
    return std::nullopt;
}

std::optional<std::string> checkAddresses(const settings &s)
{
    const std::pair<const char *, const endpoint *> all[] = {
            {"[listen] callers", &s.callers},
            {"[listen] peers", &s.peers},
            {"[listen] operators", &s.operators},
            {"[platform] address", &s.platform},
    };
    for (auto a = std::begin(all); a != std::end(all); ++a) {
        for (auto b = std::next(a); b != std::end(all); ++b) {
            if (*a->second == *b->second) {
                return std::string(b->first) + " = '" + b->second->address + ":" +
                       std::to_string(b->second->port) + "' is the same as " + a->first +
                       "; give each its own address or port";
            }
        }
    }
    return std::nullopt;
}

} // namespace

result<settings> parseSettings(const std::string &text, const std::string &sourceName)
{
    const std::string prefix = sourceName + ": ";
    if (const auto problem = checkText(text))
        return invalid(prefix + *problem);
    std::vector<ini_entry> entries;
    const int badLine = ini_parse_string(text.c_str(), collectEntry, &entries);
    if (badLine != 0) {
        return invalid(prefix + "line " + std::to_string(badLine) +
                       " is neither '[section]' nor 'key = value'; correct it");
    }
    settings s;
    if (const auto problem = assignEntries(entries, s))
        return invalid(prefix + *problem);
    if (const auto problem = checkAddresses(s))
        return invalid(prefix + *problem);
    return s;
}

result<settings> readSettings(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    std::string text(maxSettingsBytes + 1, '\0');
    file.read(text.data(), static_cast<std::streamsize>(text.size()));
    if (file.bad() || (file.gcount() == 0 && !file.eof())) {
        return failure(error_kind::NotFound,
                       path + ": cannot be read; check that the file exists and is readable");
    }
    text.resize(static_cast<std::size_t>(file.gcount()));
    return parseSettings(text, path);
}

} // namespace peridotwheel
