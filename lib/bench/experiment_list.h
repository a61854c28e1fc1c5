#ifndef PERIDOTWHEEL_BENCH_EXPERIMENT_LIST_H
#define PERIDOTWHEEL_BENCH_EXPERIMENT_LIST_H

#include "peridotwheel/bench/experiment.h"

#include <vector>

namespace peridotwheel {

/// steady, stragglers, flood-low, flood-urgent.
void addLoadExperiments(std::vector<experiment> &list);
/// replica-loss, version-change, drain, outage.
void addFaultExperiments(std::vector<experiment> &list);
/// non-repeatable.
void addClaimExperiments(std::vector<experiment> &list);
/// configuration.
void addControlExperiments(std::vector<experiment> &list);
/// throughput.
void addThroughputExperiment(std::vector<experiment> &list);
/// inner-hop.
void addRelayExperiment(std::vector<experiment> &list);

} // namespace peridotwheel

#endif
