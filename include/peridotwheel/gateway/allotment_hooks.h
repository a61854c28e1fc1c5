#ifndef PERIDOTWHEEL_GATEWAY_ALLOTMENT_HOOKS_H
#define PERIDOTWHEEL_GATEWAY_ALLOTMENT_HOOKS_H

#include "peridotwheel/gateway/route.h"
#include "peridotwheel/support/units.h"

#include <cstdint>
#include <functional>

namespace peridotwheel {

enum class allotment_verdict {
    Granted,
    OverLimit,   ///< The team has used up its allotment.
    Unavailable, ///< Nobody can tell at present, and the reserve is used up.
};

/// Permission to send one request of a team.
struct allotment_token
{
    enum class source {
        Owner,   ///< Granted by another instance.
        Self,    ///< Taken from the bucket at this instance.
        Reserve, ///< Taken from the reserve of this instance.
    };

    team_name team;
    source from = source::Owner;
    /// Number of buckets that the team had, as this instance saw it. Tokens of earlier ones are
    /// void.
    std::uint64_t bucketGeneration = 0;
};

struct allotment_decision
{
    allotment_verdict verdict = allotment_verdict::Unavailable;
    /// Valid for `Granted`.
    allotment_token token;
    /// Time after which the request may be sent again; not for `Granted`.
    duration retryAfter{};
};

using allotment_callback = std::function<void(const allotment_decision &)>;

/// Functions that enforce the allotments of teams. Empty where they are not enforced.
struct allotment_hooks
{
    /// Calls back exactly once, by \p deadline at the latest and possibly from within the call.
    /// \p team has an allotment.
    std::function<void(const team_spec &team, time_point deadline, allotment_callback done)> take;
    /// Returns the token of a request that was never sent to a server.
    std::function<void(const allotment_token &token)> giveBack;
};

} // namespace peridotwheel

#endif
