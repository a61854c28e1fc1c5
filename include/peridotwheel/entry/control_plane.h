#ifndef PERIDOTWHEEL_ENTRY_CONTROL_PLANE_H
#define PERIDOTWHEEL_ENTRY_CONTROL_PLANE_H

#include "peridotwheel/entry/instance_registration.h"
#include "peridotwheel/peer/peer_gossip.h"
#include "peridotwheel/peer/peer_service.h"

namespace peridotwheel {

struct control_plane_options
{
    object_watcher_options watcher;
    membership_options membership;
    peer_gossip_options gossip;
    /// Timeout of the initial synchronisation with a peer. An instance without an answering peer
    /// may be the only one, or partitioned, and then serves with the state read from the platform.
    duration peerSyncTimeout = seconds(2);
};

/// The components of an instance for configuration, shard maps and membership. They write the
/// sections `configuration`, `snapshots`, `members` and `servers`.
///
/// The owner must connect the platform client's health hook to a `platform_health_tracker`.
class control_plane
{
public:
    control_plane(event_loop &loop, blackboard &board, platform_client &platform, http_client &http,
                  counter_set &counters, const event_sink &events, std::uint64_t seed,
                  const member &self, control_plane_options options = {});

    /// Starts reading the platform, registers this instance there and starts gossip with peers.
    void start();

    /// Returns the handler of the peers' listener, which must allow bodies of `maxPeerBodyBytes`.
    request_hook peerHook();

    /// Records that a server is leaving, and pushes this within the data centre. Cheap if the
    /// server is already marked.
    void noteServerLeaving(const server_id &id, start_id start);

    /// Tells peers and the platform that this instance is leaving. \p done is called when the
    /// platform has confirmed the write, which may never happen.
    void announceLeaving(std::function<void()> done = nullptr);
    /// Removes this instance's record at the platform, as the last step of a shutdown.
    void removeRegistration(std::function<void()> done = nullptr);

    /// Returns true once this instance holds versions no older than those of a peer, or
    /// `peerSyncTimeout` has passed. Needed because a stale read of the platform may give a
    /// restarted instance an older configuration than the one that it had in force before.
    bool isInitialSyncDone() const;

    const membership_controller &membership() const { return m_membership; }

private:
    event_loop &m_loop;
    duration m_peerSyncTimeout;
    time_point m_startedAt{};
    membership_controller m_membership;
    configuration_controller m_configuration;
    snapshot_controller m_snapshots;
    peer_gossip m_gossip;
    peer_service m_service;
    instance_registration m_registration;
};

} // namespace peridotwheel

#endif
