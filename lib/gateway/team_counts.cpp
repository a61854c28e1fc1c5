#include "peridotwheel/gateway/team_counts.h"

#include <algorithm>

namespace peridotwheel {

team_count *team_counts::find(const team_ptr &team)
{
    return team ? &m_counts[team->name] : nullptr;
}

void team_counts::addOffered(const team_ptr &team)
{
    if (team_count *count = find(team))
        ++count->offered;
}

void team_counts::addAdmitted(const team_ptr &team)
{
    if (team_count *count = find(team))
        ++count->admitted;
}

void team_counts::addRefused(const team_ptr &team)
{
    if (team_count *count = find(team))
        ++count->refused;
}

void team_counts::keepOnly(const std::vector<team_ptr> &teams)
{
    std::map<team_name, team_count> kept;
    for (const auto &team : teams) {
        const auto known = m_counts.find(team->name);
        if (known != m_counts.end())
            kept.insert(*known);
    }
    m_counts = std::move(kept);
}

std::vector<std::pair<team_name, team_count>> team_counts::busiest(std::size_t most) const
{
    std::vector<std::pair<team_name, team_count>> all(m_counts.begin(), m_counts.end());
    const auto end = all.begin() + static_cast<std::ptrdiff_t>(std::min(most, all.size()));
    std::partial_sort(all.begin(), end, all.end(), [](const auto &a, const auto &b) {
        return a.second.offered > b.second.offered;
    });
    all.erase(end, all.end());
    return all;
}

} // namespace peridotwheel
