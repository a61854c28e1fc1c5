#ifndef PERIDOTWHEEL_GATEWAY_ROUTE_H
#define PERIDOTWHEEL_GATEWAY_ROUTE_H

#include "peridotwheel/http/stream_server.h"
#include "peridotwheel/support/ids.h"
#include "peridotwheel/support/units.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace peridotwheel {

using route_name = strong_id<struct route_tag>;
using team_name = strong_id<struct team_tag>;
/// Version of the operators' configuration. It increases, not necessarily by one.
using configuration_version = strong_id<struct configuration_version_tag, std::uint64_t>;

/// Whether a request may be executed more than once.
enum class request_kind {
    Idempotent,
    /// Must be executed at most once. Kinds unknown to this program are treated as this one.
    NonIdempotent,
};

struct weighted_service
{
    service_name service;
    double weight = 1;
};

/// A query over many shards, each of which is a service.
struct gather_spec
{
    std::vector<service_name> shards;
    /// Number of records in the answer.
    std::size_t topRecords = 0;
    /// Minimum share of the shards that an answer must contain, from 0 to 1.
    double minCoverage = 1;
};

/// Regions whose servers may run requests; empty if all of them may.
using home_regions = std::set<region_id>;

/// Maps requests by host and path prefix to services, with the limits that their callers expect.
struct route
{
    route_name name;
    std::string host;
    std::string prefix;
    request_kind kind = request_kind::NonIdempotent;
    /// Longest time that a caller is kept waiting.
    duration timeout = seconds(1);
    /// Latency target; a later answer loses most of its value.
    duration target = seconds(1);
    class_rank rank;
    /// Maximum number of servers on which one request may run; for a gather, per shard.
    unsigned maxAttempts = 1;
    /// One service, or several that share the requests by weight; empty for a gather.
    std::vector<weighted_service> services;
    std::optional<gather_spec> gather;
    /// Whether requests need no key of a team.
    bool isPublic = false;
    home_regions homes;
    /// Why its requests cannot be served; empty if they can.
    std::string unusableReason;
};

using route_ptr = std::shared_ptr<const route>;

/// Returns the services that requests of a route may reach.
std::vector<service_name> servicesOf(const route &r);

/// Limit on the requests of a team, over all instances together.
struct rate_allotment
{
    request_rate rate;
    /// Requests that may come at once after a time without any.
    double burst = 0;

    friend bool operator==(const rate_allotment &a, const rate_allotment &b)
    {
        return a.rate == b.rate && a.burst == b.burst;
    }
    friend bool operator!=(const rate_allotment &a, const rate_allotment &b) { return !(a == b); }
};

/// A group of callers that share keys, a limit and a rank.
struct team_spec
{
    team_name name;
    /// Keys with which its callers authenticate. They must not appear in logs, metrics or errors.
    std::vector<std::string> keys;
    /// Goes before the rank of the route.
    std::optional<class_rank> rank;
    /// Absent if the team is not limited.
    std::optional<rate_allotment> allotment;
    /// A burst without a rate has no effect; kept for the check of a configuration.
    bool hasBurstWithoutRate = false;
    home_regions homes;
    /// Why its requests cannot be served; empty if they can.
    std::string unusableReason;
};

using team_ptr = std::shared_ptr<const team_spec>;

struct service_spec
{
    /// Path of the health check.
    std::string healthCheckPath;
    /// Maximum number of connections that a server of the service accepts from all instances
    /// together.
    std::uint32_t maxConnections = 1;
    /// Requests that a cold server accepts from all instances together; absent if not limited.
    std::optional<request_rate> coldLimit;
};

/// One version of the operators' configuration.
struct route_configuration
{
    configuration_version version;
    std::vector<route_ptr> routes;
    std::map<service_name, service_spec> services;
    stream_limits limits;
    /// Present if callers authenticate, which requests on public routes need not do.
    std::optional<std::vector<team_ptr>> teams;
    /// Whether there is a readable list of routes, and one of services.
    bool hasRoutes = true;
    bool hasServices = true;
    /// What could not be read, one text for each value. Contains no keys.
    std::vector<std::string> defects;
};

/// Finds the route of a request by the longest matching prefix among the routes of its host.
class route_table
{
public:
    explicit route_table(route_configuration configuration);

    /// Returns null if no route matches. \p host may contain a port, and \p target a query string.
    route_ptr find(std::string_view host, std::string_view target) const;
    configuration_version version() const { return m_configuration.version; }
    const stream_limits &limits() const { return m_configuration.limits; }
    const std::optional<std::vector<team_ptr>> &teams() const { return m_configuration.teams; }
    const std::vector<route_ptr> &routes() const { return m_configuration.routes; }
    /// Returns null if the service is not configured.
    const service_spec *service(const service_name &name) const;
    const std::map<service_name, service_spec> &services() const
    {
        return m_configuration.services;
    }

private:
    route_configuration m_configuration;
    /// By host, then by descending prefix length.
    std::map<std::string, std::vector<route_ptr>, std::less<>> m_byHost;
};

using route_table_ptr = std::shared_ptr<const route_table>;

/// Distributes requests over services by smooth weighted round-robin: after any number of choices,
/// each service is within one request of its share. The load of the services is not considered.
class weighted_round_robin
{
public:
    /// Returns the index of the next service. \p parts must not be empty and may change between
    /// calls.
    std::size_t next(const std::vector<weighted_service> &parts);

private:
    std::vector<double> m_credit;
};

} // namespace peridotwheel

#endif
