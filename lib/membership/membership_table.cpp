#include "peridotwheel/membership/membership_table.h"

#include <tuple>

namespace peridotwheel {

namespace {

int severity(member_state state)
{
    switch (state) {
    case member_state::Alive:
        return 0;
    case member_state::Suspect:
        return 1;
    case member_state::Leaving:
        return 2;
    case member_state::Dead:
        return 3;
    }
    return 3;
}

/// Includes the addresses, so that the order is total even for contradictory records.
auto orderKey(const member &m)
{
    return std::make_tuple(m.incarnation, severity(m.state), std::cref(m.start),
                           std::cref(m.dataCentre), std::cref(m.peers), std::cref(m.operators));
}

} // namespace

bool membership_table::supersedes(const member &a, const member &b)
{
    return orderKey(b) < orderKey(a);
}

bool membership_table::merge(const member &update, time_point now)
{
    auto it = m_members.find(update.id);
    if (it == m_members.end()) {
        if (m_members.size() >= m_limit)
            return false;
        it = m_members.emplace(update.id, update).first;
        it->second.since = now;
        return true;
    }
    if (!supersedes(update, it->second))
        return false;
    const bool sameState = it->second.state == update.state && it->second.start == update.start;
    const time_point since = sameState ? it->second.since : now;
    it->second = update;
    it->second.since = since;
    return true;
}

const member *membership_table::find(const instance_id &id) const
{
    const auto it = m_members.find(id);
    return it == m_members.end() ? nullptr : &it->second;
}

} // namespace peridotwheel
