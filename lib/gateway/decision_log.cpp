#include "peridotwheel/gateway/decision_log.h"

#include "peridotwheel/support/log_value.h"

#include <algorithm>
#include <climits>
#include <cstdio>
#include <ctime>
#include <poll.h>
#include <unistd.h>

namespace peridotwheel {

namespace {

/// Buffer space reserved for state lines, which decisions must not fill.
constexpr std::size_t stateReserveBytes = 8 * 1024;

std::string timestamp(wall_time at)
{
    const auto ms = at.time_since_epoch().count();
    const std::time_t whole = ms / 1000;
    std::tm utc{};
    gmtime_r(&whole, &utc);
    char text[sizeof "2026-01-01T00:00:00.000Z "];
    const std::size_t used = std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%S", &utc);
    std::snprintf(text + used, sizeof text - used, ".%03dZ", static_cast<int>(ms % 1000));
    return text;
}

} // namespace

decision_log::decision_log(event_loop &loop, std::string instance, write_hook write, options o)
    : m_loop(loop)
    , m_instance(std::move(instance))
    , m_write(std::move(write))
    , m_options(o)
    , m_tokens(o.burstLines)
    , m_tokensAt(loop.now())
{
}

decision_log::~decision_log()
{
    flush();
}

bool decision_log::admitTrace(std::size_t lines)
{
    const time_point now = m_loop.now();
    const double elapsed = toMilliseconds(now - m_tokensAt) / 1000;
    m_tokens = std::min(m_options.burstLines, m_tokens + elapsed * m_options.linesPerSecond);
    m_tokensAt = now;
    const bool fits = m_buffer.size() + stateReserveBytes < m_options.maxBufferedBytes;
    if (!fits || m_tokens < static_cast<double>(lines)) {
        m_droppedLines += lines;
        return false;
    }
    m_tokens -= static_cast<double>(lines);
    return true;
}

void decision_log::append(std::string_view text)
{
    if (m_buffer.size() + text.size() > m_options.maxBufferedBytes) {
        ++m_droppedLines;
        return;
    }
    m_buffer.append(text);
    if (!m_flush)
        flushLater();
}

void decision_log::flushLater()
{
    m_flush = m_loop.schedule(m_options.flushInterval, [this] {
        m_flush.cancel();
        flush();
    });
}

void decision_log::flush()
{
    const std::size_t taken = m_write(m_buffer);
    m_buffer.erase(0, std::min(taken, m_buffer.size()));
    // Reported only once there is room again, since the report would be dropped as well otherwise.
    const std::uint64_t more = m_droppedLines - m_reportedDroppedLines;
    if (more != 0 && m_buffer.size() + stateReserveBytes < m_options.maxBufferedBytes) {
        m_reportedDroppedLines = m_droppedLines;
        state("log_lines_left_out").add("count", static_cast<std::int64_t>(more));
    }
    if (!m_buffer.empty() && !m_flush)
        flushLater();
}

decision_log::line::line(decision_log &log, std::string_view event, bool isAdmitted)
    : m_log(log)
    , m_isAdmitted(isAdmitted)
{
    if (!m_isAdmitted)
        return;
    m_text = timestamp(log.m_loop.wallNow()) + " instance=" + log.m_instance + " event=";
    m_text += event;
}

decision_log::line::~line()
{
    if (!m_isAdmitted)
        return;
    m_text += '\n';
    m_log.append(m_text);
}

decision_log::line &decision_log::line::add(std::string_view key, std::string_view value)
{
    if (!m_isAdmitted)
        return *this;
    m_text += ' ';
    m_text += key;
    m_text += '=';
    m_text += logValue(std::string(value));
    return *this;
}

decision_log::line &decision_log::line::add(std::string_view key, std::int64_t value)
{
    return m_isAdmitted ? add(key, std::to_string(value)) : *this;
}

decision_log::line &decision_log::line::addMs(std::string_view key, duration value)
{
    if (!m_isAdmitted)
        return *this;
    char text[32];
    std::snprintf(text, sizeof text, "%.1f", toMilliseconds(value));
    return add(key, text);
}

std::size_t writeWithoutBlocking(int fd, std::string_view text)
{
    std::size_t written = 0;
    while (written < text.size()) {
        pollfd ready{fd, POLLOUT, 0};
        if (poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0)
            return written;
        // A pipe that polls as writable accepts PIPE_BUF bytes without blocking.
        const std::size_t chunk = std::min<std::size_t>(text.size() - written, PIPE_BUF);
        const ssize_t n = write(fd, text.data() + written, chunk);
        if (n <= 0)
            return written;
        written += static_cast<std::size_t>(n);
    }
    return written;
}

} // namespace peridotwheel
