#ifndef PERIDOTWHEEL_LIB_QUERY_SCATTER_PLAN_H
#define PERIDOTWHEEL_LIB_QUERY_SCATTER_PLAN_H

#include "peridotwheel/routing/shard_map.h"

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

namespace peridotwheel {

struct backend_server;

using server_table = std::map<server_id, std::shared_ptr<backend_server>>;

/// Shards of one service with the same replicas, so that one attempt can ask for all of them.
struct shard_group
{
    service_name service;
    std::vector<shard_id> shards; ///< Ascending.
    std::vector<std::shared_ptr<backend_server>> replicas;
    bool plain = false;
};

/// A shard map resolved against the known servers, so that a query needs no look-up by name.
struct scatter_plan
{
    shard_map_ptr map;
    /// Epoch of the server table from which this plan was made.
    std::uint64_t epoch = 0;
    std::vector<shard_group> groups;
    std::vector<shard_id> shards; ///< All, ascending.
};

using scatter_plan_ptr = std::shared_ptr<const scatter_plan>;

scatter_plan_ptr makePlan(const shard_map_ptr &map, const server_table &servers,
                          std::uint64_t epoch);
/// Returns a plan with the plain service \p name as its only group, which has no replicas if the
/// service is unknown.
scatter_plan_ptr makePlainPlan(const service_name &name, const server_table &servers,
                               std::uint64_t epoch);

} // namespace peridotwheel

#endif
