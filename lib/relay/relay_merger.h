#ifndef PERIDOTWHEEL_LIB_RELAY_RELAY_MERGER_H
#define PERIDOTWHEEL_LIB_RELAY_RELAY_MERGER_H

#include "peridotwheel/query/shard_results.h"

#include <cstddef>
#include <vector>

namespace peridotwheel {

/// Gathers the parts of one split query. Nothing enters the answer that is not of the pinned
/// version and asked for by the part.
class relay_merger
{
public:
    /// \p asked must be ascending without duplicates. \p version is absent if only plain services
    /// are asked.
    relay_merger(std::optional<index_version> version, std::vector<shard_id> asked);

    /// Takes what is new of a part that asked for \p partShards (ascending); returns the results
    /// dropped.
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
