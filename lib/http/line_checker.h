#ifndef PERIDOTWHEEL_HTTP_LINE_CHECKER_H
#define PERIDOTWHEEL_HTTP_LINE_CHECKER_H

#include <string>
#include <string_view>

namespace peridotwheel {

/// Checks the lines of an HTTP/1.1 message: those of its head, and those around the chunks of its
/// body. http_parser as it is packaged skips bytes that must be line ends without looking at them,
/// and joins a line that starts with a blank to the one before. Both make the message end elsewhere
/// than its sender meant.
class line_checker
{
public:
    enum class start_line { Request, Status };

    explicit line_checker(start_line start)
        : m_start(start)
    {
    }

    /// Checks the next bytes outside of the body. Returns false if they break a line or form an
    /// invalid status line.
    bool check(std::string_view bytes);
    /// Notes that bytes of the body precede the next bytes: a line end has to follow.
    void skipBody() { m_next = position::AfterBody; }
    /// Prepares for the next message.
    void reset();

private:
    enum class position { LineStart, InLine, AfterReturn, AfterBody };

    bool checkNext(char c) const;
    bool endLine(bool hasReturn);

    start_line m_start;
    position m_next = position::LineStart;
    /// The start line has been read.
    bool m_isStarted = false;
    /// The start line ended with a carriage return, so that all lines have to.
    bool m_endsWithReturn = false;
    /// The first bytes of the start line.
    std::string m_startLine;
};

} // namespace peridotwheel

#endif
