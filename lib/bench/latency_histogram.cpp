#include "peridotwheel/bench/latency_histogram.h"

#include <algorithm>

namespace peridotwheel {

namespace {

constexpr double lowestMs = 0.1;
constexpr double highestMs = 100000.0;
constexpr unsigned bins = 1400; // Six decades at about 1% a bin.

} // namespace

latency_histogram::latency_histogram()
    : m_bins(boost::histogram::make_histogram_with(storage(), axis(bins, lowestMs, highestMs)))
{
}

void latency_histogram::add(duration latency)
{
    m_bins(std::max(toMilliseconds(latency), lowestMs));
    ++m_count;
}

void latency_histogram::merge(const latency_histogram &other)
{
    m_bins += other.m_bins;
    m_count += other.m_count;
}

double latency_histogram::quantileMs(double q) const
{
    if (m_count == 0)
        return 0.0;
    const double wanted = q * static_cast<double>(m_count);
    std::uint64_t seen = 0;
    for (auto &&bin : boost::histogram::indexed(m_bins)) {
        seen += *bin;
        if (static_cast<double>(seen) >= wanted)
            return bin.bin().upper();
    }
    return highestMs;
}

} // namespace peridotwheel
