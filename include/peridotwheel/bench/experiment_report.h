#ifndef PERIDOTWHEEL_BENCH_EXPERIMENT_REPORT_H
#define PERIDOTWHEEL_BENCH_EXPERIMENT_REPORT_H

#include "peridotwheel/bench/class_tally.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace peridotwheel {

/// One stated target and the figure that was measured for it.
struct bound_check
{
    std::string name;
    std::string bound; ///< As stated, for example ">= 0.99".
    double value = 0.0;
    bool met = false;

    static bound_check atLeast(std::string name, double bound, double value);
    static bound_check atMost(std::string name, double bound, double value);
};

/// The outcome of one experiment, in the form that `peridot-bench --json` prints.
struct experiment_report
{
    std::string experiment;
    std::uint64_t seed = 0;
    double seconds = 0.0;
    double capacityQps = 0.0;
    double usefulQps = 0.0;
    double machineIdle = 0.0; ///< Share of all cores during the measured part.
    class_tallies classes;
    double extraLoad = 0.0;
    violation_counts violations;
    std::vector<bound_check> bounds;
    std::shared_ptr<experiment_report> baseline;

    bool allMet() const;
};

std::string toJson(const experiment_report &report);
/// A table for people.
std::string toText(const experiment_report &report);

} // namespace peridotwheel

#endif
