#ifndef PERIDOTWHEEL_LIB_STANDIN_PLATFORM_PATH_H
#define PERIDOTWHEEL_LIB_STANDIN_PLATFORM_PATH_H

#include <cstdint>
#include <string>
#include <vector>

namespace peridotwheel {

/// The value of \p name in the query string of \p path, or \p fallback.
std::uint64_t queryNumber(const std::string &path, const std::string &name, std::uint64_t fallback);

/// Path without query string, split at slashes into at most three decoded parts; the third may
/// hold slashes.
std::vector<std::string> pathParts(const std::string &path);

} // namespace peridotwheel

#endif
