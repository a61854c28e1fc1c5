#ifndef PERIDOTWHEEL_STANDIN_FAULT_PLAN_H
#define PERIDOTWHEEL_STANDIN_FAULT_PLAN_H

#include "peridotwheel/support/error.h"
#include "peridotwheel/support/ids.h"
#include "peridotwheel/support/units.h"

#include <cstdint>
#include <set>
#include <string>

namespace peridotwheel {

/// What is wrong with one simulated backend server. The default is a healthy server.
struct fault_plan
{
    /// Requests are accepted and never answered.
    bool silent = false;
    /// The listener and all connections are closed.
    bool dead = false;
    /// Multiplies every service time.
    double slowFactor = 1.0;
    /// Share of the replies that are sent `delayedBy` late; the worker is free meanwhile.
    double delayedFraction = 0.0;
    duration delayedBy{};
    /// Share of the requests answered at once with status 500, not run.
    double errorFraction = 0.0;
    /// The next `coldReplies` executions take `coldFactor` times as long.
    std::uint32_t coldReplies = 0;
    double coldFactor = 10.0;
    /// Every request is shed with 503 and `X-Not-Run: 1`.
    bool shedAll = false;
    /// The server is leaving. It still answers, so that requests after the drain can be counted.
    bool draining = false;
    bool drainInHealth = true;  ///< Whether `/health` admits the drain.
    bool drainInReplies = true; ///< Whether replies admit the drain by `X-Draining: 1`.
    /// Share of the requests whose connection is reset on arrival, not executed.
    double resetBefore = 0.0;
    /// Share of the requests that are executed and whose connection is reset instead of a reply.
    double resetAfter = 0.0;
    /// Replaces the state in `/health` if not empty.
    std::string healthLie;
    /// Replaces the load in `/load` and `X-Load` if not negative.
    double loadLie = -1.0;
    /// Requests whose `X-Data-Centre` is in this set are never answered.
    std::set<data_centre_id> dropFrom;
};

/// Changes \p plan by the fields of a JSON object. Field names are those of the struct, with
/// `delayedByMs` for `delayedBy`; `"clear": true` starts from a healthy server. Unknown fields and
/// values out of range are errors and change nothing.
result<void> applyFaultJson(const std::string &json, fault_plan &plan);

} // namespace peridotwheel

#endif
