#ifndef PERIDOTWHEEL_LIB_GATEWAY_TEAM_SHARES_H
#define PERIDOTWHEEL_LIB_GATEWAY_TEAM_SHARES_H

#include "peridotwheel/gateway/route.h"
#include "peridotwheel/support/units.h"

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace peridotwheel {

/// Returns the most work of one team that is admitted if the share \p admitted of all \p demands
/// can run and teams share it by max-min fairness: a team that asks for less gets all, and what it
/// leaves goes to those that ask for more.
double fairTeamWork(double admitted, std::vector<double> demands);

/// Divides what admission control grants a rank among the teams that ask for it.
///
/// Answers an overload by one team, of which the others would otherwise pay the same share. It is
/// used only while admission is restricted. The state is bounded: teams beyond `maxTeams`, and
/// queries without a team, count as one team.
class team_shares
{
public:
    static constexpr std::size_t maxTeams = 1000;

    /// Records a query of \p team, which is empty for queries without one, with service time \p
    /// work. Returns the share of such queries to admit if the share \p admitted of the rank can
    /// run.
    double add(class_rank rank, const team_name &team, duration work, double admitted,
               time_point now);
    std::size_t teams() const;
    bool isEmpty() const { return m_ranks.empty(); }
    void clear() { m_ranks.clear(); }

private:
    struct rank_state
    {
        /// Exponentially decayed sums in ms.
        std::map<team_name, double> offered;
        /// Absent until it has been computed.
        std::optional<double> fairWork;
        time_point computedAt{};
    };

    static void update(rank_state &rank, double admitted, time_point now);

    std::map<class_rank, rank_state> m_ranks;
};

} // namespace peridotwheel

#endif
