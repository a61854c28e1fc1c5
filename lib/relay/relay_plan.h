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

/// Another instance as a target of relayed parts. There is one object per instance for as long as
/// the instance is in the member list, so that plans can refer to it.
struct relay_peer
{
    instance_id id;
    endpoint address;
    data_centre_id dataCentre;
    bool sameDataCentre = false;
    /// In the member list and not dead.
    bool live = false;
    /// Used only if no other owner is left.
    bool isSuspectOrLeaving = false;
    /// Set when the instance failed or was late; until then it is used only if no other owner is
    /// left.
    time_point avoidUntil{};
    /// The last dispatch that chose this instance, and the index of the instance's part in it. Used
    /// while that dispatch is in progress.
    std::uint64_t lastDispatchId = 0;
    std::size_t partIndex = 0;
};

using relay_peer_ptr = std::shared_ptr<relay_peer>;
using relay_peers = std::map<instance_id, relay_peer_ptr>;

/// An instance that owns a connection to a server of a group.
struct relay_owner
{
    relay_peer_ptr peer;
    /// One of the group's servers that it owns a connection to is in its data centre.
    bool hasServerInSameDataCentre = false;

    /// Returns the rank of the owner, lower is better: first by the number of calls between data
    /// centres on the way to the server, which also occupy a scarce connection of the server, then
    /// by whether the owner is in another data centre.
    int distance() const
    {
        const int calls = (peer->sameDataCentre ? 0 : 1) + (hasServerInSameDataCentre ? 0 : 1);
        return 2 * calls + (peer->sameDataCentre ? 0 : 1);
    }
    /// Returns the distance, raised above every regular distance if the owner is suspected, leaving
    /// or to be avoided at \p now.
    int penalty(time_point now) const
    {
        return distance() +
               (peer->isSuspectOrLeaving || now < peer->avoidUntil ? maxDistance + 1 : 0);
    }

    static constexpr int maxDistance = 5;
};

/// Shards of one service with the same servers, and the instances that own connections to these.
struct relay_group
{
    service_name service;
    std::vector<shard_id> shards; ///< Ascending; empty for a plain service.
    bool isPlain = false;
    std::vector<server_id> ownServers;
    bool hasOwnServerInSameDataCentre = false;
    std::vector<relay_owner> owners;
};

/// The groups in which the shards of a shard map, or one plain service, are asked.
struct relay_plan
{
    shard_map_ptr map;
    std::vector<relay_group> groups;
    std::vector<shard_id> shards; ///< Of all groups, ascending; empty for a plain service.
};

using relay_plan_ptr = std::shared_ptr<const relay_plan>;

/// The state of this instance from which plans are made.
struct relay_plan_inputs
{
    const server_map &servers;
    connection_directory &directory;
    const relay_peers &peers;
    const data_centre_id &dataCentre;
};

/// Returns the plan for all shards of \p map.
relay_plan_ptr makeRelayPlan(const shard_map_ptr &map, const relay_plan_inputs &inputs);
/// Returns a plan with the plain service \p name as its only group, which has no servers and owners
/// if the service is unknown.
relay_plan_ptr makePlainRelayPlan(const service_name &name, const relay_plan_inputs &inputs);

} // namespace peridotwheel

#endif
