#ifndef PERIDOTWHEEL_SUPPORT_URI_TEXT_H
#define PERIDOTWHEEL_SUPPORT_URI_TEXT_H

#include <string>
#include <string_view>

namespace peridotwheel {

/// Returns \p text with every byte except letters, digits, '-', '.', '_' and '~' percent-encoded,
/// so that it can stand as one path segment or query value of a URI.
std::string percentEncoded(std::string_view text);

/// In a query, '+' stands for a blank.
enum class uri_part { Path, Query };

/// Reverses `percentEncoded`. A '%' that is not followed by two hexadecimal digits stays.
std::string percentDecoded(std::string_view text, uri_part part);

} // namespace peridotwheel

#endif
