#include "peridotwheel/limits/connection_share.h"

#include "peridotwheel/support/hash.h"

#include <algorithm>

namespace peridotwheel {

int sameDataCentreFirst(const data_centre_id &a, const data_centre_id &b)
{
    return a == b ? 1 : 0;
}

connection_share::connection_share(instance_id self, time_point now, duration absenceHold,
                                   const data_centre_id &dataCentre, nearness_hook nearness)
    : m_self(std::move(self))
    , m_absenceHold(absenceHold)
    , m_nearness(std::move(nearness))
    , m_startedAt(now)
{
    m_countedInstances.emplace(m_self, dataCentre);
    groupByDataCentre();
}

void connection_share::groupByDataCentre()
{
    m_byDataCentre.clear();
    for (const auto &[id, dataCentre] : m_countedInstances)
        m_byDataCentre[dataCentre].push_back(id);
}

bool connection_share::updateMembers(const member_map &members, time_point now)
{
    bool changed = false;
    for (const auto &[id, m] : members) {
        if (m.state == member_state::Dead)
            continue;
        m_absentSince.erase(id);
        changed |= m_countedInstances.emplace(id, m.dataCentre).second;
    }
    for (auto it = m_countedInstances.begin(); it != m_countedInstances.end();) {
        const auto found = members.find(it->first);
        const bool live = found != members.end() && found->second.state != member_state::Dead;
        if (live || it->first == m_self) {
            ++it;
            continue;
        }
        const time_point since = m_absentSince.emplace(it->first, now).first->second;
        if (now - since < m_absenceHold) {
            ++it;
            continue;
        }
        m_absentSince.erase(it->first);
        it = m_countedInstances.erase(it);
        changed = true;
    }
    const bool viewConfirmed =
            m_viewConfirmed || m_countedInstances.size() > 1 || now - m_startedAt >= m_absenceHold;
    changed |= viewConfirmed != m_viewConfirmed;
    m_viewConfirmed = viewConfirmed;
    if (changed)
        groupByDataCentre();
    return changed;
}

connection_share::preference
connection_share::preferenceOf(const instance_id &id, const data_centre_id &dataCentre,
                               const server_id &server,
                               const data_centre_id &serverDataCentre) const
{
    return {serverDataCentre.value().empty() ? 0 : m_nearness(dataCentre, serverDataCentre),
            rendezvousWeight(server.value(), id.value())};
}

std::uint32_t connection_share::operator()(const server_id &server, std::uint32_t connectionLimit,
                                           const data_centre_id &serverDataCentre) const
{
    if (!m_viewConfirmed)
        return std::min(connectionLimit, 1U);
    const auto count = static_cast<std::uint32_t>(m_countedInstances.size());
    const std::uint32_t base = connectionLimit / count;
    const std::uint32_t remainder = connectionLimit % count;
    if (remainder == 0)
        return base;
    // If every instance gets at least one connection, proximity does not matter.
    const data_centre_id preferredDataCentre = base == 0 ? serverDataCentre : data_centre_id();
    return base + (isAmongPreferred(remainder, server, preferredDataCentre) ? 1 : 0);
}

bool connection_share::isAmongPreferred(std::uint32_t limit, const server_id &server,
                                        const data_centre_id &serverDataCentre) const
{
    const auto nearnessOf = [&](const data_centre_id &dataCentre) {
        return serverDataCentre.value().empty() ? 0 : m_nearness(dataCentre, serverDataCentre);
    };
    const int ownNearness = nearnessOf(m_countedInstances.at(m_self));
    const std::uint64_t serverHash = stableHash(server.value());
    const std::uint64_t ownWeight = rendezvousWeight(serverHash, m_self.value());
    std::size_t rankedAhead = 0;
    for (const auto &[dataCentre, instances] : m_byDataCentre) {
        const int nearness = nearnessOf(dataCentre);
        if (nearness > ownNearness) {
            rankedAhead += instances.size();
        } else if (nearness == ownNearness) {
            for (const instance_id &id : instances)
                rankedAhead += rendezvousWeight(serverHash, id.value()) > ownWeight ? 1 : 0;
        }
        if (rankedAhead >= limit)
            return false;
    }
    return true;
}

std::vector<instance_id> connection_share::owners(const server_id &server,
                                                  std::uint32_t connectionLimit,
                                                  const data_centre_id &serverDataCentre) const
{
    std::vector<std::pair<preference, const instance_id *>> ordered;
    ordered.reserve(m_countedInstances.size());
    for (const auto &[id, dataCentre] : m_countedInstances)
        ordered.emplace_back(preferenceOf(id, dataCentre, server, serverDataCentre), &id);
    const std::size_t count = std::min<std::size_t>(connectionLimit, ordered.size());
    const auto preferred = [](const auto &a, const auto &b) { return a.first > b.first; };
    std::partial_sort(ordered.begin(), ordered.begin() + static_cast<std::ptrdiff_t>(count),
                      ordered.end(), preferred);
    std::vector<instance_id> out;
    out.reserve(count);
    for (std::size_t i = 0; i < count; ++i)
        out.push_back(*ordered[i].second);
    return out;
}

} // namespace peridotwheel
