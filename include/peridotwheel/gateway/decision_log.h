#ifndef PERIDOTWHEEL_GATEWAY_DECISION_LOG_H
#define PERIDOTWHEEL_GATEWAY_DECISION_LOG_H

#include "peridotwheel/support/event_loop.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace peridotwheel {

/// Writes lines of `key=value` pairs to a process's standard output.
///
/// Neither a blocked reader of the output nor a burst of events may delay requests: lines are kept
/// in a bounded buffer, written only as far as the output accepts them without blocking, and
/// limited in rate. Dropped lines are counted and reported by a line of their own.
class decision_log
{
public:
    /// Writes as much as possible without blocking; returns the number of bytes taken.
    using write_hook = std::function<std::size_t(std::string_view)>;

    struct options
    {
        /// Sustained rate and burst of the lines that are subject to the rate limit.
        double linesPerSecond = 100;
        double burstLines = 400;
        std::size_t maxBufferedBytes = 64 * 1024;
        /// Lines are buffered for this long, so that many share one write.
        duration flushInterval = milliseconds(100);
    };

    decision_log(event_loop &loop, std::string instance, write_hook write, options o);
    decision_log(event_loop &loop, std::string instance, write_hook write)
        : decision_log(loop, std::move(instance), std::move(write), options())
    {
    }
    decision_log(const decision_log &) = delete;
    decision_log &operator=(const decision_log &) = delete;
    ~decision_log();

    /// A line that appends itself to the log when destroyed.
    class line
    {
    public:
        line(decision_log &log, std::string_view event, bool isAdmitted);
        line(const line &) = delete;
        line &operator=(const line &) = delete;
        ~line();

        line &add(std::string_view key, std::string_view value);
        line &add(std::string_view key, std::int64_t value);
        line &addMs(std::string_view key, duration value);

    private:
        decision_log &m_log;
        std::string m_text;
        bool m_isAdmitted;
    };

    /// Starts a line about a change of this process's state, or about its start, stop or reload.
    /// Written whenever the buffer has room.
    line state(std::string_view event) { return {*this, event, true}; }
    /// Starts a line about a decision on a request. Dropped if the rate limit is exceeded.
    line decision(std::string_view event) { return {*this, event, admit()}; }
    /// Returns whether \p lines lines about one request may be written, and takes them from the
    /// rate limit if so. The trace of a request is written completely or not at all.
    bool admitTrace(std::size_t lines);
    line traceLine(std::string_view event) { return {*this, event, true}; }

    /// Writes as much of the buffer as the output accepts.
    void flush();
    std::uint64_t droppedLines() const { return m_droppedLines; }

private:
    bool admit() { return admitTrace(1); }
    void append(std::string_view text);
    void flushLater();

    event_loop &m_loop;
    std::string m_instance;
    write_hook m_write;
    options m_options;
    std::string m_buffer;
    double m_tokens;
    time_point m_tokensAt;
    std::uint64_t m_droppedLines = 0;
    std::uint64_t m_reportedDroppedLines = 0;
    timer m_flush;
};

/// Writes to \p fd without ever waiting for its reader; returns the number of bytes written.
std::size_t writeWithoutBlocking(int fd, std::string_view text);

} // namespace peridotwheel

#endif
