#ifndef PERIDOTWHEEL_GATEWAY_GATEWAY_SETTINGS_H
#define PERIDOTWHEEL_GATEWAY_GATEWAY_SETTINGS_H

#include "peridotwheel/gateway/gateway.h"
#include "peridotwheel/http/http_message.h"
#include "peridotwheel/support/error.h"

#include <optional>
#include <string>
#include <vector>

namespace peridotwheel {

constexpr std::size_t bytesPerMegabyte = 1024 * 1024;

/// How far the requests of a team may exceed its allotment in any window.
struct allotment_tolerance
{
    duration window = seconds(5);
    /// Share of the allotted requests of the window.
    double excess = 0;
    /// Requests in the window.
    double slack = 0;
};

/// Settings that one gateway needs before it can reach the store; see docs/settings.md.
struct gateway_settings
{
    instance_id id;
    data_centre_id dataCentre;
    /// Listening addresses.
    endpoint callers;
    endpoint readiness;
    endpoint peers;
    endpoint metrics;
    endpoint store;
    /// Addresses of some instances, possibly out of date, for a start while the store is
    /// unavailable.
    std::vector<endpoint> seeds;
    /// Whether all instances start together for the first time, so that the directory of instances
    /// is only now being filled.
    bool firstStart = false;
    std::map<data_centre_id, region_id> regions;
    extra_attempt_limits extraAttempts;
    /// A change of the configuration or of a server must be applied within this time.
    duration applyWithin = seconds(3);
    allotment_tolerance allotments;
    /// Time within which an evacuation of a data centre must be applied; absent if there are none.
    std::optional<duration> evacuateWithin;
    /// Descriptors that this process may open.
    std::size_t maxDescriptors = 0;
    /// Bandwidth of this instance's link.
    byte_rate link = byte_rate::fromMegabits(100);
    /// Memory that this process may use.
    std::size_t memoryBytes = 0;
    /// The process is killed this long after it was asked to stop.
    duration stopWithin = seconds(6);
    /// Parts of the operators' rules that are in force.
    std::vector<std::string> contracts;
};

/// Reads the INI file at \p path. The message of an error names the file, the key, the value found
/// and the remedy. Unknown keys are ignored.
result<gateway_settings> readGatewaySettings(const std::string &path);
/// Like `readGatewaySettings`, for \p text; \p sourceName stands for the file in messages.
result<gateway_settings> parseGatewaySettings(const std::string &text,
                                              const std::string &sourceName);

} // namespace peridotwheel

#endif
