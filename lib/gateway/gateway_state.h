#ifndef PERIDOTWHEEL_LIB_GATEWAY_GATEWAY_STATE_H
#define PERIDOTWHEEL_LIB_GATEWAY_GATEWAY_STATE_H

#include "admission_share.h"
#include "answer_lead.h"
#include "latency_counters.h"
#include "peridotwheel/counters/counter_set.h"
#include "peridotwheel/gateway/backend_server.h"
#include "peridotwheel/gateway/decision_log.h"
#include "peridotwheel/gateway/gateway.h"
#include "peridotwheel/limits/connection_share.h"
#include "peridotwheel/support/random_source.h"
#include "retry_advice.h"
#include "team_directory.h"
#include "work_estimate.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_set>
#include <vector>

namespace peridotwheel {

class running_request;

/// The servers of one service and their common budget of extra attempts.
struct service_group
{
    service_group(service_name n, const extra_attempt_limits &limits, time_point processStart,
                  extra_attempt_budget::fraction_hook fraction)
        : name(std::move(n))
        , extra(limits, processStart, std::move(fraction))
    {
    }

    service_name name;
    std::vector<backend_server_ptr> servers;
    /// Work of the latest request at a usual server.
    duration usualWork{};
    extra_attempt_budget extra;
    retry_advice advice;
};

using service_group_ptr = std::shared_ptr<service_group>;

/// Counters of the gateway, looked up once.
struct gateway_counters
{
    explicit gateway_counters(counter_set &set);
    void onConnection(connection_event event) const;

    counter &requests;
    counter &answered;
    counter &partial;
    counter &late;
    counter &refused;
    counter &unauthenticated;
    counter &overAllotment;
    counter &failed;
    counter &clientsGone;
    counter &attempts;
    counter &secondAttempts;
    counter &repeatedAttempts;
    counter &budgetDenied;
    counter &missingWithoutServer;
    counter &missingByBudget;
    counter &missingAwaited;
    counter &shardsWithoutSecondServer;
    counter &evacuatedDataCentres;
    counter &pacesBegun;
    counter &pacesEnded;
    counter &attemptsDeferred;
    counter &openedForAttempts;
    counter &openedInAdvance;
    counter &openedForHealthChecks;
    counter &connectionsRefused;
    counter &connectionsClosedByServer;
    counter &connectionsClosedUnused;
};

/// State shared by all requests of one gateway.
struct gateway_state
{
    gateway_state(event_loop &l, client_connector &c, const wire_dialect &d, counter_set &set,
                  decision_log &lg, gateway_options o);
    gateway_state(const gateway_state &) = delete;
    gateway_state &operator=(const gateway_state &) = delete;
    ~gateway_state();

    /// Returns the group of a service, creating it if there is none.
    service_group_ptr groupOf(const service_name &name);
    void setServers(const backend_map &records);
    void setMembers(const member_map &view);
    void setEvacuated(const std::set<data_centre_id> &dataCentres);
    void updateShares();
    /// Returns the number of instances that share limits, this one included, or 0 while they are
    /// unknown.
    std::size_t instances() const { return members.empty() ? 0 : share.instances(); }
    void tick();
    /// Returns the estimate of how long a request of this route works at a usual server.
    work_estimate &workOf(const route &r) { return work[r.name]; }
    answer_lead &answerLeadOf(const route &r) { return answerLeads[r.name]; }
    backend_server_ptr makeServer(const backend_record &record);
    /// Returns the admission share of the shards of a gather; null for other routes.
    std::shared_ptr<admission_share> admissionOf(const route &r) const;
    query_number nextQuery() { return query_number(m_nextQuery++); }
    /// Creates, updates and removes admission shares to match the routes in force.
    void updateAdmissions();

    event_loop &loop;
    client_connector &connector;
    const wire_dialect &dialect;
    counter_set &counters;
    gateway_counters count;
    latency_counters latency;
    duration_histogram loopDelay;
    decision_log &log;
    gateway_options options;
    route_table_ptr routes;
    /// The teams of the configuration in force; absent if callers do not authenticate.
    std::optional<team_directory> teams;
    team_counts teamCounts;
    member_map members;
    /// Data centres to whose servers nothing is sent; absent while they are unknown.
    std::optional<std::set<data_centre_id>> evacuated;
    connection_share share;
    /// Empty where allotments are not enforced.
    allotment_hooks allotments;
    /// Called when a reply shows that the view of the servers is out of date.
    std::function<void()> onOutdatedView;
    std::map<service_name, service_group_ptr> groups;
    std::map<server_id, backend_server_ptr> servers;
    /// Servers that left the view and may still have attempts in flight.
    std::vector<backend_server_ptr> retired;
    /// Servers that need maintenance at each tick.
    std::vector<backend_server_ptr> busyServers;
    std::map<route_name, work_estimate> work;
    std::map<route_name, answer_lead> answerLeads;
    std::map<route_name, weighted_round_robin> rotations;
    /// Keyed by the first shard, so that routes over the same shards have one admission share in
    /// common. Queries that still run after their shards were replaced hold the share that admitted
    /// them.
    struct admission
    {
        std::shared_ptr<admission_share> share;
        /// Whether the last log line about this admission said that it is restricted.
        bool isRestricted = false;
    };
    std::map<service_name, admission> admissions;
    random_source random;
    std::unordered_set<std::shared_ptr<running_request>> running;
    /// Time by which all requests must be answered; set while the process stops.
    std::optional<time_point> finishBy;

private:
    /// Returns 2 for the same data centre, 1 for the same region, and 0 for others.
    int nearness(const data_centre_id &a, const data_centre_id &b) const;
    duration assumedRoundTrip(const data_centre_id &to) const;
    std::string healthCheckPathOf(const service_name &service) const;
    void updateShare(backend_server &server) const;
    /// Returns the share of a server's limit that this instance may use, from 0 to 1. The shares of
    /// all instances add up to at most 1.
    double ownShareOfLimit(const backend_record &server, request_rate limit) const;
    void updateStanding(const service_group &group) const;
    /// Maintains the servers of the group that are not busy.
    void maintainGroup(const service_group &group);
    void maintainDueGroups();
    void maintainBusyServers();
    /// Counts the shards at which a second attempt can reach no other server.
    void updateReach();
    void updateMembership(time_point now);
    void logAdmissions();
    void logOpenAdmission(const service_name &shard, const char *reason);

    bool isEvacuated(const data_centre_id &dataCentre) const;
    void applyEvacuations();
    /// Uses all servers if the evacuations are still unknown although they were due.
    void endAwaitOfEvacuations(time_point now);

    std::uint64_t m_nextQuery = 1;
    /// Whether nothing is sent while the evacuations are unknown.
    bool m_awaitsEvacuations;
    time_point m_startedAt;
    /// When this instance got its first list of servers.
    std::optional<time_point> m_firstServersAt;
    time_point m_lastTick;
    unsigned m_ticks = 0;
    /// The group that was maintained last; a round goes by the order of names.
    service_name m_lastMaintained;
    /// Shards without a second server as last logged.
    std::size_t m_loggedShardsWithoutSecond = 0;
    /// Whether the next tick maintains all groups, since servers or shares have changed.
    bool m_isFullRoundDue = true;
    timer m_timer;
};

} // namespace peridotwheel

#endif
