#include "experiment_list.h"
#include "experiment_runner.h"

#include <algorithm>
#include <array>
#include <thread>

namespace peridotwheel {

namespace {

constexpr double usualLoad = 0.5;

void sleepFor(duration d)
{
    std::this_thread::sleep_for(d);
}

/// One server of each sharded service; \p choice varies which.
std::vector<server_id> oneOfEachService(standin_fleet &fleet, std::uint64_t choice)
{
    std::map<service_name, std::vector<server_id>> byService;
    for (const auto &id : fleet.servers()) {
        const auto config = fleet.server(id);
        if (config && config.value().sharded)
            byService[config.value().service].push_back(id);
    }
    std::vector<server_id> out;
    out.reserve(byService.size());
    for (const auto &[service, ids] : byService)
        out.push_back(ids[choice++ % ids.size()]);
    return out;
}

result<void> changeAll(standin_fleet &fleet, const std::vector<server_id> &ids,
                       const std::function<void(fault_plan &)> &change)
{
    for (const auto &id : ids) {
        BOOST_OUTCOME_TRYV(fleet.changeFaults(id, change));
    }
    return success();
}

/// Adds the counts of \p part to \p all, for experiments that measure in phases.
void addPhase(measured_run &all, const measured_run &part)
{
    for (const auto &[name, tally] : part.load.classes)
        all.load.classes[name].merge(tally);
    for (const auto &[name, count] : part.load.violations)
        all.load.violations[name] += count;
    const double whole = toMilliseconds(all.length + part.length);
    all.idle = (all.idle * toMilliseconds(all.length) + part.idle * toMilliseconds(part.length)) /
               whole;
    all.extraLoad = (all.extraLoad * toMilliseconds(all.length) +
                     part.extraLoad * toMilliseconds(part.length)) /
                    whole;
    all.length += part.length;
}

result<experiment_report> runReplicaLoss(std::uint64_t seed)
{
    experiment_runner runner("replica-loss", seed);
    BOOST_OUTCOME_TRYV(runner.start());
    const double rate = runner.findCapacity() * usualLoad;
    standin_fleet &fleet = runner.cluster().fleet();
    const auto lost = oneOfEachService(fleet, seed);
    const auto phase = [&](duration length) {
        return runner.measure(mixedLoad(rate, {}, length), length);
    };
    measured_run all;
    measured_run settled;
    for (const bool dead : {false, true}) {
        BOOST_OUTCOME_TRYV(changeAll(fleet, lost, [dead](fault_plan &plan) {
            plan.silent = true;
            plan.dead = dead;
        }));
        addPhase(all, phase(seconds(2)));
        const measured_run later = phase(seconds(4));
        addPhase(all, later);
        addPhase(settled, later);
    }
    auto report = runner.report(all);
    const auto &urgent = report.classes[urgentClass().name];
    report.bounds.push_back(
            bound_check::atLeast("urgent coverage throughout", 0.99, urgent.meanCoverage()));
    const auto &later = settled.load.classes[urgentClass().name];
    report.bounds.push_back(bound_check::atMost("urgent p99 ms from 2 s after", 140,
                                                later.latencies.quantileMs(0.99)));
    report.bounds.push_back(bound_check::atLeast("urgent answered in target from 2 s after", 0.99,
                                                 later.inTargetShare()));
    addCommonBounds(report);
    return report;
}

result<experiment_report> runVersionChange(std::uint64_t seed)
{
    experiment_runner runner("version-change", seed);
    BOOST_OUTCOME_TRYV(runner.start());
    const double rate = runner.findCapacity() * usualLoad;
    constexpr duration length = seconds(9);
    standin_fleet &fleet = runner.cluster().fleet();
    const auto run = runner.measure(mixedLoad(rate, {}, length), length, [&fleet] {
        for (const std::uint32_t shardsPerService : {2U, 1U, 3U, 1U}) {
            sleepFor(milliseconds(1700));
            fleet.publishVersion(shardsPerService);
        }
    });
    auto report = runner.report(run);
    const auto count = [&](const char *name) {
        const auto it = report.violations.find(name);
        return it == report.violations.end() ? 0.0 : static_cast<double>(it->second);
    };
    report.bounds.push_back(bound_check::atMost("mixed answers", 0, count("mixed_version")));
    report.bounds.push_back(
            bound_check::atMost("false coverage statements", 0, count("false_coverage")));
    addTargetBounds(report, urgentClass());
    addCommonBounds(report);
    return report;
}

/// The only sign of its drain that a server gives, by its number modulo these.
constexpr std::array<const char *, 3> signs = {"health", "reply", "list"};

/// Requests that \p id received more than \p grace after its drain began.
std::uint64_t receivedLate(standin_fleet &fleet, const server_id &id, duration grace)
{
    const auto counters = fleet.counters(id);
    if (!counters)
        return 0;
    const backend_counters &c = counters.value();
    return static_cast<std::uint64_t>(
            std::count_if(c.receivedAfterDrainAt.begin(), c.receivedAfterDrainAt.end(),
                          [&](time_point at) { return at > c.drainStart + grace; }));
}

result<experiment_report> runDrain(std::uint64_t seed)
{
    experiment_runner runner("drain", seed);
    BOOST_OUTCOME_TRYV(runner.start());
    const double rate = runner.findCapacity() * usualLoad;
    local_cluster &cluster = runner.cluster();
    const auto leaving = oneOfEachService(cluster.fleet(), seed);
    constexpr duration length = seconds(12);
    // Each server shows its drain by one sign only: health endpoint, replies or the platform's
    // list.
    const auto run = runner.measure(mixedLoad(rate, {}, length), length, [&] {
        sleepFor(seconds(1));
        for (std::size_t i = 0; i < leaving.size(); ++i) {
            static_cast<void>(
                    cluster.fleet().startDrain(leaving[i], i % 3 == 0, i % 3 == 1, i % 3 == 2));
        }
        sleepFor(seconds(4));
        cluster.shutDownInstance(seed % cluster.size());
    });
    std::uint64_t late = 0;
    std::array<std::uint64_t, signs.size()> lateBySign{};
    for (std::size_t i = 0; i < leaving.size(); ++i) {
        const std::uint64_t count = receivedLate(cluster.fleet(), leaving[i], seconds(3));
        late += count;
        lateBySign[i % signs.size()] += count;
    }
    auto report = runner.report(run);
    const auto lost = report.violations["no_reply"];
    report.bounds.push_back(bound_check::atMost("new requests from 3 s after the first sign", 0,
                                                static_cast<double>(late)));
    for (std::size_t i = 0; i < signs.size(); ++i) {
        report.bounds.push_back({std::string("of these, sign by ") + signs[i], "reported",
                                 static_cast<double>(lateBySign[i]), true});
    }
    report.bounds.push_back(bound_check::atMost("requests cut off", 0, static_cast<double>(lost)));
    addCommonBounds(report);
    return report;
}

result<experiment_report> runOutage(std::uint64_t seed)
{
    cluster_options options;
    options.partitions = true;
    experiment_runner runner("outage", seed, options);
    BOOST_OUTCOME_TRYV(runner.start());
    const double rate = runner.findCapacity() * usualLoad;
    local_cluster &cluster = runner.cluster();
    const auto phase = [&](duration length) {
        return runner.measure(mixedLoad(rate, {}, length), length);
    };
    // Ten minutes scaled to seconds: nothing that the instances hold expires in between.
    platform_faults down;
    down.outage = outage_mode::Unanswered;
    cluster.fleet().setPlatformFaults(down);
    const auto platformDown = runner.report(phase(seconds(6)));
    cluster.cutOff(3);
    const auto atCut = runner.report(phase(seconds(2)));
    const auto both = runner.report(phase(seconds(5)));
    cluster.cutOff(0);
    cluster.fleet().setPlatformFaults({});
    auto report = runner.report(phase(seconds(3)));

    const auto addBound = [&](const char *name, const experiment_report &r) {
        for (const auto &spec : {urgentClass(), middleClass(), lowClass()}) {
            report.bounds.push_back(bound_check::atLeast(spec.name.value() + " in target, " + name,
                                                         spec.quantile, inTargetShare(r, spec)));
        }
    };
    addBound("platform down", platformDown);
    addBound("data centre cut as well, from 2 s after", both);
    addBound("after healing", report);
    for (const auto *r : {&platformDown, &atCut, &both}) {
        for (const auto &[name, tally] : r->classes)
            report.classes[name].merge(tally);
        for (const auto &[name, count] : r->violations)
            report.violations[name] += count;
        report.machineIdle = std::min(report.machineIdle, r->machineIdle);
    }
    addCommonBounds(report);
    return report;
}

} // namespace

void addFaultExperiments(std::vector<experiment> &list)
{
    list.push_back(
            {"replica-loss", "one server of each service silent, then dead", runReplicaLoss});
    list.push_back({"version-change", "new index versions with other shard counts under load",
                    runVersionChange});
    list.push_back({"drain", "servers drain and an instance shuts down under load", runDrain});
    list.push_back({"outage", "platform down, then a data centre cut off as well", runOutage});
}

} // namespace peridotwheel
