#include "experiment_list.h"
#include "experiment_runner.h"

namespace peridotwheel {

namespace {

/// Load without a flood, as a share of capacity.
constexpr double usualLoad = 0.5;
constexpr double floodFactor = 10.0;
constexpr duration mainLength = seconds(8);
constexpr duration baselineLength = seconds(6);

result<experiment_report> runSteady(std::uint64_t seed)
{
    experiment_runner runner("steady", seed);
    BOOST_OUTCOME_TRYV(runner.start());
    const double rate = runner.findCapacity() * usualLoad;
    auto report = runner.report(runner.measure(mixedLoad(rate, {}, mainLength), mainLength));
    for (const auto &spec : {urgentClass(), middleClass(), lowClass()})
        addTargetBounds(report, spec);
    report.bounds.push_back(bound_check::atMost("extra server requests", 0.01, report.extraLoad));
    addCommonBounds(report);
    return report;
}

result<void> makeStragglers(standin_fleet &fleet)
{
    for (const auto &id : fleet.servers()) {
        BOOST_OUTCOME_TRYV(fleet.changeFaults(id, [](fault_plan &plan) {
            plan.delayedFraction = 0.01;
            plan.delayedBy = milliseconds(300);
        }));
    }
    return success();
}

result<experiment_report> stragglersWith(std::uint64_t seed, bool hedging, double rate,
                                         duration length)
{
    cluster_options options;
    options.entry.engine.hedging = hedging;
    experiment_runner runner("stragglers", seed, options);
    BOOST_OUTCOME_TRYV(runner.start());
    if (rate == 0.0)
        rate = runner.findCapacity() * usualLoad;
    BOOST_OUTCOME_TRYV(makeStragglers(runner.cluster().fleet()));
    return runner.report(runner.measure(mixedLoad(rate, {}, length), length));
}

result<experiment_report> runStragglers(std::uint64_t seed)
{
    BOOST_OUTCOME_TRY(report, stragglersWith(seed, true, 0.0, mainLength));
    const double p99 = report.classes[urgentClass().name].latencies.quantileMs(0.99);
    report.bounds.push_back(bound_check::atMost("urgent p99 ms", 140, p99));
    addTargetBounds(report, urgentClass());
    report.bounds.push_back(bound_check::atMost("extra server requests", 0.05, report.extraLoad));
    addCommonBounds(report);
    BOOST_OUTCOME_TRY(baseline,
                      stragglersWith(seed, false, report.capacityQps * usualLoad, baselineLength));
    report.baseline = std::make_shared<experiment_report>(std::move(baseline));
    return report;
}

/// The usual mix, with class \p flooding raised to ten times the capacity.
std::vector<load_stream> floodLoad(double capacity, const class_spec &flooding, duration length)
{
    auto streams = mixedLoad(capacity * usualLoad, {}, length);
    for (auto &s : streams) {
        if (s.spec.name == flooding.name)
            s.ratePerSecond = capacity * floodFactor;
    }
    return streams;
}

result<experiment_report> floodBaseline(const std::string &name, std::uint64_t seed,
                                        const class_spec &flooding, double capacity)
{
    cluster_options options;
    options.entry.admission.enabled = false;
    experiment_runner runner(name, seed, options);
    BOOST_OUTCOME_TRYV(runner.start());
    return runner.report(
            runner.measure(floodLoad(capacity, flooding, baselineLength), baselineLength));
}

result<experiment_report> floodReport(const std::string &name, std::uint64_t seed,
                                      const class_spec &flooding)
{
    experiment_runner runner(name, seed);
    BOOST_OUTCOME_TRYV(runner.start());
    const double capacity = runner.findCapacity();
    return runner.report(runner.measure(floodLoad(capacity, flooding, mainLength), mainLength));
}

result<experiment_report> runFloodLow(std::uint64_t seed)
{
    BOOST_OUTCOME_TRY(report, floodReport("flood-low", seed, lowClass()));
    report.bounds.push_back(bound_check::atLeast("urgent answered in target", 0.995,
                                                 inTargetShare(report, urgentClass())));
    report.bounds.push_back(bound_check::atLeast("middle answered in target", 0.95,
                                                 inTargetShare(report, middleClass())));
    report.bounds.push_back(bound_check::atLeast("useful share of capacity", 0.9,
                                                 report.usefulQps / report.capacityQps));
    addCommonBounds(report);
    BOOST_OUTCOME_TRY(baseline, floodBaseline("flood-low", seed, lowClass(), report.capacityQps));
    report.baseline = std::make_shared<experiment_report>(std::move(baseline));
    return report;
}

result<experiment_report> runFloodUrgent(std::uint64_t seed)
{
    BOOST_OUTCOME_TRY(report, floodReport("flood-urgent", seed, urgentClass()));
    const double capacity = report.capacityQps;
    report.bounds.push_back(bound_check::atLeast("middle share of capacity", 0.10,
                                                 usefulRate(report, middleClass()) / capacity));
    report.bounds.push_back(bound_check::atLeast("low share of capacity", 0.05,
                                                 usefulRate(report, lowClass()) / capacity));
    report.bounds.push_back(
            bound_check::atLeast("useful share of capacity", 0.9, report.usefulQps / capacity));
    addCommonBounds(report);
    BOOST_OUTCOME_TRY(baseline, floodBaseline("flood-urgent", seed, urgentClass(), capacity));
    report.baseline = std::make_shared<experiment_report>(std::move(baseline));
    return report;
}

} // namespace

void addLoadExperiments(std::vector<experiment> &list)
{
    list.push_back({"steady", "mixed load at half of capacity", runSteady});
    list.push_back(
            {"stragglers", "1% of replies 300 ms late, with and without hedging", runStragglers});
    list.push_back({"flood-low", "the lowest rank at 10 times capacity", runFloodLow});
    list.push_back({"flood-urgent", "the most urgent rank at 10 times capacity", runFloodUrgent});
}

} // namespace peridotwheel
