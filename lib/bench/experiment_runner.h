#ifndef PERIDOTWHEEL_BENCH_EXPERIMENT_RUNNER_H
#define PERIDOTWHEEL_BENCH_EXPERIMENT_RUNNER_H

#include "peridotwheel/bench/experiment_report.h"
#include "peridotwheel/bench/local_cluster.h"

#include <functional>
#include <string>
#include <vector>

namespace peridotwheel {

/// The classes of the experiments, with the targets that the design states.
class_spec urgentClass();
class_spec middleClass();
class_spec lowClass();

/// A mixed load: 30% urgent, 40% middle, 30% low.
std::vector<load_stream> mixedLoad(double ratePerSecond, duration start, duration end);

/// What one measured part of an experiment showed.
struct measured_run
{
    load_result load;
    duration length{};
    double idle = 0.0;
    double extraLoad = 0.0;
};

/// A report with everything but the bounds.
experiment_report reportOf(const std::string &name, std::uint64_t seed, double capacityQps,
                           const measured_run &run);

/// A cluster and the steps that experiments share.
class experiment_runner
{
public:
    experiment_runner(std::string name, std::uint64_t seed, cluster_options options = {});

    result<void> start();
    local_cluster &cluster() { return m_cluster; }

    /// Highest rate of useful answers under a rising mixed load. Takes about 10 s.
    double findCapacity();
    /// Runs \p streams, whose latest end is \p length, and measures.
    measured_run measure(const std::vector<load_stream> &streams, duration length,
                         const std::function<void()> &during = nullptr);
    experiment_report report(const measured_run &run) const
    {
        return reportOf(m_name, m_seed, m_capacity, run);
    }

private:
    std::uint64_t extraAttempts();

    std::string m_name;
    std::uint64_t m_seed;
    cluster_options m_options;
    local_cluster m_cluster;
    double m_capacity = 0.0;
    std::uint64_t m_runs = 0;
};

/// Share of the requests of a class that were answered in target; 1 without requests.
double inTargetShare(const experiment_report &report, const class_spec &spec);
double usefulRate(const experiment_report &report, const class_spec &spec);
std::uint64_t violationSum(const experiment_report &report);

/// Adds the p99 and coverage bounds of a class's own targets.
void addTargetBounds(experiment_report &report, const class_spec &spec);
/// Adds the bound of no violations and the idle share that makes a figure count.
void addCommonBounds(experiment_report &report);

} // namespace peridotwheel

#endif
