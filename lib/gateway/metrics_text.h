#ifndef PERIDOTWHEEL_LIB_GATEWAY_METRICS_TEXT_H
#define PERIDOTWHEEL_LIB_GATEWAY_METRICS_TEXT_H

#include "peridotwheel/gateway/team_counts.h"

#include <string>
#include <utility>
#include <vector>

namespace peridotwheel {

class counter_set;

/// Returns all counters as lines of "NAME VALUE", followed by those of the \p teams.
std::string metricsText(const counter_set &counters,
                        const std::vector<std::pair<team_name, team_count>> &teams);

} // namespace peridotwheel

#endif
