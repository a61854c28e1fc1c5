#ifndef PERIDOTWHEEL_LIB_RELAY_RELAY_PLAN_H
#define PERIDOTWHEEL_LIB_RELAY_RELAY_PLAN_H

#include "peridotwheel/http/http_message.h"
#include "peridotwheel/relay/connection_directory.h"
#include "peridotwheel/routing/shard_map.h"

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

namespace peridotwheel {

/// Another instance as a target of relayed parts. The object lasts as long as the instance is
/// known, so that plans refer to it.
struct relay_peer
{
    instance_id id;
    endpoint address;
    bool sameDataCentre = false;
    /// Known and not dead.
    bool live = false;
    /// Suspected or leaving; used if no other is left.
    bool doubtful = false;
    /// It failed or was late; used before this time only if no other is left.
    time_point avoidUntil{};
    /// Scratch of the dispatch in progress: its number and the index of the part in it.
    std::uint64_t dispatchMark = 0;
    std::size_t partIndex = 0;

    /// Lower is better.
    int reluctance(time_point now) const
    {
        return (sameDataCentre ? 0 : 1) + (doubtful || now < avoidUntil ? 2 : 0);
    }
};

using relay_peer_ptr = std::shared_ptr<relay_peer>;
using relay_peers = std::map<instance_id, relay_peer_ptr>;

/// Shards with the same servers, and who can reach these.
struct relay_group
{
    service_name service;
    std::vector<shard_id> shards; ///< Ascending; empty for a plain service.
    bool plain = false;
    std::vector<server_id> ownServers;
    std::vector<relay_peer_ptr> owners;
};

struct relay_plan
{
    shard_map_ptr map;
    std::vector<relay_group> groups;
    std::vector<shard_id> shards; ///< All, ascending.
};

using relay_plan_ptr = std::shared_ptr<const relay_plan>;

relay_plan_ptr makeRelayPlan(const shard_map_ptr &map, connection_directory &directory,
                             const relay_peers &peers);
/// The plain service \p name as the only group; no servers and owners if it is unknown.
relay_plan_ptr makePlainRelayPlan(const service_name &name, const server_map &servers,
                                  connection_directory &directory, const relay_peers &peers);

} // namespace peridotwheel

#endif
