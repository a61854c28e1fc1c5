#include "peridotwheel/limits/connection_share.h"

#include "peridotwheel/support/hash.h"

#include <algorithm>

namespace peridotwheel {

connection_share::connection_share(instance_id self, time_point now, duration hold)
    : m_self(std::move(self))
    , m_hold(hold)
    , m_startedAt(now)
{
    m_counted.insert(m_self);
}

bool connection_share::observe(const member_map &members, time_point now)
{
    bool changed = false;
    for (const auto &[id, m] : members) {
        if (m.state == member_state::Dead)
            continue;
        m_absentSince.erase(id);
        changed |= m_counted.insert(id).second;
    }
    for (auto it = m_counted.begin(); it != m_counted.end();) {
        const auto found = members.find(*it);
        const bool live = found != members.end() && found->second.state != member_state::Dead;
        if (live || *it == m_self) {
            ++it;
            continue;
        }
        const time_point since = m_absentSince.emplace(*it, now).first->second;
        if (now - since < m_hold) {
            ++it;
            continue;
        }
        m_absentSince.erase(*it);
        it = m_counted.erase(it);
        changed = true;
    }
    const bool confirmed = m_confirmed || m_counted.size() > 1 || now - m_startedAt >= m_hold;
    changed |= confirmed != m_confirmed;
    m_confirmed = confirmed;
    return changed;
}

std::uint32_t connection_share::operator()(const server_id &server,
                                           std::uint32_t connectionLimit) const
{
    if (!m_confirmed)
        return std::min(connectionLimit, 1U);
    const auto count = static_cast<std::uint32_t>(m_counted.size());
    const std::uint32_t base = connectionLimit / count;
    const std::uint32_t remainder = connectionLimit % count;
    if (remainder == 0)
        return base;
    const auto own = rendezvousWeight(server.value(), m_self.value());
    std::uint32_t heavier = 0;
    for (const auto &id : m_counted)
        heavier += rendezvousWeight(server.value(), id.value()) > own ? 1 : 0;
    return base + (heavier < remainder ? 1 : 0);
}

std::vector<instance_id> connection_share::owners(const server_id &server,
                                                  std::uint32_t connectionLimit) const
{
    std::vector<std::pair<std::uint64_t, const instance_id *>> weighted;
    weighted.reserve(m_counted.size());
    for (const auto &id : m_counted)
        weighted.emplace_back(rendezvousWeight(server.value(), id.value()), &id);
    const std::size_t count = std::min<std::size_t>(connectionLimit, weighted.size());
    const auto heavier = [](const auto &a, const auto &b) { return a.first > b.first; };
    std::partial_sort(weighted.begin(), weighted.begin() + static_cast<std::ptrdiff_t>(count),
                      weighted.end(), heavier);
    std::vector<instance_id> out;
    out.reserve(count);
    for (std::size_t i = 0; i < count; ++i)
        out.push_back(*weighted[i].second);
    return out;
}

} // namespace peridotwheel
