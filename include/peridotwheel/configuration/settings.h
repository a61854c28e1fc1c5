#ifndef PERIDOTWHEEL_CONFIGURATION_SETTINGS_H
#define PERIDOTWHEEL_CONFIGURATION_SETTINGS_H

#include "peridotwheel/http/http_message.h"
#include "peridotwheel/support/error.h"
#include "peridotwheel/support/ids.h"
#include "peridotwheel/support/units.h"

#include <cstdint>
#include <string>

namespace peridotwheel {

/// The settings that one instance needs before it can reach the platform; see docs/settings.md.
/// Everything else is configuration and comes from the platform.
struct settings
{
    instance_id id;
    data_centre_id dataCentre;
    /// Listening addresses. They must differ, so that a caller cannot reach the other two
    /// interfaces.
    endpoint callers;
    endpoint peers;
    endpoint operators;
    /// Address of the platform, to which the instance connects.
    endpoint platform;
    std::uint64_t maxBodyBytes = 64 * 1024;
    std::uint64_t maxConnections = 1024;
    /// Limit of queries that wait for admission. A query that waits longer than its latency target
    /// allows is refused, so that a longer queue would help only in short bursts.
    std::uint64_t maxWaiting = 256;
    /// Upper bound of the duration of a graceful shutdown; at most `maxShutdownTimeout`.
    duration shutdownTimeout = seconds(10);
    std::string logLevel = "info";
};

/// The platform stops waiting for a leaving instance after this time.
constexpr duration maxShutdownTimeout = seconds(10);
/// Larger settings files are refused without parsing them.
constexpr std::size_t maxSettingsBytes = 64 * 1024;

/// Reads the INI file at \p path. Errors are `InvalidArgument`, or `NotFound` for a file that
/// cannot be read; the message names file, section, key, the value found and the remedy.
result<settings> readSettings(const std::string &path);

/// Like `readSettings`, for \p text; \p sourceName stands for the file in error messages.
result<settings> parseSettings(const std::string &text, const std::string &sourceName);

} // namespace peridotwheel

#endif
