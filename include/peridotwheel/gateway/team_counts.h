#ifndef PERIDOTWHEEL_GATEWAY_TEAM_COUNTS_H
#define PERIDOTWHEEL_GATEWAY_TEAM_COUNTS_H

#include "peridotwheel/gateway/route.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace peridotwheel {

struct team_count
{
    /// Requests on a route, with a key of the team.
    std::uint64_t offered = 0;
    /// Requests that admission control let through.
    std::uint64_t admitted = 0;
    /// Requests that this instance answered itself and that did not run.
    std::uint64_t refused = 0;
};

/// Counts the requests of each team since it was first seen. Requests without a team, given as
/// null, are not counted.
class team_counts
{
public:
    void addOffered(const team_ptr &team);
    void addAdmitted(const team_ptr &team);
    void addRefused(const team_ptr &team);
    /// Drops teams that the configuration does not contain any more, which bounds the state.
    void keepOnly(const std::vector<team_ptr> &teams);
    /// Returns at most \p most teams, those with the most offered requests first.
    std::vector<std::pair<team_name, team_count>> busiest(std::size_t most) const;

private:
    team_count *find(const team_ptr &team);

    std::map<team_name, team_count> m_counts;
};

} // namespace peridotwheel

#endif
