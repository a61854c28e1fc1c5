#ifndef PERIDOTWHEEL_ROUTING_LATENCY_DISTRIBUTION_H
#define PERIDOTWHEEL_ROUTING_LATENCY_DISTRIBUTION_H

#include "peridotwheel/support/units.h"

#include <cstdint>
#include <memory>

namespace peridotwheel {

/// Latency distribution with exponentially decaying weights, so that quantiles follow the recent
/// samples. Adding a sample is cheap; the 90%, 95% and 99% quantiles are cached between refreshes.
class latency_distribution
{
public:
    latency_distribution();
    ~latency_distribution();
    latency_distribution(const latency_distribution &) = delete;
    latency_distribution &operator=(const latency_distribution &) = delete;

    void add(duration latency);
    /// Returns the quantile \p q in (0, 1), rounded up to the upper bound of its bucket; zero
    /// without samples.
    duration quantile(double q) const;
    duration p90() const { return m_p90; }
    duration p95() const { return m_p95; }
    duration p99() const { return m_p99; }
    std::uint64_t samples() const { return m_samples; }

private:
    void refresh();

    struct impl;
    std::unique_ptr<impl> m_impl;
    std::uint64_t m_samples = 0;
    duration m_p90{};
    duration m_p95{};
    duration m_p99{};
};

} // namespace peridotwheel

#endif
