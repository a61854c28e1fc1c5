#ifndef PERIDOTWHEEL_GATEWAY_SERVER_REPORT_H
#define PERIDOTWHEEL_GATEWAY_SERVER_REPORT_H

#include "peridotwheel/support/ids.h"
#include "peridotwheel/support/units.h"

#include <cstdint>
#include <map>
#include <optional>

namespace peridotwheel {

/// Measurements of a server by one instance since its last report.
struct server_samples
{
    std::uint32_t replies = 0;
    /// Replies that took several times the usual work, as in a pause of the server.
    std::uint32_t slowReplies = 0;
    /// Attempts that failed, were rejected, or got no answer.
    std::uint32_t failures = 0;
    /// Sum over the replies of the work as a multiple of the usual one.
    double slownessSum = 0;
    /// The limit that the server named to this instance recently.
    std::optional<request_rate> limit;

    bool isEmpty() const { return replies + failures == 0 && !limit; }
};

using server_reports = std::map<server_id, server_samples>;

/// Deviations of a server from usual behaviour according to the measurements of many instances.
struct server_hint
{
    /// Work as a multiple of the usual one.
    double slowness = 1;
    /// Share of failed and rejected attempts.
    double errorRate = 0;
    /// The limit that the server named to one of the instances.
    std::optional<request_rate> limit;

    bool isUnusual() const { return slowness > 1 || errorRate > 0; }
};

using server_hints = std::map<server_id, server_hint>;

} // namespace peridotwheel

#endif
