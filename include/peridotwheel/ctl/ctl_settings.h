#ifndef PERIDOTWHEEL_CTL_CTL_SETTINGS_H
#define PERIDOTWHEEL_CTL_CTL_SETTINGS_H

#include "peridotwheel/http/http_message.h"
#include "peridotwheel/support/error.h"
#include "peridotwheel/support/units.h"

#include <string>
#include <vector>

namespace peridotwheel {

/// The settings file of `peridotctl`.
struct ctl_settings
{
    endpoint platform;
    /// Operators' addresses that are asked while the platform does not answer.
    std::vector<endpoint> fallback;
};

/// Error: `NotFound` or `InvalidArgument`.
result<ctl_settings> readCtlSettings(const std::string &path);

/// Parses "140ms", "2s" or "500us". Error: `InvalidArgument`.
result<duration> parseDuration(const std::string &text);

} // namespace peridotwheel

#endif
