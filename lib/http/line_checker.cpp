#include "line_checker.h"

#include <algorithm>
#include <cctype>

namespace peridotwheel {

namespace {

constexpr std::string_view versionPrefix = "HTTP/1.";
constexpr std::size_t statusAt = versionPrefix.size() + 2;
constexpr std::size_t statusDigits = 3;
constexpr std::size_t statusEnd = statusAt + statusDigits;

bool isDigit(char c)
{
    return std::isdigit(static_cast<unsigned char>(c)) != 0;
}

/// Whether \p line starts with version 1.x and a status of 100 to 999; of the rest, \p line holds
/// at most one character.
bool isStatusLine(std::string_view line)
{
    return line.size() >= statusEnd && line.substr(0, versionPrefix.size()) == versionPrefix &&
           isDigit(line[versionPrefix.size()]) && line[statusAt - 1] == ' ' &&
           line[statusAt] != '0' &&
           std::all_of(line.begin() + statusAt, line.begin() + statusEnd, &isDigit) &&
           (line.size() == statusEnd || line[statusEnd] == ' ');
}

} // namespace

bool line_checker::checkNext(char c) const
{
    switch (m_next) {
    case position::LineStart:
        return !m_isStarted || (c != ' ' && c != '\t');
    case position::InLine:
        return true;
    case position::AfterReturn:
        return c == '\n';
    case position::AfterBody:
        return c == '\r';
    }
    return false;
}

bool line_checker::endLine(bool hasReturn)
{
    if (m_isStarted)
        return hasReturn || !m_endsWithReturn;
    // Empty lines may precede the start line.
    if (m_startLine.empty())
        return true;
    m_isStarted = true;
    m_endsWithReturn = hasReturn;
    return m_start == start_line::Request || isStatusLine(m_startLine);
}

bool line_checker::check(std::string_view bytes)
{
    for (const char c : bytes) {
        if (!checkNext(c))
            return false;
        if (c == '\r') {
            m_next = position::AfterReturn;
        } else if (c == '\n') {
            const bool hasReturn = m_next == position::AfterReturn;
            m_next = position::LineStart;
            if (!endLine(hasReturn))
                return false;
        } else {
            m_next = position::InLine;
            if (!m_isStarted && m_startLine.size() <= statusEnd)
                m_startLine += c;
        }
    }
    return true;
}

void line_checker::reset()
{
    m_next = position::LineStart;
    m_isStarted = false;
    m_endsWithReturn = false;
    m_startLine.clear();
}

} // namespace peridotwheel
