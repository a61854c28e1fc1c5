#ifndef PERIDOTWHEEL_GATEWAY_GATEWAY_H
#define PERIDOTWHEEL_GATEWAY_GATEWAY_H

#include "peridotwheel/gateway/allotment_hooks.h"
#include "peridotwheel/gateway/backend_record.h"
#include "peridotwheel/gateway/extra_attempt_budget.h"
#include "peridotwheel/gateway/route.h"
#include "peridotwheel/gateway/server_report.h"
#include "peridotwheel/gateway/team_counts.h"
#include "peridotwheel/gateway/wire_dialect.h"
#include "peridotwheel/membership/member.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace peridotwheel {

class counter_set;
class decision_log;
class event_loop;
struct gateway_state;

struct gateway_options
{
    instance_id self;
    data_centre_id dataCentre;
    /// Regions of all data centres, from which round trips are assumed until they are measured.
    std::map<data_centre_id, region_id> regions;
    extra_attempt_limits extraAttempts;
    /// Answers are sent this long before the target or the deadline ends, to leave time for the way
    /// to the caller and for the caller's new connection before its request. The delay within this
    /// instance is measured and added.
    duration answerMargin = milliseconds(14);
    /// Bandwidth of this instance's link.
    byte_rate link = byte_rate::fromMegabits(100);
    /// Limit on concurrent requests. One over tens of shards takes some 20 KB, and the smallest
    /// instances have 160 MB.
    std::size_t maxConcurrentRequests = 2048;
    /// Attempts still in flight this long after their caller has disconnected are aborted.
    duration abandonedAttemptGrace = milliseconds(250);
    /// An instance that does not know the evacuations yet sends nothing for this time after its
    /// start; absent if there are no evacuations.
    std::optional<duration> evacuateWithin;
    /// Whether new and recovered servers get a rising share of their usual first attempts.
    bool pacesServers = true;
    /// Random number that callers cannot know.
    std::uint64_t secret = 0;
};

/// Forwards callers' requests to backend servers by the routes in force.
class gateway
{
public:
    gateway(event_loop &loop, client_connector &connector, const wire_dialect &dialect,
            counter_set &counters, decision_log &log, gateway_options options);
    gateway(const gateway &) = delete;
    gateway &operator=(const gateway &) = delete;
    ~gateway();

    /// Applies a newer configuration; requests in flight keep theirs.
    void setRoutes(route_table_ptr routes);
    /// Replaces the set of known backend servers.
    void setServers(const backend_map &servers);
    /// Sets the instances that share the limits of servers and services, this one included.
    void setInstances(const member_map &members);
    /// Sets the data centres to whose servers nothing is sent.
    void setEvacuated(const std::set<data_centre_id> &dataCentres);
    /// \p hook is called when a reply shows that the view of the servers is out of date.
    void setOutdatedViewHook(std::function<void()> hook);
    /// Sets the functions that enforce the allotments of teams.
    void setAllotments(allotment_hooks hooks);
    /// Returns what was measured of the servers since the last call.
    server_reports takeReports();
    /// Sets the hints that the instances of the data centre derived from their combined
    /// measurements; replaces the earlier ones.
    void setHints(const server_hints &hints);
    void handle(const opaque_request &request, std::shared_ptr<http_responder> client);
    /// Answers each request by \p end at the latest, those in flight included, because this process
    /// ends soon afterwards. Requests that cannot be finished by then are refused as not run.
    void finishBy(time_point end);

    /// Returns the limits of the configuration in force, or defaults before the first one.
    stream_limits limits() const;
    /// Returns whether requests can be served: a configuration is in force, and a server is
    /// connected for at least half of the services that have any.
    bool isReady() const;
    /// Returns the counts of at most \p most teams, those with the most requests first.
    std::vector<std::pair<team_name, team_count>> busiestTeams(std::size_t most) const;
    std::size_t requestsInFlight() const;
    /// Returns the share of queries, from 0 to 1, that the most restricted admission lets through.
    double lowestAdmissionShare() const;

private:
    std::shared_ptr<gateway_state> m_state;
};

} // namespace peridotwheel

#endif
