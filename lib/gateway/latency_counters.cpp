#include "latency_counters.h"

#include <string>

namespace peridotwheel {

void latency_counters::add(class_rank rank, duration took)
{
    auto it = m_histograms.find(rank);
    if (it == m_histograms.end()) {
        const std::string prefix = "gateway.latency.rank_" + std::to_string(rank.value()) + ".";
        it = m_histograms.emplace(rank, duration_histogram(m_counters, prefix)).first;
    }
    it->second.add(took);
}

} // namespace peridotwheel
