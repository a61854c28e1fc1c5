#ifndef PERIDOTWHEEL_SUPPORT_BOUNDED_JSON_H
#define PERIDOTWHEEL_SUPPORT_BOUNDED_JSON_H

#include "peridotwheel/support/error.h"

#include <nlohmann/json.hpp>
#include <string>

namespace peridotwheel {

/// Maximum nesting depth of accepted JSON. Serialising a value recurses once per level, so that a
/// few megabytes of opening brackets would exhaust the stack.
constexpr int maxJsonDepth = 64;

/// Parses untrusted JSON text; fails on syntax errors and on nesting beyond `maxJsonDepth`.
result<nlohmann::json> parseBoundedJson(const std::string &text);

} // namespace peridotwheel

#endif
