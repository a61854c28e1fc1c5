#include "standing_connections.h"

#include "peridotwheel/gateway/connection_allowance.h"

#include <algorithm>
#include <utility>

namespace peridotwheel {

namespace {

/// An attempt and its second attempt find open connections.
constexpr std::size_t connectionsInAdvance = 2;
/// Fraction of the connections that instances without a share use on demand.
constexpr double onDemandFraction = 0.25;

bool isQuicker(const standing_candidate &a, const standing_candidate &b)
{
    const auto badness = [](const placement &p) {
        return std::pair(p.likelyUnresponsive, p.expectedTime);
    };
    return badness(a.estimate) < badness(b.estimate);
}

} // namespace

std::uint32_t standingConnections(std::uint32_t usable)
{
    return usable / 2;
}

connection_division divideConnections(std::uint32_t usable, std::size_t instances)
{
    connection_division division;
    division.shared = usable;
    division.standing = standingConnections(usable);
    const auto onDemand = static_cast<std::uint32_t>(onDemandFraction * usable);
    const double part = static_cast<double>(onDemand) / static_cast<double>(instances);
    if (instances > usable && connection_allowance::isEnough(part)) {
        division.shared -= onDemand;
        division.onDemandPart = part;
    }
    return division;
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
        if (quickest == candidates.size() || isQuicker(c, candidates[quickest]))
            quickest = i;
    }
    if (!any && quickest < candidates.size())
        chosen[quickest] = true;
    return chosen;
}

std::vector<bool> openedInAdvance(const std::vector<standing_candidate> &candidates,
                                  const std::vector<bool> &chosen)
{
    std::vector<std::size_t> order;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (chosen[i])
            order.push_back(i);
    }
    const std::size_t count = std::min(order.size(), connectionsInAdvance);
    std::partial_sort(
            order.begin(), order.begin() + static_cast<std::ptrdiff_t>(count), order.end(),
            [&](std::size_t a, std::size_t b) { return isQuicker(candidates[a], candidates[b]); });
    std::vector<bool> opened(candidates.size());
    for (std::size_t i = 0; i < count; ++i)
        opened[order[i]] = true;
    return opened;
}

} // namespace peridotwheel
