#ifndef PERIDOTWHEEL_LIB_GATEWAY_DURATION_HISTOGRAM_H
#define PERIDOTWHEEL_LIB_GATEWAY_DURATION_HISTOGRAM_H

#include "peridotwheel/counters/counter_set.h"
#include "peridotwheel/support/units.h"

#include <array>
#include <string>

namespace peridotwheel {

/// A cumulative histogram of durations: each counter counts those that are at most its bound.
class duration_histogram
{
public:
    /// \p prefix precedes the names of the counters, which are "le_T_ms" and "all".
    duration_histogram(counter_set &counters, const std::string &prefix);

    void add(duration d);

private:
    /// Bounds in milliseconds, from the fastest answers to the longest deadlines.
    static constexpr std::array<int, 11> boundsMs{5,   10,  20,  50,   100, 150,
                                                  200, 400, 800, 1600, 6000};

    std::array<counter *, boundsMs.size()> m_counters;
    counter &m_all;
};

} // namespace peridotwheel

#endif
