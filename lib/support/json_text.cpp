#include "peridotwheel/support/json_text.h"

#include "peridotwheel/support/bounded_json.h"

#include <algorithm>

namespace peridotwheel {

namespace {

constexpr std::string_view blanks = " \t\r\n";

/// Reads JSON text from the start. After a syntax error, `isValid` returns false.
class scanner
{
public:
    explicit scanner(std::string_view text)
        : m_text(text)
    {
    }

    bool isValid() const { return m_isValid; }

    /// Skips blanks and \p wanted; returns false if another character follows.
    bool take(char wanted)
    {
        skipBlanks();
        if (m_at >= m_text.size() || m_text[m_at] != wanted)
            return false;
        ++m_at;
        return true;
    }

    void require(char wanted) { m_isValid = take(wanted) && m_isValid; }

    void requireEnd()
    {
        skipBlanks();
        m_isValid = m_isValid && m_at == m_text.size();
    }

    /// Returns the text of the next value.
    std::string_view value()
    {
        skipBlanks();
        const std::size_t from = m_at;
        if (m_at < m_text.size() && m_text[m_at] == '"')
            skipString();
        else if (m_at < m_text.size() && (m_text[m_at] == '{' || m_text[m_at] == '['))
            skipContainer();
        else
            skipScalar();
        m_isValid = m_isValid && m_at > from;
        return m_text.substr(from, m_at - from);
    }

private:
    void skipBlanks() { m_at = std::min(m_text.find_first_not_of(blanks, m_at), m_text.size()); }

    void skipScalar()
    {
        m_at = std::min(m_text.find_first_of(",:]}[{\" \t\r\n", m_at), m_text.size());
    }

    void skipString()
    {
        for (++m_at; m_at < m_text.size(); ++m_at) {
            if (m_text[m_at] == '\\')
                ++m_at;
            else if (m_text[m_at] == '"')
                break;
        }
        m_isValid = m_isValid && m_at < m_text.size();
        m_at = std::min(m_at + 1, m_text.size());
    }

    void skipContainer()
    {
        std::string open;
        do {
            const char c = m_text[m_at];
            if (c == '"') {
                skipString();
                continue;
            }
            if (c == '{' || c == '[')
                open += c;
            else if (c == '}' || c == ']') {
                m_isValid = m_isValid && open.back() == (c == '}' ? '{' : '[');
                open.pop_back();
            }
            ++m_at;
        } while (!open.empty() && m_at < m_text.size());
        m_isValid = m_isValid && open.empty();
    }

    std::string_view m_text;
    std::size_t m_at = 0;
    bool m_isValid = true;
};

bool isQuoted(std::string_view text)
{
    return text.size() >= 2 && text.front() == '"' && text.back() == '"';
}

nlohmann::json parseReadableJson(std::string_view text, int depth)
{
    using nlohmann::json;
    if (auto whole = parseBoundedJson(std::string(text)))
        return std::move(whole).value();
    if (depth < maxJsonDepth) {
        if (const auto members = jsonMembers(text)) {
            json out = json::object();
            for (const auto &[name, value] : *members)
                out[name] = parseReadableJson(value, depth + 1);
            return out;
        }
        if (const auto elements = jsonElements(text)) {
            json out = json::array();
            for (const std::string_view element : *elements)
                out.push_back(parseReadableJson(element, depth + 1));
            return out;
        }
    }
    return json(json::value_t::discarded);
}

} // namespace

std::optional<std::map<std::string, std::string_view>> jsonMembers(std::string_view text)
{
    std::map<std::string, std::string_view> out;
    scanner in(text);
    in.require('{');
    if (in.isValid() && !in.take('}')) {
        do {
            const std::string_view nameText = in.value();
            const auto name = parseBoundedJson(std::string(nameText));
            in.require(':');
            const std::string_view value = in.value();
            if (!in.isValid() || !isQuoted(nameText))
                return std::nullopt;
            // A name that is no text cannot be asked for.
            if (name)
                out[name.value().get<std::string>()] = value;
        } while (in.take(','));
        in.require('}');
    }
    in.requireEnd();
    return in.isValid() ? std::optional(std::move(out)) : std::nullopt;
}

std::optional<std::vector<std::string_view>> jsonElements(std::string_view text)
{
    std::vector<std::string_view> out;
    scanner in(text);
    in.require('[');
    if (in.isValid() && !in.take(']')) {
        do {
            out.push_back(in.value());
        } while (in.isValid() && in.take(','));
        in.require(']');
    }
    in.requireEnd();
    return in.isValid() ? std::optional(std::move(out)) : std::nullopt;
}

nlohmann::json parseReadableJson(std::string_view text)
{
    return parseReadableJson(text, 0);
}

} // namespace peridotwheel
