#ifndef PERIDOTWHEEL_PEER_PEER_GOSSIP_H
#define PERIDOTWHEEL_PEER_PEER_GOSSIP_H

#include "peridotwheel/configuration/configuration_controller.h"
#include "peridotwheel/membership/membership_controller.h"
#include "peridotwheel/peer/peer_client.h"
#include "peridotwheel/routing/snapshot_controller.h"

namespace peridotwheel {

struct peer_gossip_options
{
    /// Long enough for two round trips between regions and a busy peer, and short compared with the
    /// time from suspicion to death.
    duration exchangeTimeout = seconds(1);
    /// In a data centre with up to this many other members, a new version is pushed to all of them.
    std::size_t maxMembersForPushToAll = 8;
    /// In larger data centres, each member that adopts a new version pushes it to this many others.
    /// With three or more nearly all members receive it, and the periodic exchange reaches the
    /// rest.
    std::size_t pushFanOut = 4;
    /// Documents up to this size are included in a push; larger ones are sent when the reply shows
    /// that the peer lacks them.
    std::size_t maxPushedDocumentBytes = 16 * 1024;
};

/// Composes and merges the messages between instances: digests, membership, leaving servers and
/// documents. Pushes new versions at once; the probes of the membership controller serve as the
/// periodic exchange that brings updates to instances that missed a push.
///
/// Keeps no data per peer; the size of messages is bounded, whatever the size of the fleet.
class peer_gossip
{
public:
    peer_gossip(event_loop &loop, http_client &http, membership_controller &membership,
                configuration_controller &configuration, snapshot_controller &snapshots,
                counter_set &counters, std::uint64_t seed, peer_gossip_options options = {});
    ~peer_gossip();

    /// Connects the controllers' hooks and starts the membership controller.
    void start();
    /// Merges a message of a peer and returns the answer, with the documents that the peer lacks.
    exchange answer(const exchange &message);
    /// Pushes the present state, without documents, within this data centre and, if
    /// \p toOtherDataCentres, to one member of each other data centre.
    void push(bool toOtherDataCentres);
    /// Returns true from the first exchange on after which this instance holds versions no older
    /// than those of the peer.
    bool caughtUp() const { return m_caughtUp; }

private:
    /// A set of documents.
    struct documents
    {
        bool configuration = false;
        bool shardMap = false;
    };
    using done_hook = std::function<void(bool answered)>;

    exchange compose(const member &target, documents included);
    void merge(const exchange &message);
    /// Returns the documents of which the sender of \p message has an older version than this
    /// instance.
    documents documentsLackedBy(const exchange &message) const;
    void send(const member &target, documents included, bool isFollowUp, done_hook done);
    void onReply(const member &target, const result<exchange> &reply, bool isFollowUp,
                 const done_hook &done);
    void onAdopted(version_source source, documents changed);
    /// Pushes to up to \p limit of \p members, chosen at random.
    void pushToRandom(std::vector<member> members, std::size_t limit, documents included);
    /// Pushes to all members of this data centre, or to `pushFanOut` of them if it is large.
    void pushWithinDataCentre(documents included);
    /// Pushes to one member of each other data centre.
    void pushToOtherDataCentres(documents included);

    event_loop &m_loop;
    peer_client m_client;
    membership_controller &m_membership;
    configuration_controller &m_configuration;
    snapshot_controller &m_snapshots;
    counter &m_pushes;
    random_source m_random;
    peer_gossip_options m_options;
    bool m_leavingPushPending = false;
    bool m_leavingPushToOtherDataCentres = false;
    bool m_caughtUp = false;
    std::shared_ptr<peer_gossip *> m_this;
};

} // namespace peridotwheel

#endif
