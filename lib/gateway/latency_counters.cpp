#include "latency_counters.h"

#include <string>

namespace peridotwheel {

latency_counters::row &latency_counters::rowOf(class_rank rank)
{
    const auto [it, isNew] = m_rows.try_emplace(rank);
    if (!isNew)
        return it->second;
    const std::string prefix = "gateway.latency.rank_" + std::to_string(rank.value()) + ".";
    for (std::size_t i = 0; i < boundsMs.size(); ++i)
        it->second[i] = &m_counters.at(prefix + "le_" + std::to_string(boundsMs[i]) + "_ms");
    it->second.back() = &m_counters.at(prefix + "all");
    return it->second;
}

void latency_counters::add(class_rank rank, duration took)
{
    row &counters = rowOf(rank);
    for (std::size_t i = 0; i < boundsMs.size(); ++i) {
        if (took <= milliseconds(boundsMs[i]))
            counters[i]->add();
    }
    counters.back()->add();
}

} // namespace peridotwheel
