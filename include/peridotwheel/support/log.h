#ifndef PERIDOTWHEEL_SUPPORT_LOG_H
#define PERIDOTWHEEL_SUPPORT_LOG_H

#include "peridotwheel/support/error.h"
#include "peridotwheel/support/log_value.h" // IWYU pragma: export

#include <string>

// easylogging++ is included through this header only, so that its settings stay in one place.
#include <easylogging++.h>

namespace peridotwheel {

/// Sets the process-wide log level (`debug`, `info`, `warning`, `error`) and the one-line format.
/// Log lines have the form `event=NAME key=value ...` and go to standard error.
result<void> configureLogging(const std::string &level);

} // namespace peridotwheel

#endif
