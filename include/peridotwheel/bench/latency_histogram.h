#ifndef PERIDOTWHEEL_BENCH_LATENCY_HISTOGRAM_H
#define PERIDOTWHEEL_BENCH_LATENCY_HISTOGRAM_H

#include "peridotwheel/support/units.h"

#include <boost/histogram.hpp>

namespace peridotwheel {

/// Latencies from 0.1 ms to 100 s in logarithmic bins of about 1%.
class latency_histogram
{
public:
    latency_histogram();

    void add(duration latency);
    void merge(const latency_histogram &other);
    /// Upper edge of the bin that holds quantile \p q, in milliseconds; 0 without samples.
    double quantileMs(double q) const;
    std::uint64_t count() const { return m_count; }

private:
    using axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using storage = boost::histogram::dense_storage<std::uint64_t>;

    boost::histogram::histogram<std::tuple<axis>, storage> m_bins;
    std::uint64_t m_count = 0;
};

} // namespace peridotwheel

#endif
