#include "relay_merger.h"

#include "peridotwheel/query/query_engine.h"

#include <algorithm>

namespace peridotwheel {

relay_merger::relay_merger(std::optional<index_version> version, std::vector<shard_id> asked)
    : m_version(version)
    , m_results(std::move(asked))
{
}

std::size_t relay_merger::addPartResults(const std::vector<shard_id> &partShards,
                                         index_version version, std::vector<shard_result> results)
{
    std::size_t dropped = 0;
    for (auto &r : results) {
        const bool plain = r.shard.value() >= firstPlainShard;
        const bool rightVersion = plain || (m_version && version == *m_version);
        const bool asked = std::binary_search(partShards.begin(), partShards.end(), r.shard);
        if (!rightVersion || !asked || !m_results.addResult(r.shard, std::move(r.json)))
            ++dropped;
    }
    return dropped;
}

} // namespace peridotwheel
