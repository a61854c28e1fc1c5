#include "team_shares.h"

#include <algorithm>
#include <cmath>

namespace peridotwheel {

namespace {

/// Time in which the sums of offered work decay to 1 / e. An instance sees some teams only about
/// once a second, so shorter sums would follow chance and not demand.
constexpr duration decayTime = seconds(2);
/// Interval between computations of the fair work, which takes time in proportion to the number of
/// teams.
constexpr duration updateInterval = milliseconds(40);
/// Teams with less offered work than this, in ms, are dropped.
constexpr double idleWork = 0.01;

double decayOver(duration passed)
{
    return std::exp(-std::max(toMilliseconds(passed), 0.0) / toMilliseconds(decayTime));
}

} // namespace

double fairTeamWork(double admitted, std::vector<double> demands)
{
    std::sort(demands.begin(), demands.end());
    double left = 0;
    for (const double d : demands)
        left += admitted * d;
    std::size_t unserved = demands.size();
    for (const double d : demands) {
        const double even = left / static_cast<double>(unserved);
        if (d > even)
            return even;
        left -= d;
        --unserved;
    }
    return demands.empty() ? 0 : demands.back();
}

void team_shares::update(rank_state &rank, double admitted, time_point now)
{
    const double kept = decayOver(now - rank.computedAt);
    std::vector<double> demands;
    demands.reserve(rank.offered.size());
    for (auto it = rank.offered.begin(); it != rank.offered.end();) {
        it->second *= kept;
        if (it->second < idleWork) {
            it = rank.offered.erase(it);
            continue;
        }
        demands.push_back(it->second);
        ++it;
    }
    rank.computedAt = now;
    rank.fairWork.reset();
    if (demands.size() > 1)
        rank.fairWork = fairTeamWork(admitted, std::move(demands));
}

double team_shares::add(class_rank rank, const team_name &team, duration work, double admitted,
                        time_point now)
{
    rank_state &state = m_ranks[rank];
    if (now - state.computedAt >= updateInterval)
        update(state, admitted, now);
    auto it = state.offered.find(team);
    if (it == state.offered.end()) {
        const bool isFull = teams() >= maxTeams;
        it = state.offered.emplace(isFull ? team_name() : team, 0).first;
    }
    // Without the query itself, which would raise the demand of a team that asks seldom.
    const double wanted = it->second;
    it->second += toMilliseconds(work);
    if (!state.fairWork || admitted >= 1)
        return admitted;
    return wanted > *state.fairWork ? *state.fairWork / wanted : 1;
}

std::size_t team_shares::teams() const
{
    std::size_t count = 0;
    for (const auto &[rank, state] : m_ranks)
        count += state.offered.size();
    return count;
}

} // namespace peridotwheel
