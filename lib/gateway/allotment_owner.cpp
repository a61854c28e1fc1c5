#include "allotment_owner.h"

#include <iterator>

namespace peridotwheel {

void allotment_owner::setBounds(const std::map<team_name, allotment_bounds> &bounds, time_point now)
{
    m_bounds = bounds;
    for (auto it = m_buckets.begin(); it != m_buckets.end();) {
        const auto known = m_bounds.find(it->first);
        if (known == m_bounds.end()) {
            it = m_buckets.erase(it);
            continue;
        }
        it->second.setBounds(known->second, now);
        ++it;
    }
}

void allotment_owner::begin(const team_name &team, bucket_id id, time_point now)
{
    const auto bounds = m_bounds.find(team);
    if (bounds != m_bounds.end())
        m_buckets.try_emplace(team, bounds->second, id, now);
}

bool allotment_owner::adopt(const allotment_bucket_state &state, time_point now)
{
    const auto bounds = m_bounds.find(state.team);
    return bounds != m_bounds.end() &&
           m_buckets.try_emplace(state.team, bounds->second, state, now).second;
}

std::optional<allotment_bucket_state> allotment_owner::release(const team_name &team,
                                                               time_point now)
{
    const auto found = m_buckets.find(team);
    if (found == m_buckets.end())
        return std::nullopt;
    auto state = found->second.state(team, now);
    m_buckets.erase(found);
    return state;
}

allotment_bucket *allotment_owner::find(const team_name &team)
{
    const auto found = m_buckets.find(team);
    return found == m_buckets.end() ? nullptr : &found->second;
}

std::vector<team_name> allotment_owner::teams() const
{
    std::vector<team_name> out;
    out.reserve(m_buckets.size());
    for (const auto &[team, bucket] : m_buckets)
        out.push_back(team);
    return out;
}

} // namespace peridotwheel
