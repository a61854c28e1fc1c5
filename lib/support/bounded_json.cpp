#include "peridotwheel/support/bounded_json.h"

namespace peridotwheel {

namespace {

/// Returns whether brackets nest deeper than `maxJsonDepth`. The depth is exact up to the first
/// syntax error, where parsing fails anyway. The parser callback of the JSON library could check
/// the depth as well, but takes time quadratic in the length of arrays (a second for a shard map of
/// one megabyte).
bool nestsTooDeeply(const std::string &text)
{
    int depth = 0;
    bool inString = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char c = text[i];
        if (c == '"')
            inString = !inString;
        else if (inString && c == '\\')
            ++i;
        else if (!inString && (c == '[' || c == '{') && ++depth > maxJsonDepth)
            return true;
        else if (!inString && (c == ']' || c == '}'))
            --depth;
    }
    return false;
}

} // namespace

result<nlohmann::json> parseBoundedJson(const std::string &text)
{
    if (nestsTooDeeply(text))
        return failure(error_kind::InvalidArgument, "the JSON text is nested too deeply");
    nlohmann::json value = nlohmann::json::parse(text, nullptr, false);
    if (value.is_discarded())
        return failure(error_kind::InvalidArgument,
                       "the text is not valid JSON; check it for syntax errors or truncation");
    return value;
}

} // namespace peridotwheel
