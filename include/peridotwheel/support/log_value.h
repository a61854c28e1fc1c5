#ifndef PERIDOTWHEEL_SUPPORT_LOG_VALUE_H
#define PERIDOTWHEEL_SUPPORT_LOG_VALUE_H

#include <string>

namespace peridotwheel {

/// Quotes \p value for a `key=value` pair if it holds blanks, quotes or control characters.
std::string logValue(const std::string &value);

} // namespace peridotwheel

#endif
