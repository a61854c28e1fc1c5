#include "allotment_owner.h"

#include <iterator>

namespace peridotwheel {

void allotment_owner::setTeams(const std::map<team_name, allotment_bounds> &owned, time_point now)
{
    for (auto it = m_buckets.begin(); it != m_buckets.end();)
        it = owned.count(it->first) != 0 ? std::next(it) : m_buckets.erase(it);
    for (const auto &[team, bounds] : owned) {
        const auto [it, isNew] = m_buckets.try_emplace(team, bounds, now);
        if (!isNew)
            it->second.setBounds(bounds, now);
    }
}

allotment_reply allotment_owner::handle(const allotment_request &request, time_point now)
{
    allotment_reply reply;
    reply.grants.reserve(request.reports.size());
    for (const auto &report : request.reports) {
        if (allotment_bucket *bucket = find(report.team)) {
            reply.grants.push_back(bucket->handle(request.sender, report, now));
            continue;
        }
        allotment_grant grant;
        grant.team = report.team;
        grant.isOwner = false;
        reply.grants.push_back(grant);
    }
    return reply;
}

allotment_bucket *allotment_owner::find(const team_name &team)
{
    const auto found = m_buckets.find(team);
    return found == m_buckets.end() ? nullptr : &found->second;
}

} // namespace peridotwheel
