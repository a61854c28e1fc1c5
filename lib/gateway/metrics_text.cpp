#include "metrics_text.h"

#include "peridotwheel/counters/counter_set.h"

namespace peridotwheel {

std::string metricsText(const counter_set &counters)
{
    std::string out;
    for (const auto &[name, c] : counters.all())
        out += name + " " + std::to_string(c.value()) + "\n";
    return out;
}

} // namespace peridotwheel
