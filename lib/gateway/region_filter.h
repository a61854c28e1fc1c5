#ifndef PERIDOTWHEEL_LIB_GATEWAY_REGION_FILTER_H
#define PERIDOTWHEEL_LIB_GATEWAY_REGION_FILTER_H

#include "peridotwheel/gateway/route.h"

#include <map>
#include <optional>
#include <set>

namespace peridotwheel {

/// The data centres whose servers may run a request, by the home regions of its route and its team.
class region_filter
{
public:
    /// \p team may be null. A data centre that \p regions does not contain is in no home region.
    region_filter(const route &r, const team_spec *team,
                  const std::map<data_centre_id, region_id> &regions)
    {
        const home_regions none;
        const home_regions &teamHomes = team != nullptr ? team->homes : none;
        if (r.homes.empty() && teamHomes.empty())
            return;
        m_allowed.emplace();
        for (const auto &[dataCentre, region] : regions) {
            if (contains(r.homes, region) && contains(teamHomes, region))
                m_allowed->insert(dataCentre);
        }
    }

    bool allows(const data_centre_id &dataCentre) const
    {
        return !m_allowed || m_allowed->count(dataCentre) != 0;
    }

private:
    static bool contains(const home_regions &homes, const region_id &region)
    {
        return homes.empty() || homes.count(region) != 0;
    }

    /// Absent if all data centres are allowed.
    std::optional<std::set<data_centre_id>> m_allowed;
};

} // namespace peridotwheel

#endif
