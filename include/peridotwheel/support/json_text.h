#ifndef PERIDOTWHEEL_SUPPORT_JSON_TEXT_H
#define PERIDOTWHEEL_SUPPORT_JSON_TEXT_H

#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace peridotwheel {

// These functions split JSON text without parsing the values in it, so that a value that cannot be
// parsed (too deeply nested, a number out of range, bytes that are no text) does not make the
// others unreadable. They need no stack for nested values. The results refer to the given text.

/// Returns the texts of the members of a JSON object by name; nothing if \p text is no object.
std::optional<std::map<std::string, std::string_view>> jsonMembers(std::string_view text);

/// Returns the texts of the elements of a JSON array; nothing if \p text is no array.
std::optional<std::vector<std::string_view>> jsonElements(std::string_view text);

/// Parses JSON text; each member or element that cannot be parsed becomes a discarded value, as
/// does the whole if nothing of it can be.
nlohmann::json parseReadableJson(std::string_view text);

} // namespace peridotwheel

#endif
