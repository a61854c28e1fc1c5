#ifndef PERIDOTWHEEL_LIB_RELAY_SERVICE_TIME_H
#define PERIDOTWHEEL_LIB_RELAY_SERVICE_TIME_H

#include "peridotwheel/support/units.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace peridotwheel {

/// A running estimate of the p90 of query times that forgets within some tens of queries. At the
/// few queries per second of an instance of a large fleet, a histogram would show the first, slow
/// queries for minutes, and admission would refuse urgent work meanwhile.
class service_time
{
public:
    void add(duration sample)
    {
        const auto value = static_cast<double>(sample.count());
        if (m_samples++ == 0) {
            m_mean = value;
            m_deviation = value / 4;
            return;
        }
        const double weight = std::max(weightOfOne, 1.0 / static_cast<double>(m_samples));
        const double excess = std::min(value - m_mean, m_mean);
        m_mean += weight * excess;
        m_deviation += weight * (std::abs(excess) - m_deviation);
    }

    std::optional<duration> estimate() const
    {
        if (m_samples == 0)
            return std::nullopt;
        return duration(static_cast<duration::rep>(m_mean + deviations * m_deviation));
    }

private:
    static constexpr double weightOfOne = 0.05;
    /// Of a normal distribution, the p90 is 1.6 mean absolute deviations above the mean.
    static constexpr double deviations = 1.6;

    double m_mean = 0;
    double m_deviation = 0;
    std::uint64_t m_samples = 0;
};

} // namespace peridotwheel

#endif
