#include "metrics_text.h"

#include "peridotwheel/counters/counter_set.h"
#include "peridotwheel/support/log_value.h"

namespace peridotwheel {

std::string metricsText(const counter_set &counters,
                        const std::vector<std::pair<team_name, team_count>> &teams)
{
    std::string out;
    for (const auto &[name, c] : counters.all())
        out += name + " " + std::to_string(c.value()) + "\n";
    for (const auto &[name, count] : teams) {
        const std::string prefix = "team." + logValue(name.value());
        out += prefix + ".offered " + std::to_string(count.offered) + "\n";
        out += prefix + ".admitted " + std::to_string(count.admitted) + "\n";
        out += prefix + ".refused " + std::to_string(count.refused) + "\n";
    }
    return out;
}

} // namespace peridotwheel
