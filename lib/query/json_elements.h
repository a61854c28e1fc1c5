#ifndef PERIDOTWHEEL_LIB_QUERY_JSON_ELEMENTS_H
#define PERIDOTWHEEL_LIB_QUERY_JSON_ELEMENTS_H

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace peridotwheel {

/// Returns the texts of the \p count elements of the JSON array \p body, or nothing if it is not
/// such an array or is nested too deeply. A single element is copied without building a document.
std::optional<std::vector<std::string>> jsonElements(std::string_view body, std::size_t count);

} // namespace peridotwheel

#endif
