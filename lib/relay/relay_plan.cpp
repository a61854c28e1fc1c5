#include "relay_plan.h"

#include <algorithm>
#include <set>
#include <utility>

namespace peridotwheel {

namespace {

/// Bounds the choice per group; the servers of a large service have far more owners than one query
/// can try.
constexpr std::size_t maxOwners = 64;

void addServers(relay_group &group, const std::vector<server_id> &servers,
                connection_directory &directory, const relay_peers &peers)
{
    std::set<instance_id> seen;
    for (const auto &server : servers) {
        if (directory.owns(server))
            group.ownServers.push_back(server);
        for (const auto &owner : directory.owners(server)) {
            const auto peer = peers.find(owner);
            if (peer != peers.end() && seen.insert(owner).second)
                group.owners.push_back(peer->second);
        }
    }
    if (group.owners.size() <= maxOwners)
        return;
    std::stable_partition(group.owners.begin(), group.owners.end(),
                          [](const auto &peer) { return peer->sameDataCentre; });
    group.owners.resize(maxOwners);
}

} // namespace

relay_plan_ptr makeRelayPlan(const shard_map_ptr &map, connection_directory &directory,
                             const relay_peers &peers)
{
    auto plan = std::make_shared<relay_plan>();
    plan->map = map;
    std::map<std::pair<service_name, std::vector<server_id>>, std::size_t> groupOf;
    for (const auto &s : map->shards) {
        plan->shards.push_back(s.id);
        const auto [it, isNew] = groupOf.try_emplace({s.service, s.replicas}, plan->groups.size());
        if (isNew) {
            plan->groups.push_back({s.service, {}, false, {}, {}});
            addServers(plan->groups.back(), s.replicas, directory, peers);
        }
        plan->groups[it->second].shards.push_back(s.id);
    }
    return plan;
}

relay_plan_ptr makePlainRelayPlan(const service_name &name, const server_map &servers,
                                  connection_directory &directory, const relay_peers &peers)
{
    auto plan = std::make_shared<relay_plan>();
    plan->groups.push_back({name, {}, true, {}, {}});
    std::vector<server_id> known;
    for (const auto &[id, record] : servers) {
        if (!record.sharded && record.service == name && !record.leaving)
            known.push_back(id);
    }
    addServers(plan->groups.back(), known, directory, peers);
    return plan;
}

} // namespace peridotwheel
