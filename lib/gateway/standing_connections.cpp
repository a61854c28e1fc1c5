#include "standing_connections.h"

#include <algorithm>
#include <utility>

namespace peridotwheel {

std::uint32_t standingConnections(std::uint32_t usable)
{
    return usable / 2;
}

std::vector<bool> chooseStanding(const std::vector<standing_candidate> &candidates)
{
    std::vector<bool> chosen(candidates.size());
    bool any = false;
    std::size_t quickest = candidates.size();
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const standing_candidate &c = candidates[i];
        if (!c.isUsable)
            continue;
        chosen[i] = c.hasShare && !c.estimate.likelyUnresponsive;
        any = any || chosen[i];
        const auto badness = [](const placement &p) {
            return std::pair(p.likelyUnresponsive, p.expectedTime);
        };
        if (quickest == candidates.size() ||
            badness(c.estimate) < badness(candidates[quickest].estimate))
            quickest = i;
    }
    if (!any && quickest < candidates.size())
        chosen[quickest] = true;
    return chosen;
}

} // namespace peridotwheel
