#include "peridotwheel/timeline/timeline_merge.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdio>
#include <ctime>
#include <sstream>

namespace peridotwheel {

namespace {

// Layout of the SVG in pixels.
constexpr int labelWidth = 140;
constexpr int plotWidth = 1000;
constexpr int laneHeight = 28;
constexpr int topMargin = 40;
constexpr int lineHeight = 18;

/// Formats as ISO 8601 in UTC with milliseconds, followed by the logical counter.
std::string formatTime(hybrid_time at)
{
    const std::time_t secs = static_cast<std::time_t>(at.wallMs / 1000);
    std::tm parts{};
    gmtime_r(&secs, &parts);
    std::array<char, 32> date{};
    std::strftime(date.data(), date.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    std::array<char, 64> out{};
    std::snprintf(out.data(), out.size(), "%s.%03dZ+%u", date.data(),
                  static_cast<int>(at.wallMs % 1000), at.counter);
    return out.data();
}

/// Replaces control characters by blanks, so that caller input in an event cannot forge a line.
std::string replaceControlCharacters(std::string text)
{
    for (char &c : text) {
        if (std::iscntrl(static_cast<unsigned char>(c)) != 0)
            c = ' ';
    }
    return text;
}

std::string describe(const timeline_event &event)
{
    std::string out = toString(event.kind);
    if (!event.request.value().empty())
        out += " request=" + event.request.value();
    if (!event.className.value().empty())
        out += " class=" + event.className.value();
    return replaceControlCharacters(out + " " + event.text);
}

std::string escapeXml(const std::string &text)
{
    std::string out;
    for (const char c : text) {
        switch (c) {
        case '<':
            out += "&lt;";
            break;
        case '>':
            out += "&gt;";
            break;
        case '&':
            out += "&amp;";
            break;
        case '"':
            out += "&quot;";
            break;
        default:
            out += c;
        }
    }
    return out;
}

/// Returns the SVG colour of \p kind: red for refusals and failures, orange for decisions of the
/// request and drain policies, and blue for everything else.
const char *colourOf(event_kind kind)
{
    switch (kind) {
    case event_kind::Refusal:
    case event_kind::Fault:
    case event_kind::Platform:
        return "#c0392b";
    case event_kind::Hedge:
    case event_kind::Retry:
    case event_kind::Drain:
        return "#d68910";
    default:
        return "#2471a3";
    }
}

class svg_writer
{
public:
    explicit svg_writer(const merged_timeline &timeline)
        : m_timeline(timeline)
    {
        if (timeline.events.empty())
            return;
        m_firstMs = timeline.events.front().event.at.wallMs;
        m_spanMs = std::max<std::int64_t>(1, timeline.events.back().event.at.wallMs - m_firstMs);
    }

    std::string write()
    {
        const auto notes = m_timeline.missing.size() + m_timeline.incomplete.size();
        const auto height = topMargin + laneHeight * (m_timeline.processes.size() + 1) +
                            lineHeight * (notes + 1);
        m_out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\""
              << labelWidth + plotWidth + laneHeight << "\" height=\"" << height
              << "\" font-family=\"sans-serif\" font-size=\"12\">\n";
        writeLanes();
        writeEvents();
        writeNotes();
        m_out << "</svg>\n";
        return m_out.str();
    }

private:
    std::size_t laneOf(const std::string &process) const
    {
        const auto &all = m_timeline.processes;
        const auto it = std::lower_bound(all.begin(), all.end(), process);
        return static_cast<std::size_t>(it - all.begin());
    }

    std::size_t yOf(std::size_t lane) const { return topMargin + laneHeight * lane; }

    void writeText(int x, std::size_t y, const std::string &text)
    {
        m_out << "<text x=\"" << x << "\" y=\"" << y << "\">"
              << escapeXml(replaceControlCharacters(text)) << "</text>\n";
    }

    void writeLanes()
    {
        if (!m_timeline.events.empty()) {
            writeText(labelWidth, lineHeight, formatTime(m_timeline.events.front().event.at));
            writeText(labelWidth + plotWidth / 2, lineHeight,
                      "span " + std::to_string(m_spanMs) + " ms");
        }
        for (std::size_t lane = 0; lane < m_timeline.processes.size(); ++lane) {
            writeText(4, yOf(lane) + 4, m_timeline.processes[lane]);
            m_out << "<line x1=\"" << labelWidth << "\" x2=\"" << labelWidth + plotWidth
                  << "\" y1=\"" << yOf(lane) << "\" y2=\"" << yOf(lane)
                  << "\" stroke=\"#bbbbbb\"/>\n";
        }
    }

    void writeEvents()
    {
        for (const auto &[process, event] : m_timeline.events) {
            const auto x = labelWidth + (event.at.wallMs - m_firstMs) * plotWidth / m_spanMs;
            m_out << "<circle cx=\"" << x << "\" cy=\"" << yOf(laneOf(process))
                  << "\" r=\"4\" fill=\"" << colourOf(event.kind) << "\"><title>"
                  << escapeXml(formatTime(event.at) + " " + process + " " + describe(event))
                  << "</title></circle>\n";
        }
    }

    void writeNotes()
    {
        std::size_t y = yOf(m_timeline.processes.size()) + lineHeight;
        for (const auto &note : m_timeline.missing)
            writeText(4, std::exchange(y, y + lineHeight), "missing " + note);
        for (const auto &note : m_timeline.incomplete)
            writeText(4, std::exchange(y, y + lineHeight), "incomplete " + note);
    }

    const merged_timeline &m_timeline;
    std::ostringstream m_out;
    std::int64_t m_firstMs = 0;
    std::int64_t m_spanMs = 1;
};

} // namespace

std::string renderText(const merged_timeline &timeline)
{
    std::string out;
    for (const auto &[process, event] : timeline.events)
        out += formatTime(event.at) + " " + process + " " + describe(event) + "\n";
    for (const auto &note : timeline.incomplete)
        out += "incomplete: " + replaceControlCharacters(note) + "\n";
    for (const auto &note : timeline.missing)
        out += "missing: " + replaceControlCharacters(note) + "\n";
    return out;
}

std::string renderSvg(const merged_timeline &timeline)
{
    return svg_writer(timeline).write();
}

} // namespace peridotwheel
