#ifndef PERIDOTWHEEL_STANDIN_STANDIN_FLEET_H
#define PERIDOTWHEEL_STANDIN_STANDIN_FLEET_H

#include "peridotwheel/standin/backend_standin.h"
#include "peridotwheel/standin/platform_standin.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace peridotwheel {

struct plain_service
{
    service_name name;
    std::uint32_t servers = 1;
};

/// Sizes of a simulated deployment; the defaults are the academy's.
struct fleet_config
{
    std::uint64_t seed = 1;
    std::uint32_t threads = 2; ///< For the servers; the platform has one of its own.
    std::uint32_t dataCentres = 3;
    std::uint32_t shardedServices = 25;
    std::uint32_t serversPerService = 3;
    std::uint32_t shardsPerService = 1;
    std::vector<plain_service> plainServices = {{service_name("booking"), 10},
                                                {service_name("records"), 5}};
    std::uint32_t connectionLimit = 25;
    std::uint32_t plainConnectionLimit = 100;
    std::uint32_t workers = 4;
    std::size_t queueLimit = 64;
    duration serviceTimeMean = milliseconds(10);
    double serviceTimeDeviation = 0.3;
    duration remoteDelay = milliseconds(10);
    duration reportLag = milliseconds(500);
    platform_config platform;
};

/// A platform and a fleet of backend servers on threads of this process. Servers of data centre k
/// ("dcK") listen on 127.0.k.x. All members may be called from any thread but the fleet's own, by
/// one caller at a time, between `start` and `stop`; they return when the change is in effect.
class standin_fleet
{
public:
    explicit standin_fleet(fleet_config config);
    standin_fleet(const standin_fleet &) = delete;
    standin_fleet &operator=(const standin_fleet &) = delete;
    ~standin_fleet(); ///< Stops.

    /// Starts all listeners and publishes the servers, index version 1 and the default classes.
    result<void> start();
    void stop();

    endpoint platformAddress() const;
    std::vector<server_id> servers() const;
    /// The server's configuration with the address in use.
    result<backend_config> server(const server_id &id) const;

    /// Publishes the next index version with \p shardsPerService: servers hold it before the
    /// platform names it.
    index_version publishVersion(std::uint32_t shardsPerService);
    index_version currentVersion() const;

    result<void> setFaults(const server_id &id, const fault_plan &plan);
    /// Changes the present plan of one server.
    result<void> changeFaults(const server_id &id, const std::function<void(fault_plan &)> &change);
    result<void> applyFault(const server_id &id, const std::string &json);
    /// The server begins to leave; \p inList says whether the platform's list shows it.
    result<void> startDrain(const server_id &id, bool inHealth = true, bool inReplies = true,
                            bool inList = true);
    /// The server goes and is removed from the platform's list.
    result<void> finishDrain(const server_id &id);
    /// The server ends all work and comes back with a new start id, slow for \p coldReplies.
    result<void> restartServer(const server_id &id, std::uint32_t coldReplies);

    void setPlatformFaults(const platform_faults &faults);
    result<void> applyPlatformFault(const std::string &json);
    platform_counters platformCounters() const;
    /// Writes an object without conditions, as the platform's own operator would.
    object_version putObject(const std::string &kind, const std::string &name,
                             const std::string &value);

    backend_counters counters() const;
    result<backend_counters> counters(const server_id &id) const;

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace peridotwheel

#endif
