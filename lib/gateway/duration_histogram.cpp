#include "duration_histogram.h"

namespace peridotwheel {

duration_histogram::duration_histogram(counter_set &counters, const std::string &prefix)
    : m_all(counters.at(prefix + "all"))
{
    for (std::size_t i = 0; i < boundsMs.size(); ++i)
        m_counters[i] = &counters.at(prefix + "le_" + std::to_string(boundsMs[i]) + "_ms");
}

void duration_histogram::add(duration d)
{
    for (std::size_t i = 0; i < boundsMs.size(); ++i) {
        if (d <= milliseconds(boundsMs[i]))
            m_counters[i]->add();
    }
    m_all.add();
}

} // namespace peridotwheel
