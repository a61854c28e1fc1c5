#ifndef PERIDOTWHEEL_BENCH_FLEET_LOAD_H
#define PERIDOTWHEEL_BENCH_FLEET_LOAD_H

#include "peridotwheel/bench/experiment_report.h"
#include "peridotwheel/http/http_message.h"
#include "peridotwheel/support/error.h"

#include <vector>

namespace peridotwheel {

/// A mixed load on a fleet that runs already, as `./quickstart` does.
struct fleet_load_options
{
    /// Callers' addresses of the instances; requests go to a random one, as from a balancer.
    std::vector<endpoint> callers;
    /// Where the instances' counters are found; extra load is computed from them.
    endpoint platform;
    double ratePerSecond = 300.0;
    duration length = seconds(5);
    std::uint64_t seed = 1;
};

/// Error: as `fleet_client::instances`.
result<experiment_report> runFleetLoad(const fleet_load_options &options);

} // namespace peridotwheel

#endif
