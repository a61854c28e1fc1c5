#ifndef PERIDOTWHEEL_QUERY_REPLY_MERGER_H
#define PERIDOTWHEEL_QUERY_REPLY_MERGER_H

#include "peridotwheel/query/shard_results.h"

#include <cstddef>
#include <string_view>
#include <vector>

namespace peridotwheel {

/// A backend server's reply to an attempt.
struct shard_reply
{
    attempt_id attempt;
    /// Absent if the server stated none, as plain services do.
    std::optional<index_version> version;
    /// The value of `X-Shards`; empty for plain services.
    std::string_view shards;
    std::string_view body;
};

enum class merge_verdict {
    Accepted,       ///< At least one shard was answered for the first time.
    Duplicate,      ///< All its shards were answered before.
    ForeignAttempt, ///< Does not belong to an open attempt of this query.
    WrongVersion,   ///< From another snapshot than the pinned one.
    WrongShards,    ///< Names a shard that the attempt did not ask for.
    Malformed,      ///< The body is not one JSON element per shard.
};

const char *toString(merge_verdict verdict);

/// Gathers the replies of one query for one pinned index version. Accepts only results that are of
/// this version and that an open attempt asked for.
class reply_merger
{
public:
    /// \p asked must be ascending without duplicates. \p version is absent if only plain services
    /// are asked.
    reply_merger(std::optional<index_version> version, std::vector<shard_id> asked);

    /// Opens \p attempt for \p shards, each of which was asked for.
    void openAttempt(attempt_id attempt, std::vector<shard_id> shards);
    /// Opens \p attempt to a plain service, which states neither version nor shards: its whole
    /// reply is the one element \p element.
    void openPlainAttempt(attempt_id attempt, shard_id element);
    /// Checks \p reply, adds its results and closes the attempt, whatever the verdict.
    merge_verdict addReply(const shard_reply &reply);
    bool has(shard_id shard) const { return m_results.has(shard); }
    bool complete() const { return m_results.complete(); }
    std::size_t answered() const { return m_results.answered(); }
    /// Moves the results out, ascending by shard.
    std::vector<shard_result> takeResults() { return m_results.takeAll(); }
    coverage covered() const { return m_results.covered(); }

private:
    struct open_attempt
    {
        attempt_id id;
        std::vector<shard_id> shards;
        bool plain = false;
    };

    merge_verdict addPlainElement(shard_id element, std::string_view body);
    merge_verdict addShards(const std::vector<shard_id> &shards, std::string_view body);

    std::optional<index_version> m_version;
    shard_results m_results;
    std::vector<open_attempt> m_openAttempts;
};

} // namespace peridotwheel

#endif
