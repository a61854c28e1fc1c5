#include "experiment_runner.h"

#include "peridotwheel/bench/cpu_meter.h"

#include <algorithm>
#include <numeric>
#include <thread>

namespace peridotwheel {

namespace {

constexpr double urgentShare = 0.3;
constexpr double middleShare = 0.4;
constexpr double lowShare = 0.3;
/// A figure taken with less idle time on the machine does not count.
constexpr double minIdleShare = 0.2;
constexpr duration warmUp = seconds(2);

load_stream streamOf(class_spec spec, double rate, duration start, duration end)
{
    load_stream s;
    s.spec = std::move(spec);
    s.ratePerSecond = rate;
    s.start = start;
    s.end = end;
    return s;
}

/// Rate at which the servers of one service are fully busy.
double saturationRate(const fleet_config &fleet)
{
    const double perServer = fleet.workers / (toMilliseconds(fleet.serviceTimeMean) / 1000.0);
    return perServer * fleet.serversPerService;
}

std::uint64_t usefulInBins(const class_tallies &classes, std::size_t first, std::size_t last)
{
    std::uint64_t sum = 0;
    for (const auto &[name, tally] : classes) {
        for (std::size_t i = first; i < std::min(last, tally.usefulByBin.size()); ++i)
            sum += tally.usefulByBin[i];
    }
    return sum;
}

} // namespace

class_spec urgentClass()
{
    return {class_name("urgent"), milliseconds(140), 0.99, 0.99, class_rank(0)};
}

class_spec middleClass()
{
    return {class_name("middle"), milliseconds(400), 0.99, 0.95, class_rank(1)};
}

class_spec lowClass()
{
    return {class_name("low"), seconds(2), 0.99, 1.0, class_rank(2)};
}

std::vector<load_stream> mixedLoad(double ratePerSecond, duration start, duration end)
{
    return {streamOf(urgentClass(), ratePerSecond * urgentShare, start, end),
            streamOf(middleClass(), ratePerSecond * middleShare, start, end),
            streamOf(lowClass(), ratePerSecond * lowShare, start, end)};
}

experiment_runner::experiment_runner(std::string name, std::uint64_t seed, cluster_options options)
    : m_name(std::move(name))
    , m_seed(seed)
    , m_options(std::move(options))
    , m_cluster([&] {
        m_options.seed = seed;
        return m_options;
    }())
{
}

result<void> experiment_runner::start()
{
    BOOST_OUTCOME_TRYV(m_cluster.start());
    // Pools open and latencies are learnt before anything is measured.
    m_cluster.runLoad(mixedLoad(saturationRate(m_options.fleet) * 0.3, {}, warmUp), m_seed + 17);
    return success();
}

double experiment_runner::findCapacity()
{
    constexpr double steps[] = {0.5, 0.6, 0.7, 0.8, 0.9, 1.0, 1.1};
    constexpr std::size_t binsPerStep = 5;
    const double saturation = saturationRate(m_options.fleet);
    std::vector<load_stream> streams;
    duration at{};
    for (const double step : steps) {
        const duration end = at + class_tally::binWidth * binsPerStep;
        for (auto &s : mixedLoad(saturation * step, at, end))
            streams.push_back(std::move(s));
        at = end;
    }
    const auto load = m_cluster.runLoad(streams, m_seed + 29);
    // The first bin of a step still shows the step before.
    constexpr std::size_t counted = binsPerStep - 1;
    const double stepSeconds = toMilliseconds(class_tally::binWidth) / 1000.0 * counted;
    for (std::size_t i = 0; i < std::size(steps); ++i) {
        const std::size_t first = i * binsPerStep + 1;
        const auto useful = usefulInBins(load.classes, first, first + counted);
        m_capacity = std::max(m_capacity, static_cast<double>(useful) / stepSeconds);
    }
    return m_capacity;
}

std::uint64_t experiment_runner::extraAttempts()
{
    return m_cluster.counterSum("query.attempts.hedge") +
           m_cluster.counterSum("query.attempts.retry") +
           m_cluster.counterSum("query.attempts.probe");
}

measured_run experiment_runner::measure(const std::vector<load_stream> &streams, duration length,
                                        const std::function<void()> &during)
{
    const std::uint64_t firstBefore = m_cluster.counterSum("query.attempts.first");
    const std::uint64_t extraBefore = extraAttempts();
    const idle_meter idle;
    measured_run run;
    run.length = length;
    run.load = m_cluster.runLoad(streams, m_seed * 1009 + ++m_runs, during);
    run.idle = idle.idleShare();
    const auto first = m_cluster.counterSum("query.attempts.first") - firstBefore;
    const auto extra = extraAttempts() - extraBefore;
    run.extraLoad = first == 0 ? 0.0 : static_cast<double>(extra) / static_cast<double>(first);
    return run;
}

experiment_report reportOf(const std::string &name, std::uint64_t seed, double capacityQps,
                           const measured_run &run)
{
    experiment_report out;
    out.experiment = name;
    out.seed = seed;
    out.seconds = toMilliseconds(run.length) / 1000.0;
    out.capacityQps = capacityQps;
    out.machineIdle = run.idle;
    out.classes = run.load.classes;
    out.extraLoad = run.extraLoad;
    out.violations = run.load.violations;
    const auto bins = static_cast<std::size_t>(run.length / class_tally::binWidth);
    const std::uint64_t useful = usefulInBins(out.classes, 0, bins);
    out.usefulQps = static_cast<double>(useful) / out.seconds;
    return out;
}

double inTargetShare(const experiment_report &report, const class_spec &spec)
{
    const auto it = report.classes.find(spec.name);
    return it == report.classes.end() ? 1.0 : it->second.inTargetShare();
}

double usefulRate(const experiment_report &report, const class_spec &spec)
{
    const auto it = report.classes.find(spec.name);
    if (it == report.classes.end())
        return 0.0;
    return static_cast<double>(it->second.inTarget) / report.seconds;
}

std::uint64_t violationSum(const experiment_report &report)
{
    return std::accumulate(report.violations.begin(), report.violations.end(), std::uint64_t{0},
                           [](std::uint64_t sum, const auto &v) { return sum + v.second; });
}

void addTargetBounds(experiment_report &report, const class_spec &spec)
{
    const auto it = report.classes.find(spec.name);
    if (it == report.classes.end())
        return;
    const std::string &name = spec.name.value();
    report.bounds.push_back(bound_check::atLeast(name + " answered in target", spec.quantile,
                                                 it->second.inTargetShare()));
    report.bounds.push_back(bound_check::atLeast(name + " coverage", spec.coverageTarget,
                                                 it->second.meanCoverage()));
}

void addCommonBounds(experiment_report &report)
{
    report.bounds.push_back(
            bound_check::atMost("violations", 0, static_cast<double>(violationSum(report))));
    report.bounds.push_back(
            bound_check::atLeast("idle share of the cores", minIdleShare, report.machineIdle));
}

} // namespace peridotwheel
