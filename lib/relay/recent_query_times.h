#ifndef PERIDOTWHEEL_LIB_RELAY_RECENT_QUERY_TIMES_H
#define PERIDOTWHEEL_LIB_RELAY_RECENT_QUERY_TIMES_H

#include "peridotwheel/support/units.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <optional>

namespace peridotwheel {

/// The p90 of the latest query times. An instance of a large fleet gets only a few queries per
/// second; an exponentially decaying histogram would be dominated by the first, slow queries for
/// minutes, and admission control would refuse urgent work meanwhile.
class recent_query_times
{
public:
    void add(duration sample)
    {
        m_latest[m_sampleCount++ % windowSize] = sample;
        const std::size_t count = std::min(m_sampleCount, windowSize);
        auto sorted = m_latest;
        const auto p90 = sorted.begin() + static_cast<std::ptrdiff_t>((count - 1) * 9 / 10);
        std::nth_element(sorted.begin(), p90, sorted.begin() + static_cast<std::ptrdiff_t>(count));
        m_p90 = *p90;
    }

    std::optional<duration> p90() const
    {
        return m_sampleCount == 0 ? std::nullopt : std::optional<duration>(m_p90);
    }

private:
    static constexpr std::size_t windowSize = 32;

    std::array<duration, windowSize> m_latest{};
    std::size_t m_sampleCount = 0;
    duration m_p90{};
};

} // namespace peridotwheel

#endif
