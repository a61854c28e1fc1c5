#include "json_elements.h"

#include <nlohmann/json.hpp>

namespace peridotwheel {

namespace {

using nlohmann::json;

/// Documents nested more deeply could exhaust the stack when they are serialised again.
constexpr std::size_t maxDepth = 64;

/// Validates a document and counts the elements of the outermost array in one pass.
class element_counter : public nlohmann::json_sax<json>
{
public:
    bool null() override { return value(); }
    bool boolean(bool) override { return value(); }
    bool number_integer(number_integer_t) override { return value(); }
    bool number_unsigned(number_unsigned_t) override { return value(); }
    bool number_float(number_float_t, const string_t &) override { return value(); }
    bool string(string_t &) override { return value(); }
    bool binary(binary_t &) override { return false; }
    bool key(string_t &) override { return true; }
    bool start_object(std::size_t) override { return open(false); }
    bool end_object() override { return close(); }
    bool start_array(std::size_t) override { return open(true); }
    bool end_array() override { return close(); }
    bool parse_error(std::size_t, const std::string &, const json::exception &) override
    {
        return false;
    }

    bool isArray() const { return m_isArray; }
    std::size_t count() const { return m_count; }

private:
    bool value()
    {
        if (m_depth == 1)
            ++m_count;
        return true;
    }
    bool open(bool array)
    {
        value();
        if (m_depth == 0)
            m_isArray = array;
        return ++m_depth <= maxDepth;
    }
    bool close()
    {
        --m_depth;
        return true;
    }

    std::size_t m_depth = 0;
    std::size_t m_count = 0;
    bool m_isArray = false;
};

std::string singleElement(std::string_view body)
{
    const std::size_t first = body.find('[') + 1;
    std::string_view inner = body.substr(first, body.rfind(']') - first);
    constexpr const char *blanks = " \t\r\n";
    inner.remove_prefix(inner.find_first_not_of(blanks));
    return std::string(inner.substr(0, inner.find_last_not_of(blanks) + 1));
}

} // namespace

std::optional<std::vector<std::string>> jsonElements(std::string_view body, std::size_t count)
{
    element_counter counter;
    if (!json::sax_parse(body, &counter) || !counter.isArray() || counter.count() != count)
        return std::nullopt;
    std::vector<std::string> elements;
    if (count == 1) {
        elements.push_back(singleElement(body));
        return elements;
    }
    for (const auto &element : json::parse(body))
        elements.push_back(element.dump());
    return elements;
}

} // namespace peridotwheel
