#include "peridotwheel/ctl/log_story.h"

#include <algorithm>
#include <iomanip>
#include <set>

namespace peridotwheel {

namespace {

/// Length of a time such as 2026-02-13T10:54:08.022Z.
constexpr std::size_t timeLength = 24;
constexpr std::size_t secondLength = 19;
/// Lines about beliefs that are shown before a request's own.
constexpr std::size_t shownBeliefs = 12;

bool isTime(const std::string &text, std::size_t at)
{
    if (text.size() < at + timeLength)
        return false;
    static const std::string shape = "0000-00-00T00:00:00.000Z";
    for (std::size_t i = 0; i < timeLength; ++i) {
        const char c = text[at + i];
        const bool fits = shape[i] == '0' ? c >= '0' && c <= '9' : c == shape[i];
        if (!fits)
            return false;
    }
    return true;
}

/// Reads one value, quoted or not, and moves \p at behind it.
std::string readValue(const std::string &text, std::size_t &at)
{
    if (at >= text.size() || text[at] != '"') {
        const std::size_t end = std::min(text.find(' ', at), text.size());
        std::string out = text.substr(at, end - at);
        at = end;
        return out;
    }
    std::string out;
    for (++at; at < text.size() && text[at] != '"'; ++at) {
        if (text[at] == '\\' && at + 1 < text.size())
            ++at;
        out += text[at];
    }
    ++at;
    return out;
}

bool isAboutRequest(const log_line &line, const std::string &id)
{
    return line.field("request") == id;
}

/// Servers and services that a request met.
std::set<std::string> namesIn(const std::vector<const log_line *> &story)
{
    std::set<std::string> names;
    for (const log_line *line : story) {
        names.insert(line->field("server"));
        names.insert(line->field("service"));
    }
    names.erase("");
    return names;
}

bool isBelief(const log_line &line)
{
    static const std::set<std::string> beliefs{"server_suspected",
                                               "server_answers_again",
                                               "server_left",
                                               "server_joined",
                                               "server_changed",
                                               "store_lost",
                                               "store_regained",
                                               "servers_missing",
                                               "servers_read_again",
                                               "admission_restricted",
                                               "admission_open",
                                               "configuration_in_force",
                                               "started",
                                               "stopping",
                                               "not_ready",
                                               "ready",
                                               "watch_started"};
    return beliefs.count(line.event) != 0;
}

void print(const log_line &line, std::ostream &out)
{
    out << line.time << " " << std::left << std::setw(22) << line.instance << " " << std::setw(24)
        << line.event;
    for (const auto &[key, value] : line.fields) {
        if (key != "request")
            out << " " << key << "=" << value;
    }
    out << "\n";
}

} // namespace

const std::string &log_line::field(const std::string &name) const
{
    static const std::string none;
    const auto it = fields.find(name);
    return it == fields.end() ? none : it->second;
}

std::optional<log_line> parseLogLine(const std::string &text)
{
    std::size_t at = 0;
    while (at < text.size() && !isTime(text, at))
        ++at;
    if (at >= text.size())
        return std::nullopt;
    log_line line;
    line.time = text.substr(at, timeLength);
    at += timeLength;
    while (at < text.size()) {
        if (text[at] == ' ') {
            ++at;
            continue;
        }
        const std::size_t equals = text.find('=', at);
        if (equals == std::string::npos)
            break;
        const std::string key = text.substr(at, equals - at);
        at = equals + 1;
        line.fields[key] = readValue(text, at);
    }
    line.instance = line.field("instance");
    line.event = line.field("event");
    line.fields.erase("instance");
    line.fields.erase("event");
    if (line.event.empty())
        return std::nullopt;
    return line;
}

std::vector<log_line> readLog(std::istream &in)
{
    std::vector<log_line> out;
    for (std::string text; std::getline(in, text);) {
        if (auto line = parseLogLine(text))
            out.push_back(std::move(*line));
    }
    return out;
}

bool explainRequest(const std::vector<log_line> &log, const std::string &id, std::ostream &out)
{
    std::vector<const log_line *> story;
    for (const auto &line : log) {
        if (isAboutRequest(line, id))
            story.push_back(&line);
    }
    if (story.empty())
        return false;
    const std::string &instance = story.front()->instance;
    const std::string &end = story.back()->time;
    const auto names = namesIn(story);
    std::vector<const log_line *> beliefs;
    for (const auto &line : log) {
        const bool isNamed = names.count(line.field("server")) != 0 ||
                             names.count(line.field("service")) != 0 ||
                             (line.field("server").empty() && line.field("service").empty());
        if (isBelief(line) && line.instance == instance && line.time <= end && isNamed)
            beliefs.push_back(&line);
    }
    const std::size_t skipped = beliefs.size() > shownBeliefs ? beliefs.size() - shownBeliefs : 0;
    out << "What " << instance << " believed before (" << beliefs.size() - skipped << " of "
        << beliefs.size() << " changes):\n";
    for (std::size_t i = skipped; i < beliefs.size(); ++i)
        print(*beliefs[i], out);
    out << "\nDecisions about " << id << " (at_ms counts from its arrival):\n";
    std::stable_sort(story.begin(), story.end(), [](const log_line *a, const log_line *b) {
        const bool aEnds = a->event == "request_ended";
        const bool bEnds = b->event == "request_ended";
        if (aEnds != bEnds)
            return bEnds;
        return std::strtod(a->field("at_ms").c_str(), nullptr) <
               std::strtod(b->field("at_ms").c_str(), nullptr);
    });
    for (const log_line *line : story)
        print(*line, out);
    return true;
}

void reportLog(const std::vector<log_line> &log, std::ostream &out)
{
    std::map<std::string, std::map<std::string, int>> bySecond;
    std::map<std::string, int> beliefs;
    std::set<std::string> outcomes;
    for (const auto &line : log) {
        if (isBelief(line))
            ++beliefs[line.event];
        if (line.event != "request_ended")
            continue;
        ++bySecond[line.time.substr(0, secondLength)][line.field("outcome")];
        outcomes.insert(line.field("outcome"));
    }
    out << std::left << std::setw(static_cast<int>(secondLength) + 2) << "second";
    for (const auto &outcome : outcomes)
        out << std::setw(16) << outcome;
    out << "\n";
    for (const auto &[second, counts] : bySecond) {
        out << std::setw(static_cast<int>(secondLength) + 2) << second;
        for (const auto &outcome : outcomes) {
            const auto it = counts.find(outcome);
            out << std::setw(16) << (it == counts.end() ? 0 : it->second);
        }
        out << "\n";
    }
    out << "\n";
    for (const auto &[event, count] : beliefs)
        out << std::setw(26) << event << count << "\n";
}

} // namespace peridotwheel
