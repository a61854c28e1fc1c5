#include "peridotwheel/peer/peer_gossip.h"

#include <algorithm>

namespace peridotwheel {

peer_gossip::peer_gossip(event_loop &loop, http_client &http, membership_controller &membership,
                         configuration_controller &configuration, snapshot_controller &snapshots,
                         counter_set &counters, std::uint64_t seed, peer_gossip_options options)
    : m_loop(loop)
    , m_client(http, counters)
    , m_membership(membership)
    , m_configuration(configuration)
    , m_snapshots(snapshots)
    , m_pushes(counters.at("peer.pushes"))
    , m_random(seed)
    , m_options(options)
    , m_this(std::make_shared<peer_gossip *>(this))
{
}

peer_gossip::~peer_gossip()
{
    m_configuration.setAdoptedHook(nullptr);
    m_snapshots.setAdoptedHook(nullptr);
    m_membership.setLeavingServerHook(nullptr);
}

void peer_gossip::start()
{
    m_configuration.setAdoptedHook([this](version_source source) {
        onAdopted(source, {true, false});
    });
    m_snapshots.setAdoptedHook([this](version_source source) { onAdopted(source, {false, true}); });
    m_membership.setLeavingServerHook([this](update_source source) {
        m_leavingPushAcross = m_leavingPushAcross || source == update_source::Direct;
        // News often comes in groups, one message carries them all.
        if (m_leavingPushPending)
            return;
        m_leavingPushPending = true;
        std::weak_ptr<peer_gossip *> weak = m_this;
        m_loop.post([weak] {
            const auto self = weak.lock();
            if (!self)
                return;
            (*self)->m_leavingPushPending = false;
            (*self)->pushWithin({});
            // Instances elsewhere may send to the server too seldom to notice by themselves in
            // time.
            if (std::exchange((*self)->m_leavingPushAcross, false))
                (*self)->pushAcross({});
        });
    });
    m_membership.start([this](const member &target, done_hook done) {
        send(target, {}, false, std::move(done));
    });
}

exchange peer_gossip::compose(const member &target, documents with)
{
    exchange out;
    out.sender = m_membership.self();
    out.configurationVersion = m_configuration.version();
    out.snapshotVersion = m_snapshots.version();
    out.members = m_membership.updatesFor(target.id);
    out.serversLeaving = m_membership.leavingServers();
    if (with.configuration && out.configurationVersion.value() != 0)
        out.configuration = m_configuration.text();
    if (with.shardMap && out.snapshotVersion.value() != 0)
        out.shardMap = m_snapshots.text();
    return out;
}

peer_gossip::documents peer_gossip::lackedBy(const exchange &message) const
{
    return {message.configurationVersion < m_configuration.version(),
            message.snapshotVersion < m_snapshots.version()};
}

void peer_gossip::merge(const exchange &message)
{
    const auto source = message.sender.dataCentre == m_membership.self().dataCentre
                                ? version_source::SameDataCentre
                                : version_source::OtherDataCentre;
    m_membership.merge(std::vector<member>{message.sender});
    m_membership.merge(message.members);
    m_membership.merge(message.serversLeaving);
    if (message.configuration)
        m_configuration.offer(*message.configuration, message.configurationVersion, source);
    if (message.shardMap)
        m_snapshots.offer(*message.shardMap, message.snapshotVersion, source);
    m_caughtUp = m_caughtUp || (message.configurationVersion <= m_configuration.version() &&
                                message.snapshotVersion <= m_snapshots.version());
}

exchange peer_gossip::answer(const exchange &message)
{
    merge(message);
    return compose(message.sender, lackedBy(message));
}

void peer_gossip::send(const member &target, documents with, bool followUp, done_hook done)
{
    std::weak_ptr<peer_gossip *> weak = m_this;
    m_client.send(target.peers, compose(target, with), m_options.exchangeTimeout,
                  [weak, target, followUp, done = std::move(done)](const result<exchange> &reply) {
                      if (auto self = weak.lock())
                          (*self)->onReply(target, reply, followUp, done);
                  });
}

void peer_gossip::onReply(const member &target, const result<exchange> &reply, bool followUp,
                          const done_hook &done)
{
    if (reply) {
        merge(reply.value());
        const documents lacked = lackedBy(reply.value());
        if ((lacked.configuration || lacked.shardMap) && !followUp)
            send(target, lacked, true, nullptr);
    }
    // Another instance may have taken over the address of one that is gone.
    if (done)
        done(reply && reply.value().sender.id == target.id);
}

void peer_gossip::onAdopted(version_source source, documents changed)
{
    // A version from the platform has not been seen by others yet; one from another data centre has
    // not been seen in this one. What came from the own data centre was pushed to all by its first
    // holder, unless the data centre is large.
    documents with;
    with.configuration =
            changed.configuration && m_configuration.text().size() <= m_options.pushDocumentBytes;
    with.shardMap = changed.shardMap && m_snapshots.text().size() <= m_options.pushDocumentBytes;
    const bool large = m_membership.reachable(true).size() > m_options.pushToAllUpTo;
    if (source != version_source::SameDataCentre || large)
        pushWithin(with);
    if (source == version_source::Platform)
        pushAcross(with);
}

void peer_gossip::push(bool everywhere)
{
    pushWithin({});
    if (everywhere)
        pushAcross({});
}

void peer_gossip::pushWithin(documents with)
{
    auto members = m_membership.reachable(true);
    const std::size_t limit =
            members.size() <= m_options.pushToAllUpTo ? members.size() : m_options.pushFanOut;
    pushTo(std::move(members), limit, with);
}

void peer_gossip::pushAcross(documents with)
{
    std::map<data_centre_id, std::vector<member>> byDataCentre;
    for (auto &m : m_membership.reachable(false))
        byDataCentre[m.dataCentre].push_back(std::move(m));
    for (auto &[dataCentre, members] : byDataCentre)
        pushTo(std::move(members), 1, with);
}

void peer_gossip::pushTo(std::vector<member> members, std::size_t limit, documents with)
{
    for (std::size_t i = 0; i < limit && i < members.size(); ++i) {
        std::swap(members[i], members[i + m_random.below(members.size() - i)]);
        m_pushes.add();
        send(members[i], with, false, nullptr);
    }
}

} // namespace peridotwheel
