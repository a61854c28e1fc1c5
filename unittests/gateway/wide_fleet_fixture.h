#ifndef PERIDOTWHEEL_UNITTESTS_GATEWAY_WIDE_FLEET_FIXTURE_H
#define PERIDOTWHEEL_UNITTESTS_GATEWAY_WIDE_FLEET_FIXTURE_H

#include "fake_backends.h"
#include "fixtures/wide_fleet.h"
#include "peridotwheel/counters/counter_set.h"
#include "peridotwheel/gateway/decision_log.h"
#include "peridotwheel/support/random_source.h"
#include "report_exchange.h"

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace peridotwheel {

struct wide_fleet_spec
{
    std::size_t instances = 9;
    std::size_t shards = 40;
    /// Connections that each server accepts.
    std::uint32_t connectionLimit = 195;
    double queriesPerSecond = 70;
};

/// What became of the queries of one period.
struct served_queries
{
    std::size_t offered = 0;
    /// Answered with enough parts within the target.
    std::size_t inTarget = 0;
    std::size_t refused = 0;
    std::size_t failed = 0;
    /// Parts that are missing from the answers.
    std::size_t missingParts = 0;

    double inTargetShare() const
    {
        return static_cast<double>(inTarget) / static_cast<double>(offered);
    }
};

/// Many gateways in front of the same servers of many shards, without a network. Three data centres
/// have a server of each shard, three more have instances only.
class wide_fleet_simulation
{
public:
    explicit wide_fleet_simulation(const wide_fleet_spec &spec, std::uint64_t seed = 7);

    /// Sends queries to random instances for \p length, and returns what became of them.
    served_queries play(duration length);
    /// Sets how \p share of all servers, chosen at random, treat \p disturbedShare of their
    /// requests.
    void disturb(double share, server_behaviour how, double disturbedShare = 1);
    /// Returns the most connections that were open at one server since the last call.
    unsigned mostConnections();

private:
    struct instance
    {
        instance(wide_fleet_simulation &fleet, std::size_t index);

        data_centre_id dataCentre;
        counter_set counters;
        decision_log log;
        gateway gate;
    };

    static std::uint16_t port(std::size_t shard, std::size_t replica)
    {
        return static_cast<std::uint16_t>(1000 + wide_fleet::replicas * shard + replica);
    }
    fake_backends::server &serverAt(std::size_t shard, std::size_t replica)
    {
        return m_backends.at(port(shard, replica));
    }
    void startAll();

    wide_fleet_spec m_spec;
    manual_loop m_loop;
    random_source m_random;
    fake_dialect m_dialect;
    fake_backends m_backends{m_loop};
    member_map m_members;
    std::vector<std::unique_ptr<instance>> m_instances;
    report_exchange m_reports;
    std::uint64_t m_sent = 0;
};

} // namespace peridotwheel

#endif
