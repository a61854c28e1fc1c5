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
    /// An instance that no peer answers counts as informed after this time: it may be the only one,
    /// or cut off, and serves with what the platform gave it.
    duration peerSyncTimeout = seconds(2);
};

/// All of an instance that deals with configuration, shard maps and membership. It writes the
/// sections `configuration`, `snapshots`, `members` and `servers`.
///
/// The platform client's health hook is the caller's to connect, to a `platform_health_tracker`.
class control_plane
{
public:
    control_plane(event_loop &loop, blackboard &board, platform_client &platform, http_client &http,
                  counter_set &counters, const event_sink &events, std::uint64_t seed,
                  const member &self, control_plane_options options = {});

    /// Reads the platform, registers this instance there and joins the peers.
    void start();

    /// Handler of the peers' listener, which must allow bodies of `maxPeerBodyBytes`.
    request_hook peerHook();

    /// Reports the first sign of a leaving server, and spreads it within the data centre. Cheap if
    /// it is known already.
    void noteServerLeaving(const server_id &id, start_id start);

    /// Tells peers and the platform that this instance is leaving. \p done is called when the
    /// platform has confirmed, which may never happen.
    void announceLeaving(std::function<void()> done = nullptr);
    /// Removes this instance's record at the platform, as the last step of a shutdown.
    void removeRegistration(std::function<void()> done = nullptr);

    /// Whether this instance holds what a peer holds, or has waited long enough for one to answer.
    /// A stale read of the platform may give a restarted instance an older configuration than the
    /// one that it had in force before.
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
