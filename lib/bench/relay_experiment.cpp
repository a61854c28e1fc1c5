#include "experiment_list.h"
#include "experiment_runner.h"

namespace peridotwheel {

namespace {

constexpr std::uint32_t instanceCount = 30;
constexpr std::uint32_t serviceCount = 50;
constexpr std::uint32_t serversEach = 4;
/// Fewer connections per server than instances, so that each instance lacks most of them.
constexpr std::uint32_t scarceConnections = 4;
/// One connection of each instance to each server.
constexpr std::uint32_t plentyOfConnections = instanceCount;
/// 3,000 server requests/s: the limit under test is the connections, not the test machine.
constexpr double queriesPerSecond = 60.0;
/// The first queries of an instance meet connections that are still being opened, and its estimates
/// need some queries each.
constexpr duration warmUp = seconds(8);
constexpr duration measured = seconds(8);
/// About one message for each other instance of the data centre.
constexpr double mostMessages = 10.0;

struct relay_run
{
    experiment_report report;
    double messagesPerQuery = 0.0;
};

result<relay_run> runWith(std::uint64_t seed, std::uint32_t connectionLimit)
{
    cluster_options options;
    options.instances = instanceCount;
    options.fleet.shardedServices = serviceCount;
    options.fleet.serversPerService = serversEach;
    options.fleet.plainServices.clear();
    options.fleet.connectionLimit = connectionLimit;
    experiment_runner runner("inner-hop", seed, options);
    local_cluster &cluster = runner.cluster();
    BOOST_OUTCOME_TRYV(cluster.start());
    cluster.runLoad(mixedLoad(queriesPerSecond, {}, warmUp), seed + 17);
    const std::uint64_t messages = cluster.counterSum("relay.messages");
    const auto run = runner.measure(mixedLoad(queriesPerSecond, {}, measured), measured);
    std::uint64_t queries = 0;
    for (const auto &[name, tally] : run.load.classes)
        queries += tally.sent;
    relay_run out;
    out.report = runner.report(run);
    out.messagesPerQuery = static_cast<double>(cluster.counterSum("relay.messages") - messages) /
                           static_cast<double>(queries);
    return out;
}

result<experiment_report> runInnerHop(std::uint64_t seed)
{
    BOOST_OUTCOME_TRY(relayed, runWith(seed, scarceConnections));
    experiment_report &report = relayed.report;
    addTargetBounds(report, urgentClass());
    report.bounds.push_back(bound_check::atLeast("relayed messages per query, to be under test", 1,
                                                 relayed.messagesPerQuery));
    report.bounds.push_back(bound_check::atMost("relayed messages per query", mostMessages,
                                                relayed.messagesPerQuery));
    addCommonBounds(report);
    BOOST_OUTCOME_TRY(direct, runWith(seed, plentyOfConnections));
    report.bounds.push_back(bound_check::atMost("relayed messages per query with direct calls", 0,
                                                direct.messagesPerQuery));
    report.baseline = std::make_shared<experiment_report>(std::move(direct.report));
    return std::move(report);
}

} // namespace

void addRelayExperiment(std::vector<experiment> &list)
{
    list.push_back(
            {"inner-hop", "30 instances, 200 servers that allow 4 connections each", runInnerHop});
}

} // namespace peridotwheel
