#ifndef PERIDOTWHEEL_LIB_GATEWAY_LATENCY_COUNTERS_H
#define PERIDOTWHEEL_LIB_GATEWAY_LATENCY_COUNTERS_H

#include "duration_histogram.h"
#include "peridotwheel/configuration/class_spec.h"

#include <map>

namespace peridotwheel {

/// Histograms of the time from arrival to answer, one for each rank.
class latency_counters
{
public:
    explicit latency_counters(counter_set &counters)
        : m_counters(counters)
    {
    }

    void add(class_rank rank, duration took);

private:
    counter_set &m_counters;
    std::map<class_rank, duration_histogram> m_histograms;
};

} // namespace peridotwheel

#endif
