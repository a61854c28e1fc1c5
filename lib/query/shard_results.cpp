#include "peridotwheel/query/shard_results.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace peridotwheel {

coverage coverageOf(const std::vector<shard_id> &asked, const std::vector<shard_id> &answered)
{
    coverage c;
    c.total = static_cast<std::uint32_t>(asked.size());
    std::set_difference(asked.begin(), asked.end(), answered.begin(), answered.end(),
                        std::back_inserter(c.missing));
    c.answered = c.total - static_cast<std::uint32_t>(c.missing.size());
    return c;
}

shard_results::shard_results(std::vector<shard_id> asked)
    : m_asked(std::move(asked))
    , m_results(m_asked.size())
{
}

std::size_t shard_results::indexOf(shard_id shard) const
{
    const auto it = std::lower_bound(m_asked.begin(), m_asked.end(), shard);
    const bool isAsked = it != m_asked.end() && *it == shard;
    return isAsked ? static_cast<std::size_t>(it - m_asked.begin()) : m_asked.size();
}

bool shard_results::has(shard_id shard) const
{
    const std::size_t index = indexOf(shard);
    return index < m_results.size() && !m_results[index].empty();
}

bool shard_results::addResult(shard_id shard, std::string json)
{
    const std::size_t index = indexOf(shard);
    if (index == m_results.size() || !m_results[index].empty() || json.empty())
        return false;
    m_results[index] = std::move(json);
    ++m_answered;
    return true;
}

std::vector<shard_result> shard_results::takeAll()
{
    std::vector<shard_result> all;
    all.reserve(m_answered);
    for (std::size_t i = 0; i < m_asked.size(); ++i) {
        if (!m_results[i].empty())
            all.push_back({m_asked[i], std::move(m_results[i])});
    }
    return all;
}

coverage shard_results::covered() const
{
    std::vector<shard_id> answered;
    answered.reserve(m_answered);
    for (std::size_t i = 0; i < m_asked.size(); ++i) {
        if (!m_results[i].empty())
            answered.push_back(m_asked[i]);
    }
    return coverageOf(m_asked, answered);
}

} // namespace peridotwheel
