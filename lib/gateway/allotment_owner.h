#ifndef PERIDOTWHEEL_LIB_GATEWAY_ALLOTMENT_OWNER_H
#define PERIDOTWHEEL_LIB_GATEWAY_ALLOTMENT_OWNER_H

#include "allotment_bucket.h"

#include <map>
#include <optional>
#include <vector>

namespace peridotwheel {

/// A message of an instance to the owner of some teams.
struct allotment_request
{
    allotment_sender sender;
    std::vector<allotment_report> reports;
};

struct allotment_reply
{
    std::vector<allotment_grant> grants;
};

/// The buckets of all teams that this instance owns.
class allotment_owner
{
public:
    /// Replaces the set of owned teams. A team that was not owned before starts without tokens for
    /// a burst, since its earlier owner may have granted one just before.
    void setTeams(const std::map<team_name, allotment_bounds> &owned, time_point now);
    allotment_reply handle(const allotment_request &request, time_point now);
    /// Returns null if the team is not owned.
    allotment_bucket *find(const team_name &team);
    bool isEmpty() const { return m_buckets.empty(); }

private:
    std::map<team_name, allotment_bucket> m_buckets;
};

} // namespace peridotwheel

#endif
