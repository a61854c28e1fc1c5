#include "peridotwheel/routing/latency_distribution.h"

#include <boost/histogram.hpp>
#include <vector>

namespace peridotwheel {

namespace {

namespace bh = boost::histogram;

/// 96 buckets from 0.1 ms to 20 s: each is 14% wide, which is accurate enough to derive delays from
/// quantiles.
constexpr unsigned bucketCount = 96;
constexpr double lowestMs = 0.1;
constexpr double highestMs = 20000.0;
/// All weights are halved after this many samples.
constexpr std::uint64_t halvingPeriodSamples = 2048;
/// Samples between refreshes of the cached quantiles; a refresh costs about 300 additions.
constexpr std::uint64_t refreshPeriodSamples = 64;

using axis_type = bh::axis::regular<double, bh::axis::transform::log>;
using histogram_type = decltype(bh::make_histogram_with(
        std::vector<double>(), axis_type(bucketCount, lowestMs, highestMs)));

} // namespace

struct latency_distribution::impl
{
    histogram_type histogram = bh::make_histogram_with(std::vector<double>(),
                                                       axis_type(bucketCount, lowestMs, highestMs));
};

latency_distribution::latency_distribution()
    : m_impl(std::make_unique<impl>())
{
}

latency_distribution::~latency_distribution() = default;

void latency_distribution::add(duration latency)
{
    m_impl->histogram(toMilliseconds(latency));
    ++m_samples;
    if (m_samples % halvingPeriodSamples == 0)
        m_impl->histogram *= 0.5;
    if (m_samples % refreshPeriodSamples == 0 || m_samples < refreshPeriodSamples)
        refresh();
}

duration latency_distribution::quantile(double q) const
{
    double total = 0;
    for (const double weight : m_impl->histogram)
        total += weight;
    if (total <= 0)
        return duration::zero();
    const auto &axis = m_impl->histogram.axis();
    double cumulativeWeight = m_impl->histogram.at(-1);
    for (int i = 0; i < axis.size(); ++i) {
        cumulativeWeight += m_impl->histogram.at(i);
        if (cumulativeWeight >= q * total)
            return fromMilliseconds(axis.bin(i).upper());
    }
    return fromMilliseconds(highestMs);
}

void latency_distribution::refresh()
{
    m_p90 = quantile(0.9);
    m_p95 = quantile(0.95);
    m_p99 = quantile(0.99);
}

} // namespace peridotwheel
