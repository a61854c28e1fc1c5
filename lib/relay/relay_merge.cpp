#include "relay_merge.h"

#include "peridotwheel/query/merge.h"
#include "peridotwheel/query/query_engine.h"

#include <algorithm>

namespace peridotwheel {

relay_merge::relay_merge(std::optional<index_version> version, std::vector<shard_id> asked)
    : m_version(version)
    , m_asked(std::move(asked))
    , m_results(m_asked.size())
{
}

std::optional<std::size_t> relay_merge::indexOf(shard_id shard) const
{
    const auto it = std::lower_bound(m_asked.begin(), m_asked.end(), shard);
    if (it == m_asked.end() || *it != shard)
        return std::nullopt;
    return static_cast<std::size_t>(it - m_asked.begin());
}

bool relay_merge::has(shard_id shard) const
{
    const auto index = indexOf(shard);
    return index && !m_results[*index].empty();
}

std::size_t relay_merge::offer(const std::vector<shard_id> &partShards, index_version version,
                               std::vector<shard_result> results)
{
    std::size_t dropped = 0;
    for (auto &r : results) {
        const bool plain = r.shard.value() >= firstPlainShard;
        const bool rightVersion = plain || (m_version && version == *m_version);
        const bool asked = std::binary_search(partShards.begin(), partShards.end(), r.shard);
        const auto index = indexOf(r.shard);
        if (!rightVersion || !asked || !index || !m_results[*index].empty() || r.json.empty()) {
            ++dropped;
            continue;
        }
        m_results[*index] = std::move(r.json);
        ++m_answered;
    }
    return dropped;
}

coverage relay_merge::covered() const
{
    std::vector<shard_id> answered;
    answered.reserve(m_answered);
    for (std::size_t i = 0; i < m_asked.size(); ++i) {
        if (!m_results[i].empty())
            answered.push_back(m_asked[i]);
    }
    return coverageOf(m_asked, answered);
}

std::vector<shard_result> relay_merge::takeResults()
{
    std::vector<shard_result> results;
    results.reserve(m_answered);
    for (std::size_t i = 0; i < m_asked.size(); ++i) {
        if (!m_results[i].empty())
            results.push_back({m_asked[i], std::move(m_results[i])});
    }
    return results;
}

} // namespace peridotwheel
