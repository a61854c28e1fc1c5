#ifndef PERIDOTWHEEL_UNITTESTS_GATEWAY_GATEWAY_FIXTURE_H
#define PERIDOTWHEEL_UNITTESTS_GATEWAY_GATEWAY_FIXTURE_H

#include "fake_backends.h"
#include "peridotwheel/counters/counter_set.h"
#include "peridotwheel/gateway/decision_log.h"

#include <gtest/gtest.h>

namespace peridotwheel {

/// Returns the status of the first reply, or 0 without one.
int statusOf(const std::shared_ptr<fake_client> &client);
/// Returns the number of missing parts that the first reply states.
std::string missingIn(const std::shared_ptr<fake_client> &client);

/// A gateway in front of simulated servers: a gather over shards s0 to s4 with servers in three
/// data centres each, and the service "plain".
class gateway_fixture : public testing::Test
{
protected:
    static constexpr std::size_t shardCount = 5;
    static constexpr std::size_t replicas = 3;

    explicit gateway_fixture(const gateway_options &options = defaultOptions());
    static gateway_options defaultOptions();

    /// Port of replica \p replica of shard \p shard; replica 0 is near.
    static std::uint16_t port(std::size_t shard, std::size_t replica)
    {
        return static_cast<std::uint16_t>(1000 + 10 * shard + replica);
    }
    static std::uint16_t plainPort(std::size_t replica)
    {
        return static_cast<std::uint16_t>(2000 + replica);
    }

    fake_backends::server &shardServer(std::size_t shard, std::size_t replica)
    {
        return backends.at(port(shard, replica));
    }
    fake_backends::server &plainServer(std::size_t replica)
    {
        return backends.at(plainPort(replica));
    }

    route_configuration configuration(std::uint64_t version) const;
    void addServer(const std::string &service, std::uint16_t port, const std::string &dataCentre);
    void start();
    /// Sends a request; \p target selects its route by "/all/", "/one/" or "/once/".
    std::shared_ptr<fake_client> send(const std::string &target, const std::string &id);
    /// Sends a few requests and has them served, so that work and round trips are measured.
    void warmUp();
    /// The same for the service "plain" only, with a gateway that was started.
    void warmUpPlain();

    manual_loop loop;
    fake_backends backends{loop};
    fake_dialect dialect;
    counter_set counters;
    std::string logText;
    decision_log log;
    backend_map servers;
    gateway gate;
};

} // namespace peridotwheel

#endif
