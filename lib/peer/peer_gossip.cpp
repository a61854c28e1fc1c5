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
        m_leavingPushToOtherDataCentres =
                m_leavingPushToOtherDataCentres || source == update_source::Direct;
        // Reports of leaving servers often arrive in groups, and one posted push carries them all.
        if (m_leavingPushPending)
            return;
        m_leavingPushPending = true;
        std::weak_ptr<peer_gossip *> weak = m_this;
        m_loop.post([weak] {
            const auto self = weak.lock();
            if (!self)
                return;
            (*self)->m_leavingPushPending = false;
            (*self)->pushWithinDataCentre({});
            // Instances of other data centres may send to the server too seldom to notice in time
            // that it is leaving.
            if (std::exchange((*self)->m_leavingPushToOtherDataCentres, false))
                (*self)->pushToOtherDataCentres({});
        });
    });
    m_membership.start([this](const member &target, done_hook done) {
        send(target, {}, false, std::move(done));
    });
}

exchange peer_gossip::compose(const member &target, documents included)
{
    exchange out;
    out.sender = m_membership.self();
    out.configurationVersion = m_configuration.version();
    out.snapshotVersion = m_snapshots.version();
    out.members = m_membership.updatesFor(target.id);
    out.serversLeaving = m_membership.leavingServers();
    if (included.configuration && out.configurationVersion.value() != 0)
        out.configuration = m_configuration.text();
    if (included.shardMap && out.snapshotVersion.value() != 0)
        out.shardMap = m_snapshots.text();
    return out;
}

peer_gossip::documents peer_gossip::documentsLackedBy(const exchange &message) const
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
    return compose(message.sender, documentsLackedBy(message));
}

void peer_gossip::send(const member &target, documents included, bool isFollowUp, done_hook done)
{
    std::weak_ptr<peer_gossip *> weak = m_this;
    m_client.send(
            target.peers, compose(target, included), m_options.exchangeTimeout,
            [weak, target, isFollowUp, done = std::move(done)](const result<exchange> &reply) {
                if (auto self = weak.lock())
                    (*self)->onReply(target, reply, isFollowUp, done);
            });
}

void peer_gossip::onReply(const member &target, const result<exchange> &reply, bool isFollowUp,
                          const done_hook &done)
{
    if (reply) {
        merge(reply.value());
        const documents lacked = documentsLackedBy(reply.value());
        if ((lacked.configuration || lacked.shardMap) && !isFollowUp)
            send(target, lacked, true, nullptr);
    }
    // Another instance may have taken over the address of a former one; its reply is no answer of
    // the target.
    if (done)
        done(reply && reply.value().sender.id == target.id);
}

void peer_gossip::onAdopted(version_source source, documents changed)
{
    // A version from the platform may be new to all instances, and one from another data centre may
    // be new to this one. A version from this data centre was pushed to all its members by the
    // first one that held it, unless the data centre is large.
    documents included;
    included.configuration = changed.configuration &&
                             m_configuration.text().size() <= m_options.maxPushedDocumentBytes;
    included.shardMap =
            changed.shardMap && m_snapshots.text().size() <= m_options.maxPushedDocumentBytes;
    const bool large = m_membership.reachable(true).size() > m_options.maxMembersForPushToAll;
    if (source != version_source::SameDataCentre || large)
        pushWithinDataCentre(included);
    if (source == version_source::Platform)
        pushToOtherDataCentres(included);
}

void peer_gossip::push(bool toOtherDataCentres)
{
    pushWithinDataCentre({});
    if (toOtherDataCentres)
        pushToOtherDataCentres({});
}

void peer_gossip::pushWithinDataCentre(documents included)
{
    auto members = m_membership.reachable(true);
    const std::size_t limit = members.size() <= m_options.maxMembersForPushToAll
                                      ? members.size()
                                      : m_options.pushFanOut;
    pushToRandom(std::move(members), limit, included);
}

void peer_gossip::pushToOtherDataCentres(documents included)
{
    std::map<data_centre_id, std::vector<member>> byDataCentre;
    for (auto &m : m_membership.reachable(false))
        byDataCentre[m.dataCentre].push_back(std::move(m));
    for (auto &[dataCentre, members] : byDataCentre)
        pushToRandom(std::move(members), 1, included);
}

void peer_gossip::pushToRandom(std::vector<member> members, std::size_t limit, documents included)
{
    for (std::size_t i = 0; i < limit && i < members.size(); ++i) {
        std::swap(members[i], members[i + m_random.below(members.size() - i)]);
        m_pushes.add();
        send(members[i], included, false, nullptr);
    }
}

} // namespace peridotwheel
