#ifndef PERIDOTWHEEL_UNITTESTS_GATEWAY_ALLOTMENT_FLEET_H
#define PERIDOTWHEEL_UNITTESTS_GATEWAY_ALLOTMENT_FLEET_H

#include "lib/gateway/allotment_exchange.h"
#include "peridotwheel/counters/counter_set.h"
#include "peridotwheel/gateway/decision_log.h"
#include "peridotwheel/support/manual_loop.h"
#include "peridotwheel/support/random_source.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace peridotwheel {

/// A token bucket that all instances share without delay: the reference for what lies within the
/// limit of a team.
class shared_bucket
{
public:
    shared_bucket(double ratePerSecond, double capacity)
        : m_rate(ratePerSecond)
        , m_capacity(capacity)
        , m_level(capacity)
    {
    }

    void setLimits(double ratePerSecond, double capacity, time_point now);
    bool take(time_point now);

private:
    void settle(time_point now);

    double m_rate;
    double m_capacity;
    double m_level;
    time_point m_settledAt{};
};

/// Instances that share the allotments of 73 teams, whose usual demands follow a Zipf law with
/// exponent 1.2 and come to 120 requests a second. Each team has 1 to 10 callers, each at one
/// instance. Messages take 1 to 24 ms.
class allotment_fleet
{
public:
    static constexpr std::size_t teamCount = 73;

    /// What became of the requests of one team.
    struct team_outcome
    {
        std::uint64_t withinLimit = 0;
        std::uint64_t granted = 0;
        /// Sum over slots of 60 s of the lesser of `withinLimit` and `granted`, so that requests
        /// granted beyond the limit do not make up for ones refused at another time.
        std::uint64_t grantedWithinLimit = 0;
        std::uint64_t overLimit = 0;
        std::uint64_t unavailable = 0;
        std::uint64_t waited = 0;
        /// Largest number of requests in a window, as a share of what the rule allows.
        double worstWindow = 0;

        double served() const;
    };

    allotment_fleet(std::size_t instances, std::uint64_t seed);
    ~allotment_fleet();

    /// Lets callers send requests for \p d.
    void run(duration d);
    /// Sets how long a request waits for its token.
    void setWait(duration wait) { m_wait = wait; }
    void setDemand(std::size_t team, double factor) { m_teams[team].demandFactor = factor; }
    /// Sets the limits of all teams to \p factor times their usual demand.
    void setLimits(double factor);
    /// Ends a process. Its callers move to other instances until it is back.
    void kill(std::size_t index);
    /// Starts a process, which learns of the instances after \p unknownFor.
    void restart(std::size_t index, duration unknownFor = milliseconds(100));
    /// Ends a process in an orderly way: its callers move, and it answers messages for 2 s.
    void stop(std::size_t index);
    /// Removes the instance at \p index from the list of instances or adds it, which each process
    /// learns within \p readWithin.
    void setListed(std::size_t index, bool listed, duration readWithin = milliseconds(400));
    /// Cuts the instances with odd numbers off from those with even ones.
    void setPartitioned(bool partitioned) { m_isPartitioned = partitioned; }
    std::size_t ownerOf(std::size_t team) const;
    std::size_t size() const { return m_nodes.size(); }
    /// Number of buckets that all processes keep.
    std::size_t buckets() const;
    std::vector<team_outcome> outcomes() const;
    /// Forgets the outcomes so far, but not the requests in the last window.
    void resetOutcomes();
    std::uint64_t messages() const { return m_messages; }

private:
    class node_client;
    struct node;
    struct caller
    {
        std::size_t team;
        std::size_t home;
        std::size_t at;
    };
    struct slot_outcome
    {
        std::uint64_t withinLimit = 0;
        std::uint64_t granted = 0;
    };
    struct team
    {
        std::shared_ptr<const team_spec> spec;
        double usual = 0;
        double demandFactor = 1;
        std::size_t callers = 0;
        std::unique_ptr<shared_bucket> reference;
        std::deque<time_point> sent;
        team_outcome outcome;
        /// By slot of arrival.
        std::map<std::int64_t, slot_outcome> slots;
        /// Largest number of requests allowed in a window that ends now.
        double allowed = 0;
        double nextAllowed = 0;
        time_point allowedUntil{};
    };

    instance_id idOf(std::size_t index) const;
    void readList(std::size_t index);
    void later(duration delay, std::function<void()> fn);
    void exchange(std::size_t from, std::size_t to, const http_request &request, duration timeout,
                  const outcome_hook &done);
    bool isReachable(std::size_t from, std::size_t to) const;
    duration messageDelay();
    void scheduleRequest(std::size_t caller);
    void sendRequest(const caller &c);
    void recordSent(team &t);
    std::int64_t presentSlot() const;
    route_table makeRoutes();

    manual_loop m_loop;
    random_source m_random;
    std::map<std::uint64_t, timer> m_timers;
    std::uint64_t m_nextTimer = 0;
    std::uint64_t m_version = 0;
    /// The list of instances in the store, and its revision.
    member_map m_members;
    std::uint64_t m_listRevision = 1;
    std::vector<std::unique_ptr<node>> m_nodes;
    std::vector<team> m_teams;
    std::vector<caller> m_callers;
    allotment_tolerance m_tolerance;
    bool m_isPartitioned = false;
    duration m_wait = milliseconds(60);
    time_point m_outcomesSince;
    std::uint64_t m_messages = 0;
    std::uint64_t m_processes = 0;
};

} // namespace peridotwheel

#endif
