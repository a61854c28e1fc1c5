#ifndef PERIDOTWHEEL_SUPPORT_URI_TEXT_H
#define PERIDOTWHEEL_SUPPORT_URI_TEXT_H

#include <string>
#include <string_view>

namespace peridotwheel {

/// Returns \p text with every byte except letters, digits, '-', '.', '_' and '~' percent-encoded,
/// so that it can stand as one path segment or query value of a URI.
std::string percentEncoded(std::string_view text);

} // namespace peridotwheel

#endif
