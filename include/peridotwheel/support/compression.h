#ifndef PERIDOTWHEEL_SUPPORT_COMPRESSION_H
#define PERIDOTWHEEL_SUPPORT_COMPRESSION_H

#include "peridotwheel/support/error.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace peridotwheel {

/// Compresses \p text in zlib's format, at the fastest level.
result<std::string> compress(std::string_view text);

/// Returns the text of \p textBytes bytes whose compressed form is \p compressed; fails if that is
/// not its exact size.
result<std::string> decompress(std::string_view compressed, std::size_t textBytes);

} // namespace peridotwheel

#endif
