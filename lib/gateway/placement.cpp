#include "peridotwheel/gateway/placement.h"

#include "peridotwheel/gateway/server_health.h"

#include <algorithm>
#include <utility>

namespace peridotwheel {

namespace {

/// Tolerated multiple of the service time. It varies between requests; three times the mean is
/// rare.
constexpr int toleratedWorkFactor = 3;
/// Allowance for scheduling delays of a process with a small share of a core.
constexpr duration schedulingSlack = milliseconds(15);
/// Servers pause for about 200 ms now and then. A server that has been silent for less than two
/// pauses is expected to resume; one that is silent for longer has probably failed.
constexpr duration typicalPause = milliseconds(200);
constexpr duration longestPause = milliseconds(400);
/// Added for a server that is likely unresponsive, so that any other server is preferred.
constexpr duration unresponsivePenalty = seconds(10);
/// Cost of a failed attempt: its own time and that of the retry; in practice about this much.
constexpr duration failureCost = milliseconds(150);
/// Added before a connection attempt to a server that recently refused one, since it will probably
/// refuse again.
constexpr duration refusalCost = milliseconds(60);
/// Difference of expected times, in addition to the service time, that overrides the pace of a
/// server. It exceeds the round trip to another region and is well below the targets of requests,
/// so that no attempt waits for servers with queues while a deferred one is free.
constexpr duration paceAdvantage = milliseconds(50);
/// Round trips that differ by less than this and a part of the service time make no difference next
/// to the variation of the service time.
constexpr duration equalRoundTrip = milliseconds(1);
constexpr int equalWorkDivisor = 4;
/// Multiple of the service time on a server that has just started.
constexpr double coldWorkFactor = 1.6;

/// Returns the expected wait for a connection if none is idle.
duration connectionWait(const placement_candidate &candidate, duration served)
{
    if (candidate.canConnect && candidate.waitingAttempts == 0)
        return candidate.health->roundTrip() +
               (candidate.recentlyRefused ? refusalCost : duration::zero());
    const double each = static_cast<double>(candidate.waitingAttempts + 1) /
                        static_cast<double>(std::max<std::size_t>(candidate.openConnections, 1));
    return scaled(served, each);
}

} // namespace

bool isReachable(const placement_candidate &candidate)
{
    return candidate.hasIdleConnection || candidate.canConnect || candidate.openConnections > 0;
}

duration toleratedSilence(duration roundTrip, duration work)
{
    return roundTrip + toleratedWorkFactor * work + schedulingSlack;
}

placement estimatePlacement(const placement_candidate &candidate, duration work, time_point now)
{
    const server_health &health = *candidate.health;
    const duration served =
            scaled(work, health.slowness(now) * (candidate.isCold ? coldWorkFactor : 1.0));
    placement p;
    p.sendDelay = candidate.sendDelay;
    p.serviceTime = served;
    p.expectedTime = candidate.sendDelay + health.roundTrip() + served;
    const std::uint32_t slots = std::max<std::uint32_t>(candidate.slots, 1);
    // The outstanding requests of this instance alone occupy all slots of the server.
    if (health.outstanding() >= slots)
        p.expectedTime +=
                scaled(served, static_cast<double>(health.outstanding() + 1 - slots) / slots);
    if (!candidate.hasIdleConnection)
        p.expectedTime += connectionWait(candidate, served);
    p.expectedTime += scaled(failureCost, health.errorRate(now));
    const duration silent = health.silentFor(now);
    const duration tolerance = toleratedSilence(health.roundTrip(), served);
    p.likelyUnresponsive = health.isSuspect() || silent > longestPause + tolerance;
    if (p.likelyUnresponsive)
        p.expectedTime += unresponsivePenalty;
    else if (silent > tolerance)
        p.expectedTime += typicalPause;
    return p;
}

placement_choice chooseServers(const std::vector<placement_candidate> &candidates, duration work,
                               time_point now)
{
    placement_choice choice;
    // The advantages are given to the best choice only. That of an invited server includes its
    // slowness, of which it would not be known without requests whether it has ended.
    duration bestRank{};
    std::optional<placement> quickest;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const placement_candidate &candidate = candidates[i];
        if (!candidate.isUsable || !isReachable(candidate))
            continue;
        placement p = estimatePlacement(candidate, work, now);
        p.index = i;
        duration rank = p.expectedTime;
        if (candidate.isDeferred)
            rank += paceAdvantage + work;
        else if (candidate.isInvited)
            rank -= paceAdvantage + scaled(work, std::max(candidate.health->slowness(now), 1.0));
        if (!quickest || p.expectedTime < quickest->expectedTime)
            quickest = p;
        const bool isBest = !choice.best || rank < bestRank;
        std::optional<placement> other = p;
        if (isBest) {
            bestRank = rank;
            other = std::exchange(choice.best, p);
        }
        if (other &&
            (!choice.alternative || other->expectedTime < choice.alternative->expectedTime))
            choice.alternative = other;
    }
    choice.wasDeferred = choice.best && candidates[quickest->index].isDeferred &&
                         quickest->index != choice.best->index;
    return choice;
}

double usualShare(const std::vector<placement_candidate> &candidates, std::size_t index,
                  duration work)
{
    const duration roundTrip = candidates[index].health->roundTrip();
    const duration tolerance = equalRoundTrip + work / equalWorkDivisor;
    unsigned equal = 1;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const placement_candidate &other = candidates[i];
        if (i == index || !other.isUsable || !isReachable(other) || other.health->isSuspect())
            continue;
        if (other.health->roundTrip() + tolerance < roundTrip)
            return 0;
        equal += other.health->roundTrip() <= roundTrip + tolerance ? 1 : 0;
    }
    return 1.0 / equal;
}

std::optional<placement> chooseServer(const std::vector<placement_candidate> &candidates,
                                      duration work, time_point now)
{
    return chooseServers(candidates, work, now).best;
}

} // namespace peridotwheel
