#ifndef PERIDOTWHEEL_LIB_RELAY_RELAY_MERGER_H
#define PERIDOTWHEEL_LIB_RELAY_RELAY_MERGER_H

#include "peridotwheel/query/shard_results.h"

#include <cstddef>
#include <vector>

namespace peridotwheel {

/// Merges the results of the parts of one split query. Accepts only results of the pinned version
/// for shards that the part asked for; plain services have no version.
class relay_merger
{
public:
    /// \p asked must be ascending without duplicates. \p version is absent if only plain services
    /// are asked.
    relay_merger(std::optional<index_version> version, std::vector<shard_id> asked);

    /// Adds the results of a part that asked for \p partShards (ascending). Returns the number of
    /// results that were dropped: wrong version, shard not asked for, or already answered or empty.
    std::size_t addPartResults(const std::vector<shard_id> &partShards, index_version version,
                               std::vector<shard_result> results);
    bool has(shard_id shard) const { return m_results.has(shard); }
    bool complete() const { return m_results.complete(); }
    coverage covered() const { return m_results.covered(); }
    std::vector<shard_result> takeResults() { return m_results.takeAll(); }

private:
    std::optional<index_version> m_version;
    shard_results m_results;
};

} // namespace peridotwheel

#endif
