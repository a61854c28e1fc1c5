#ifndef PERIDOTWHEEL_LIB_GATEWAY_ALLOTMENT_CLIENT_H
#define PERIDOTWHEEL_LIB_GATEWAY_ALLOTMENT_CLIENT_H

#include "allotment_owner.h"
#include "peridotwheel/gateway/allotment_hooks.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace peridotwheel {

/// Longest time for which a request waits for its owner's reply.
constexpr duration maxAllotmentWait = milliseconds(250);

/// A message to send to the owner of some teams.
struct outgoing_allotment_request
{
    instance_id owner;
    allotment_request request;
};

/// The tokens of an instance for the teams that it serves, the requests that wait for tokens, and
/// the reserve for times without an owner.
///
/// Designed for some ten active teams at a time, and at most some thousand configured ones.
class allotment_client
{
public:
    struct team_terms
    {
        allotment_bounds bounds;
        /// The instance to ask for tokens; this one if it keeps the bucket, and absent while no
        /// instances are known.
        std::optional<instance_id> owner;
    };

    /// \p owner holds the buckets of the teams that this instance owns itself.
    allotment_client(instance_id self, start_id process, allotment_owner &owner, time_point now);

    /// Replaces the teams that have an allotment, and the instances that share the reserves.
    void setTeams(const std::map<team_name, team_terms> &teams, std::vector<instance_id> instances,
                  time_point now);
    /// Replaces the instance to ask for tokens of a team.
    void setOwner(const team_name &team, const std::optional<instance_id> &owner, time_point now);
    /// Drops the tokens of a team, because a new bucket of it will be begun.
    void dropTokens(const team_name &team, time_point now);
    /// Calls \p done exactly once: at once, or when the owner replies, or at \p deadline.
    void take(const team_name &team, time_point deadline, time_point now, allotment_callback done);
    /// Returns a token that was not used.
    void giveBack(const allotment_token &token, time_point now);

    /// Returns the messages that are due; each must be followed by `onReply` or `onNoReply`.
    std::vector<outgoing_allotment_request> takeDueMessages(time_point now);
    /// \p isOutdated tells whether the owner has an older configuration than this instance.
    void onReply(const instance_id &owner, const allotment_reply &reply, bool isOutdated,
                 time_point now);
    void onNoReply(const instance_id &owner, time_point now);
    /// Decides on the requests whose wait has ended. To be called at `nextDue`.
    void onTimer(time_point now);
    std::optional<time_point> nextDue() const;

    /// Must be called when another instance was heard of, by any message.
    void onPeerHeard(time_point now);
    duration silence(time_point now) const { return now - m_peerHeardAt; }
    /// Whether this instance has heard of no other one, so that new buckets may have been begun
    /// without it. It then uses its reserve only.
    bool isIsolated(time_point now) const;
    /// Sets the time from which the reserve may be used.
    void setReserveFrom(time_point from) { m_reserveFrom = from; }

private:
    struct waiting_request
    {
        time_point deadline;
        allotment_callback done;
    };

    /// State of a team that has been seen here.
    struct team_state
    {
        /// Rises with each change of the bucket.
        std::uint64_t bucketGeneration = 1;
        /// The bucket that the tokens are from.
        bucket_id bucket;
        std::int32_t tokens = 0;
        time_point tokenExpiry;
        std::int64_t used = 0;
        std::int64_t reportedUsed = 0;
        /// Until then the owner has no capacity.
        time_point blockedUntil;
        /// Until then no instance is known that keeps the bucket.
        time_point disownedUntil;
        /// Number of instances in a row that named another one as the owner.
        unsigned redirections = 0;
        /// Tokens that were requested until then are void.
        std::optional<time_point> tokensDroppedAt;
        /// Requests, decayed over time, and when this was last updated.
        double recentRequests = 0;
        time_point lastRequest;
        std::deque<waiting_request> waiting;
        /// Times of the requests that were sent from the reserve within the last window.
        std::deque<time_point> reserveUses;
        /// Absent if it has not been computed since the instances changed.
        std::optional<std::size_t> reserveShare;
    };

    /// State of the exchange with one owner.
    struct owner_link
    {
        bool isInFlight = false;
        time_point sentAt;
        std::uint64_t sequence = 0;
        /// When to send the next message; absent if none is needed.
        std::optional<time_point> sendAt;
        time_point absentUntil;
    };

    /// A decision and the request that waits for it. Called back only when the state is consistent,
    /// because the callback may take or return tokens.
    struct decided_request
    {
        allotment_callback done;
        allotment_decision decision;
    };

    using decided_requests = std::vector<decided_request>;

    static bool isActive(const team_state &s, time_point now);
    static double requestsPerSecond(const team_state &s, time_point now);
    /// Returns the number of tokens to have at hand.
    static std::int32_t targetOf(const team_state &s, time_point now);
    bool isOwnerUsable(const team_state &s, const team_terms &terms, time_point now) const;
    allotment_decision takeHere(const team_name &team, time_point now);
    allotment_decision takeFromReserve(const team_name &team, team_state &s, time_point now);
    std::size_t reserveShareOf(const team_name &team, team_state &s) const;
    static allotment_decision takeToken(const team_name &team, team_state &s);
    void requestTokensSoon(const team_state &s, const instance_id &owner, time_point now);
    void sendBy(const instance_id &owner, time_point at);
    std::optional<allotment_report> reportOf(const team_name &team, team_state &s, time_point now);
    /// \p isOutdated tells whether the owner has an older configuration than this instance.
    void applyGrant(const allotment_grant &grant, const instance_id &owner, bool isOutdated,
                    time_point sentAt, time_point now, decided_requests &decided);
    static void voidTokens(team_state &s, time_point now);
    void onOwnerChanged(const team_name &team, team_state &s, time_point now,
                        decided_requests &decided);
    void endWaits(const team_name &team, team_state &s, time_point now, decided_requests &decided);
    /// Renews and returns tokens of teams with few requests.
    void sweep(time_point now);
    static void callBack(const decided_requests &decided);

    instance_id m_self;
    start_id m_process;
    allotment_owner &m_owner;
    time_point m_reserveFrom;
    time_point m_peerHeardAt;
    /// Until then this instance has just heard of others again, and may not know of new buckets.
    time_point m_rejoinedAt{};
    std::uint64_t m_sequence = 0;
    std::map<team_name, team_terms> m_terms;
    std::vector<instance_id> m_instances;
    std::map<team_name, team_state> m_teams;
    std::map<instance_id, owner_link> m_links;
    std::optional<time_point> m_sweepAt;
};

} // namespace peridotwheel

#endif
