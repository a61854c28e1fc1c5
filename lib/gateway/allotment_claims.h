#ifndef PERIDOTWHEEL_LIB_GATEWAY_ALLOTMENT_CLAIMS_H
#define PERIDOTWHEEL_LIB_GATEWAY_ALLOTMENT_CLAIMS_H

#include "allotment_owner.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace peridotwheel {

/// Instances by their addresses.
using instance_addresses = std::map<instance_id, endpoint>;

/// The instances that the store lists, as one instance knows them.
struct listed_instances
{
    /// Contains the instance itself only if its own entry is in the list.
    instance_addresses addresses;
    /// Position of the store at which the list was read.
    object_version revision;
};

/// What a sender of a claim knows about the instances.
struct claimant
{
    allotment_sender sender;
    endpoint address;
    object_version listRevision;
    std::vector<instance_id> ended;
};

/// A claim to send to one instance.
struct outgoing_claim
{
    allotment_peer to;
    std::vector<team_name> teams;
    bool isFinal = false;
    time_point sentAt{};
};

/// Finds out which instance keeps the bucket of each team, so that no two of them do while their
/// lists of instances differ.
///
/// The instance with the highest rendezvous weight for a team claims its bucket. First it asks the
/// next ones in the order of the weights, since one of them keeps the bucket if this instance is
/// new, and hands it over. If none does, it asks all instances; they drop the tokens that they
/// still have, and when all have answered it begins a new bucket. An instance that goes before the
/// claimant says so and claims the bucket itself. A process that refuses connections has ended and
/// needs no answer. An instance that is silent keeps no claimant waiting for longer than
/// `silentGrace`, since it serves from its reserve after `isolationTime` (`allotment_client`).
///
/// Free of I/O. Designed for some hundred teams with an allotment and 300 instances.
class allotment_claims
{
public:
    struct hooks
    {
        /// Drops the tokens of a team, because a new bucket will be begun.
        std::function<void(const team_name &)> dropTokens;
        /// The instance to ask for tokens of the team may have changed.
        std::function<void(const team_name &)> onOwnerChanged;
        /// Logs a change of a bucket; \p other is the other instance, or empty.
        std::function<void(const char *event, const team_name &, const instance_id &other)> log;
    };

    /// Time after which a claimant goes on without the answer of a silent instance. It needs the
    /// answers of more than half of the instances, since otherwise the silent ones may be the
    /// larger part of a fleet that was cut in two.
    static constexpr duration silentGrace = seconds(3);

    allotment_claims(allotment_peer self, start_id process, allotment_owner &owner, hooks h);

    void setTeams(const std::vector<team_name> &teams, time_point now);
    void setInstances(listed_instances listed, time_point now);
    /// Stops all claims, because this instance ends.
    void stop();

    /// Notes that a message of an instance has arrived, so that it has not ended.
    void onHeard(const instance_id &from, start_id process);
    /// Notes that nothing listens at the address of an instance any more.
    void onEnded(const instance_id &id, time_point now);
    /// Notes which instance another one named as the owner of a team; absent if it named none.
    void onOwnerNamed(const team_name &team, const std::optional<allotment_peer> &owner);

    claim_answer onClaim(const claimant &from, const team_name &team, bool isFinal, time_point now);
    claim_answer onHandedOver(const claimant &from, const allotment_bucket_state &bucket,
                              time_point now);

    /// Returns the claims that are due; each must be followed by `onAnswers` or `onNoAnswer`.
    std::vector<outgoing_claim> takeDue(time_point now);
    void onAnswers(const outgoing_claim &claim, const std::vector<claim_answer> &answers,
                   time_point now);
    void onNoAnswer(const outgoing_claim &claim, time_point now);
    std::optional<time_point> nextDue() const;

    /// Returns the instance to ask for tokens of a team, which may be this one.
    std::optional<allotment_peer> ownerOf(const team_name &team) const;
    /// Returns the first instances that go before this one for a team and may have ended.
    std::vector<allotment_peer> instancesBefore(const team_name &team) const;
    /// Returns the instance that goes before all others but this one.
    std::optional<allotment_peer> successorOf(const team_name &team) const;
    /// All instances that are known and have not ended, this one included if it is listed.
    const instance_addresses &instances() const { return m_instances; }
    std::vector<instance_id> ended() const;
    const object_version &listRevision() const { return m_listed.revision; }

private:
    struct claim
    {
        /// Whether all instances are asked, and drop their tokens.
        bool isFinal = false;
        /// The bucket was begun without the answers of silent instances, which are still asked.
        bool isBegun = false;
        std::set<instance_id> answered;
        std::set<instance_id> inFlight;
        std::map<instance_id, time_point> retryAt;
        std::map<instance_id, time_point> silentSince;
    };

    /// An instance that is not in the list yet.
    struct announced_instance
    {
        endpoint address;
        /// Position of the list in which it found itself.
        object_version listRevision;
        time_point heardAt{};
    };

    /// An instance in the list that keeps no buckets any more.
    struct absent_instance
    {
        bool isLeaving = false;
        start_id process;
    };

    static std::optional<allotment_peer> firstOf(const team_name &team,
                                                 const instance_addresses &among);
    /// Returns the instances with the highest weights for a team, in order: at least as many as are
    /// asked first, if there are that many.
    const std::vector<allotment_peer> &leading(const team_name &team) const;
    void include(const instance_id &id, const endpoint &address);
    std::optional<allotment_peer> instanceBefore(const claimant &from, const team_name &team) const;
    bool isLeaving(const instance_id &id) const;
    void announce(const claimant &from, time_point now);
    void updateInstances(time_point now);
    void review(time_point now);
    bool isFirst(const team_name &team) const;
    /// Returns the instances whose answers a claim needs.
    std::vector<allotment_peer> askedBy(const team_name &team, const claim &c) const;
    /// Goes on with a claim as far as its answers permit. Returns whether it has ended.
    bool advance(const team_name &team, claim &c, time_point now);
    bool mayBeginWithout(const std::vector<allotment_peer> &asked, const claim &c,
                         time_point now) const;
    void advanceAll(time_point now);
    void onAnswer(const outgoing_claim &asked, const claim_answer &answer, time_point now);
    void setOwner(const team_name &team, const std::optional<allotment_peer> &owner);

    allotment_peer m_self;
    start_id m_process;
    allotment_owner &m_owner;
    hooks m_hooks;
    std::uint64_t m_begunBuckets = 0;
    std::vector<team_name> m_teams;
    listed_instances m_listed;
    std::map<instance_id, announced_instance> m_announced;
    std::map<instance_id, absent_instance> m_absent;
    instance_addresses m_instances;
    /// The first instances of each team, of which some may not be in `m_instances` any more.
    mutable std::map<team_name, std::vector<allotment_peer>> m_leading;
    std::map<team_name, claim> m_claims;
    std::size_t m_inFlight = 0;
    /// Owners that are not the first by the list here.
    std::map<team_name, allotment_peer> m_namedOwners;
    bool m_isStopped = false;
};

} // namespace peridotwheel

#endif
