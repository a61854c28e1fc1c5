#ifndef PERIDOTWHEEL_ROUTING_SHARD_MAP_H
#define PERIDOTWHEEL_ROUTING_SHARD_MAP_H

#include "peridotwheel/support/error.h"
#include "peridotwheel/support/ids.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace peridotwheel {

struct shard
{
    shard_id id;
    service_name service;
    std::vector<server_id> replicas;
};

/// The shards of one index version. Immutable; a query keeps the same map from its start to its
/// answer.
struct shard_map
{
    index_version version;
    /// Ordered by id, ids unique.
    std::vector<shard> shards;
};

using shard_map_ptr = std::shared_ptr<const shard_map>;

/// The current shard map and the earlier ones that queries or servers may still refer to.
struct snapshot_set
{
    shard_map_ptr current; ///< Null until the first one is known.
    std::map<index_version, shard_map_ptr> retained;
};

/// Convert a shard map to and from the JSON text of the platform's `snapshots` objects:
/// {"version":V,"shards":[{"id":1,"service":"s","replicas":["a","b"]}]}. Parsing fails on duplicate
/// ids or empty replica lists.
std::string toJson(const shard_map &map);
result<shard_map> shardMapFromJson(const std::string &text);

} // namespace peridotwheel

#endif
