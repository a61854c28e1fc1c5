#include "peridotwheel/membership/server_directory.h"

#include <algorithm>

namespace peridotwheel {

namespace {

bool sameRecord(const server_record &a, const server_record &b)
{
    return a.start == b.start && a.service == b.service && a.sharded == b.sharded &&
           a.dataCentre == b.dataCentre && a.address == b.address &&
           a.connectionLimit == b.connectionLimit && a.leaving == b.leaving;
}

} // namespace

bool server_directory::isLeaving(const server_record &s) const
{
    return m_leaving.count({s.id, s.start}) != 0;
}

bool server_directory::applyList(const std::vector<server_record> &list, unsigned transmits)
{
    bool changed = false;
    for (auto &[id, count] : m_absences)
        ++count;
    for (server_record record : list) {
        m_absences[record.id] = 0;
        // noteLeaving() marks the stored record as well, so the comparison below finds no
        // difference.
        if (record.leaving && noteLeaving({record.id, record.start}, transmits))
            changed = true;
        record.leaving = record.leaving || isLeaving(record);
        auto [it, isNew] = m_servers.emplace(record.id, record);
        if (!isNew && sameRecord(it->second, record))
            continue;
        it->second = std::move(record);
        changed = true;
    }
    for (auto it = m_absences.begin(); it != m_absences.end();) {
        if (it->second < absencesUntilRemoved) {
            ++it;
            continue;
        }
        m_servers.erase(it->first);
        it = m_absences.erase(it);
        changed = true;
    }
    expireLeaving();
    return changed;
}

void server_directory::expireLeaving()
{
    for (auto it = m_leaving.begin(); it != m_leaving.end();) {
        const auto server = m_servers.find(it->first.id);
        const bool listed = server != m_servers.end() && server->second.start == it->first.start;
        it->second = listed ? 0 : it->second + 1;
        it = it->second > listsUntilExpired ? m_leaving.erase(it) : std::next(it);
    }
}

bool server_directory::noteLeaving(const server_leaving &run, unsigned transmits)
{
    if (m_leaving.count(run) != 0 || m_leaving.size() >= maxLeaving)
        return false;
    m_leaving.emplace(run, 0);
    m_recent.add(run, transmits);
    auto it = m_servers.find(run.id);
    if (it != m_servers.end() && it->second.start == run.start)
        it->second.leaving = true;
    return true;
}

std::vector<server_leaving> server_directory::updatesForMessage(std::size_t maxRecent,
                                                                std::size_t maxRepeated)
{
    auto out = m_recent.take(maxRecent);
    for (std::size_t i = std::min(maxRepeated, m_leaving.size()); i > 0; --i) {
        auto it = m_leaving.upper_bound(m_cursor);
        if (it == m_leaving.end())
            it = m_leaving.begin();
        m_cursor = it->first;
        out.push_back(m_cursor);
    }
    return out;
}

} // namespace peridotwheel
