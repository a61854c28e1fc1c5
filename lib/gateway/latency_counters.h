#ifndef PERIDOTWHEEL_LIB_GATEWAY_LATENCY_COUNTERS_H
#define PERIDOTWHEEL_LIB_GATEWAY_LATENCY_COUNTERS_H

#include "peridotwheel/configuration/class_spec.h"
#include "peridotwheel/counters/counter_set.h"

#include <array>
#include <map>

namespace peridotwheel {

/// Cumulative histograms of the time from arrival to answer, one for each rank: each counter counts
/// the answers that took at most its bound.
class latency_counters
{
public:
    explicit latency_counters(counter_set &counters)
        : m_counters(counters)
    {
    }

    void add(class_rank rank, duration took);

private:
    /// Bounds in milliseconds, from the fastest answers to the longest deadlines.
    static constexpr std::array<int, 11> boundsMs{5,   10,  20,  50,   100, 150,
                                                  200, 400, 800, 1600, 6000};
    using row = std::array<counter *, boundsMs.size() + 1>;

    row &rowOf(class_rank rank);

    counter_set &m_counters;
    std::map<class_rank, row> m_rows;
};

} // namespace peridotwheel

#endif
