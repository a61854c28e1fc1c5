#ifndef PERIDOTWHEEL_LIB_GATEWAY_METRICS_TEXT_H
#define PERIDOTWHEEL_LIB_GATEWAY_METRICS_TEXT_H

#include <string>

namespace peridotwheel {

class counter_set;

/// Returns all counters as lines of "NAME VALUE".
std::string metricsText(const counter_set &counters);

} // namespace peridotwheel

#endif
