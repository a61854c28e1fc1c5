#include "experiment_list.h"
#include "experiment_runner.h"

#include <set>
#include <thread>

namespace peridotwheel {

namespace {

constexpr double bookingRate = 60.0;
constexpr double resendShare = 0.2;
constexpr double resetShare = 0.03;
constexpr double lostReplyShare = 0.05;

load_stream bookings(duration length)
{
    load_stream s;
    s.spec = lowClass();
    s.ratePerSecond = bookingRate;
    s.end = length;
    s.repeatable = false;
    s.service = "booking";
    s.resendShare = resendShare;
    return s;
}

result<void> injectFaults(standin_fleet &fleet)
{
    for (const auto &id : fleet.servers()) {
        BOOST_OUTCOME_TRY(config, fleet.server(id));
        if (config.sharded)
            continue;
        BOOST_OUTCOME_TRYV(fleet.changeFaults(id, [](fault_plan &plan) {
            plan.resetBefore = resetShare;
            plan.resetAfter = resetShare;
        }));
    }
    platform_faults faults;
    faults.lostReplyFraction = lostReplyShare;
    faults.lostReplyKind = "claims";
    fleet.setPlatformFaults(faults);
    return success();
}

/// Compares what callers were told with what the servers ran.
void countBrokenPromises(const backend_counters &servers, experiment_report &report,
                         const std::vector<std::string> &saidNotRun)
{
    std::uint64_t twice = 0;
    for (const auto &[id, runs] : servers.runs)
        twice += runs > 1 ? 1 : 0;
    std::uint64_t untrue = 0;
    for (const auto &id : std::set<std::string>(saidNotRun.begin(), saidNotRun.end()))
        untrue += servers.runs.count(id);
    if (twice != 0)
        report.violations["run_twice"] = twice;
    if (untrue != 0)
        report.violations["not_run_but_ran"] = untrue;
    report.bounds.push_back(bound_check::atMost("run twice", 0, static_cast<double>(twice)));
    report.bounds.push_back(
            bound_check::atMost("said \"not run\" but ran", 0, static_cast<double>(untrue)));
}

result<experiment_report> runNonRepeatable(std::uint64_t seed)
{
    experiment_runner runner("non-repeatable", seed);
    BOOST_OUTCOME_TRYV(runner.start());
    BOOST_OUTCOME_TRYV(injectFaults(runner.cluster().fleet()));
    constexpr duration length = seconds(12);
    local_cluster &cluster = runner.cluster();
    const auto run = runner.measure({bookings(length)}, length, [&] {
        for (std::size_t i = 0; i < 4; ++i) {
            std::this_thread::sleep_for(seconds(2));
            cluster.pauseInstance((seed + i) % cluster.size(), milliseconds(1500));
        }
    });
    auto report = runner.report(run);
    // A reset connection is part of the experiment: the caller then reports the outcome as unknown.
    report.violations.erase("no_reply");
    countBrokenPromises(cluster.fleet().counters(), report, run.load.saidNotRun);
    const class_tally &tally = report.classes[lowClass().name];
    const double sent = static_cast<double>(tally.sent);
    report.bounds.push_back(
            {"share left unknown", "reported", static_cast<double>(tally.unknown) / sent, true});
    report.bounds.push_back(
            {"share answered", "reported", static_cast<double>(tally.answered) / sent, true});
    addCommonBounds(report);
    return report;
}

} // namespace

void addClaimExperiments(std::vector<experiment> &list)
{
    list.push_back({"non-repeatable",
                    "bookings under resets, resends, lost claim replies and pauses",
                    runNonRepeatable});
}

} // namespace peridotwheel
