#include "peridotwheel/routing/server_selector.h"

#include "peridotwheel/routing/server_stats.h"

#include <algorithm>

namespace peridotwheel {

namespace {

/// Share of the latency that each attempt in flight adds to the wait. It is below 1 because servers
/// process several attempts at once.
constexpr double loadFactorPerAttempt = 0.25;
/// Weight of the error rate, in latencies: a failed attempt costs the time of a second one on
/// another server and a token of the retry budget.
constexpr double errorCostFactor = 10.0;
constexpr double connectCostUs = 10'000;
/// Ranks suspect servers behind all others.
constexpr double suspectCostUs = 1e9;
/// A second attempt to a cold server costs this many latencies, so that the server gets about one
/// at a time.
constexpr double coldCostFactor = 3.0;

} // namespace

double server_selector::expectedWaitUs(const selection_candidate &candidate, time_point now)
{
    const server_stats &stats = *candidate.stats;
    const double latency = static_cast<double>(stats.expectedLatency(now).count());
    const double inFlight = stats.inFlight();
    const double limit = std::max(candidate.limit, 1U);
    const double ahead = inFlight + candidate.waiting + 1 - limit;
    double wait = latency * (1 + loadFactorPerAttempt * inFlight);
    if (ahead > 0)
        wait += latency * ahead / limit;
    wait += latency * errorCostFactor * stats.errorRate(now);
    if (candidate.unconnected)
        wait += connectCostUs;
    if (candidate.cold && inFlight + candidate.waiting > 0)
        wait += latency * coldCostFactor;
    if (stats.suspect())
        wait += suspectCostUs * (1 + inFlight + candidate.waiting);
    // Shards that join another attempt of the scatter need no connection and take little time.
    return candidate.inScatter ? wait * 0.5 : wait;
}

std::optional<std::size_t>
server_selector::choose(const std::vector<selection_candidate> &candidates, time_point now)
{
    if (m_policy == selection_policy::RoundRobin)
        return chooseRoundRobin(candidates);
    std::optional<std::size_t> best;
    double bestWait = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (!candidates[i].usable)
            continue;
        const double wait = expectedWaitUs(candidates[i], now);
        if (best && wait >= bestWait)
            continue;
        best = i;
        bestWait = wait;
    }
    return best;
}

std::optional<std::size_t>
server_selector::chooseRoundRobin(const std::vector<selection_candidate> &candidates)
{
    ++m_nextIndex;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const std::size_t index = (m_nextIndex + i) % candidates.size();
        if (candidates[index].usable)
            return index;
    }
    return std::nullopt;
}

} // namespace peridotwheel
