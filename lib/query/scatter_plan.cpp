#include "scatter_plan.h"

#include "backend_server.h"

#include <utility>

namespace peridotwheel {

scatter_plan_ptr makePlan(const shard_map_ptr &map, const server_table &servers,
                          std::uint64_t epoch)
{
    auto plan = std::make_shared<scatter_plan>();
    plan->map = map;
    plan->epoch = epoch;
    std::map<std::pair<service_name, std::vector<server_id>>, std::size_t> groupOf;
    for (const auto &s : map->shards) {
        plan->shards.push_back(s.id);
        const auto [it, isNew] = groupOf.try_emplace({s.service, s.replicas}, plan->groups.size());
        if (isNew) {
            plan->groups.push_back({s.service, {}, {}, false});
            for (const auto &id : s.replicas) {
                const auto known = servers.find(id);
                if (known != servers.end())
                    plan->groups.back().replicas.push_back(known->second);
            }
        }
        plan->groups[it->second].shards.push_back(s.id);
    }
    return plan;
}

scatter_plan_ptr makePlainPlan(const service_name &name, const server_table &servers,
                               std::uint64_t epoch)
{
    auto plan = std::make_shared<scatter_plan>();
    plan->epoch = epoch;
    shard_group group;
    group.service = name;
    group.plain = true;
    for (const auto &entry : servers) {
        const server_record &record = entry.second->record;
        if (!record.sharded && record.service == name)
            group.replicas.push_back(entry.second);
    }
    plan->groups.push_back(std::move(group));
    return plan;
}

} // namespace peridotwheel
