#include "relay_plan.h"

#include <algorithm>
#include <map>
#include <utility>

namespace peridotwheel {

namespace {

/// Limits the owners kept per group: the servers of a large service have far more owners than one
/// query can try.
constexpr std::size_t maxOwners = 64;

void addServers(relay_group &group, const std::vector<server_id> &servers,
                const relay_plan_inputs &inputs)
{
    std::map<instance_id, std::size_t> indexOf;
    for (const auto &id : servers) {
        const auto record = inputs.servers.find(id);
        if (record == inputs.servers.end() || record->second.leaving)
            continue;
        const data_centre_id &at = record->second.dataCentre;
        if (inputs.directory.owns(id)) {
            group.ownServers.push_back(id);
            group.hasOwnServerInSameDataCentre |= at == inputs.dataCentre;
        }
        for (const auto &owner : inputs.directory.owners(id)) {
            const auto peer = inputs.peers.find(owner);
            if (peer == inputs.peers.end())
                continue;
            const auto [it, isNew] = indexOf.try_emplace(owner, group.owners.size());
            if (isNew)
                group.owners.push_back({peer->second, false});
            group.owners[it->second].hasServerInSameDataCentre |= at == peer->second->dataCentre;
        }
    }
    const auto nearer = [](const relay_owner &a, const relay_owner &b) {
        return a.distance() < b.distance();
    };
    std::stable_sort(group.owners.begin(), group.owners.end(), nearer);
    if (group.owners.size() > maxOwners)
        group.owners.resize(maxOwners);
}

} // namespace

relay_plan_ptr makeRelayPlan(const shard_map_ptr &map, const relay_plan_inputs &inputs)
{
    auto plan = std::make_shared<relay_plan>();
    plan->map = map;
    std::map<std::pair<service_name, std::vector<server_id>>, std::size_t> groupOf;
    for (const auto &s : map->shards) {
        plan->shards.push_back(s.id);
        const auto [it, isNew] = groupOf.try_emplace({s.service, s.replicas}, plan->groups.size());
        if (isNew) {
            plan->groups.push_back({s.service, {}, false, {}, false, {}});
            addServers(plan->groups.back(), s.replicas, inputs);
        }
        plan->groups[it->second].shards.push_back(s.id);
    }
    return plan;
}

relay_plan_ptr makePlainRelayPlan(const service_name &name, const relay_plan_inputs &inputs)
{
    auto plan = std::make_shared<relay_plan>();
    plan->groups.push_back({name, {}, true, {}, false, {}});
    std::vector<server_id> known;
    for (const auto &[id, record] : inputs.servers) {
        if (!record.sharded && record.service == name)
            known.push_back(id);
    }
    addServers(plan->groups.back(), known, inputs);
    return plan;
}

} // namespace peridotwheel
