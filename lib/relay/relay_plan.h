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
    data_centre_id dataCentre;
    bool sameDataCentre = false;
    /// Known and not dead.
    bool live = false;
    /// Suspected or leaving; used if no other is left.
    bool isSuspectOrLeaving = false;
    /// It failed or was late; used before this time only if no other is left.
    time_point avoidUntil{};
    /// Scratch of the dispatch in progress: its number and the index of the part in it.
    std::uint64_t lastDispatchId = 0;
    std::size_t partIndex = 0;
};

using relay_peer_ptr = std::shared_ptr<relay_peer>;
using relay_peers = std::map<instance_id, relay_peer_ptr>;

/// An instance that owns a connection to a server of a group.
struct relay_owner
{
    relay_peer_ptr peer;
    /// One of its servers is in its own data centre.
    bool hasServerInSameDataCentre = false;

    /// Lower is better: first the calls between data centres on the way to the server, which also
    /// keep its scarce connection busy, then those to the owner.
    int distance() const
    {
        const int calls = (peer->sameDataCentre ? 0 : 1) + (hasServerInSameDataCentre ? 0 : 1);
        return 2 * calls + (peer->sameDataCentre ? 0 : 1);
    }
    int penalty(time_point now) const
    {
        return distance() +
               (peer->isSuspectOrLeaving || now < peer->avoidUntil ? maxDistance + 1 : 0);
    }

    static constexpr int maxDistance = 5;
};

/// Shards with the same servers, and who can reach these.
struct relay_group
{
    service_name service;
    std::vector<shard_id> shards; ///< Ascending; empty for a plain service.
    bool isPlain = false;
    std::vector<server_id> ownServers;
    /// One of `ownServers` is in the data centre of this instance.
    bool hasOwnServerInSameDataCentre = false;
    std::vector<relay_owner> owners;
};

struct relay_plan
{
    shard_map_ptr map;
    std::vector<relay_group> groups;
    std::vector<shard_id> shards; ///< All, ascending.
};

using relay_plan_ptr = std::shared_ptr<const relay_plan>;

/// What plans are made from.
struct relay_plan_inputs
{
    const server_map &servers;
    connection_directory &directory;
    const relay_peers &peers;
    const data_centre_id &dataCentre;
};

relay_plan_ptr makeRelayPlan(const shard_map_ptr &map, const relay_plan_inputs &inputs);
/// The plain service \p name as the only group; no servers and owners if it is unknown.
relay_plan_ptr makePlainRelayPlan(const service_name &name, const relay_plan_inputs &inputs);

} // namespace peridotwheel

#endif
