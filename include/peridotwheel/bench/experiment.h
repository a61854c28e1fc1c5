#ifndef PERIDOTWHEEL_BENCH_EXPERIMENT_H
#define PERIDOTWHEEL_BENCH_EXPERIMENT_H

#include "peridotwheel/bench/experiment_report.h"
#include "peridotwheel/support/error.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace peridotwheel {

/// A named experiment with the bounds that docs/design.md states for it.
struct experiment
{
    std::string name;
    std::string summary;
    std::function<result<experiment_report>(std::uint64_t seed)> run;
};

/// All experiments in the order of the design's table.
const std::vector<experiment> &experiments();

/// Null if there is none of that name.
const experiment *findExperiment(const std::string &name);

} // namespace peridotwheel

#endif
