#include "peridotwheel/entry/control_plane.h"

#include "peridotwheel/support/hash.h"

namespace peridotwheel {

namespace {

/// Each component has its own random sequence, so that one component's draws do not shift
/// another's.
std::uint64_t derivedSeed(std::uint64_t seed, const member &self, std::string_view part)
{
    return stableHash(part, stableHash(self.id.value(), seed));
}

} // namespace

control_plane::control_plane(event_loop &loop, blackboard &board, platform_client &platform,
                             http_client &http, counter_set &counters, const event_sink &events,
                             std::uint64_t seed, const member &self, control_plane_options options)
    : m_loop(loop)
    , m_peerSyncTimeout(options.peerSyncTimeout)
    , m_membership(loop, board, platform, counters, events, derivedSeed(seed, self, "membership"),
                   self, options.membership)
    , m_configuration(loop, board, platform, counters, events,
                      derivedSeed(seed, self, "configuration"), self, options.watcher)
    , m_snapshots(loop, board, platform, counters, events, derivedSeed(seed, self, "snapshots"),
                  self, options.watcher)
    , m_gossip(loop, http, m_membership, m_configuration, m_snapshots, counters,
               derivedSeed(seed, self, "gossip"), options.gossip)
    , m_service(counters, [this](const exchange &message) { return m_gossip.answer(message); })
    , m_registration(loop, platform, derivedSeed(seed, self, "registration"), self)
{
}

void control_plane::start()
{
    m_startedAt = m_loop.now();
    m_gossip.start();
    m_configuration.start();
    m_snapshots.start();
    m_registration.setTarget(instance_registration::target_state::Live);
}

request_hook control_plane::peerHook()
{
    return [this](const http_request &request, const std::shared_ptr<http_responder> &responder) {
        m_service.handle(request, responder);
    };
}

bool control_plane::isInitialSyncDone() const
{
    return m_gossip.caughtUp() || m_loop.now() - m_startedAt >= m_peerSyncTimeout;
}

void control_plane::noteServerLeaving(const server_id &id, start_id start)
{
    m_membership.noteServerLeaving(id, start);
}

void control_plane::announceLeaving(std::function<void()> done)
{
    m_membership.announceLeaving();
    m_gossip.push(true);
    m_registration.setTarget(instance_registration::target_state::Leaving, std::move(done));
}

void control_plane::removeRegistration(std::function<void()> done)
{
    m_registration.setTarget(instance_registration::target_state::Absent, std::move(done));
}

} // namespace peridotwheel
