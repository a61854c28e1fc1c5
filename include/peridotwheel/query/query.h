#ifndef PERIDOTWHEEL_QUERY_QUERY_H
#define PERIDOTWHEEL_QUERY_QUERY_H

#include "peridotwheel/configuration/class_spec.h"
#include "peridotwheel/support/ids.h"
#include "peridotwheel/support/units.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace peridotwheel {

/// Lets the owner of a running query end it early. The executor sets the hook when the query
/// starts; after the query has ended, the hook has no effect.
struct query_cancellation
{
    std::function<void()> hook;

    void cancel()
    {
        if (const auto h = std::exchange(hook, nullptr))
            h();
    }
};

/// A validated request of a caller. The class is pinned at arrival, so that a configuration change
/// does not change the targets of a running query.
struct query_request
{
    request_id id;
    class_spec spec;
    /// Services to ask; empty means all sharded services.
    std::vector<service_name> services;
    std::string text;
    time_point arrival;
    /// Latest useful time of an answer; at most arrival + the class's latency target unless the
    /// caller asked for another.
    time_point deadline;
    bool repeatable = true;
    /// When the caller issued this try; required if not repeatable.
    std::optional<wall_time> issuedAt;
    /// Set if the request is part of a query that another instance or the relay has pinned to this
    /// index version; it is then not restarted on another one. Absent: the current version is used.
    std::optional<index_version> pinnedVersion;
    /// Exactly these shards, ascending, instead of all of the sharded services; `services` then
    /// names plain services only. Empty: as `services` says.
    std::vector<shard_id> shards;
    /// Allows the query to be ended early; null if it is never cancelled.
    std::shared_ptr<query_cancellation> cancellation;
};

/// Whether a request ran on a backend server.
enum class ran_state { Yes, No, Unknown };

/// Kind of an answer; determines the verdict of the status text.
enum class answer_kind {
    Complete,       ///< All shards answered.
    Partial,        ///< Some shards are missing; `coverage` says which.
    Expired,        ///< The deadline passed.
    RefusedLoad,    ///< Not run: the target could not be met under the present load.
    RefusedInput,   ///< Not run: the request is invalid.
    RefusedState,   ///< Not run here: starting, draining, or the index version is not known.
    RefusedClaim,   ///< Not run here: sealed, or the platform could not confirm the claim.
    InProgress,     ///< Another instance or an earlier try holds this request id.
    OutcomeUnknown, ///< Not repeatable and may have run.
    Failed,         ///< Ran and the server reported a failure, or no server could answer.
};

/// How much of the pinned shard map an answer covers.
struct coverage
{
    std::uint32_t answered = 0;
    std::uint32_t total = 0;
    std::vector<shard_id> missing; ///< Ascending.

    double share() const { return total == 0 ? 0.0 : static_cast<double>(answered) / total; }
};

/// The results of one shard: a JSON value, as the server sent it.
struct shard_result
{
    shard_id shard;
    std::string json;
};

/// The answer to a request.
struct query_answer
{
    answer_kind kind = answer_kind::Failed;
    ran_state ran = ran_state::No;
    index_version version;
    coverage covered;
    std::vector<shard_result> results; ///< Ascending by shard.
    /// Recommended delay before the caller tries again, if that is recommended.
    std::optional<duration> retryAfter;
    /// One line that tells the caller what happened or what to do.
    std::string detail;
    /// A server no longer held the pinned version.
    bool versionLost = false;
};

using answer_hook = std::function<void(query_answer)>;

} // namespace peridotwheel

#endif
