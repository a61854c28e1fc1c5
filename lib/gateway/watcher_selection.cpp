#include "watcher_selection.h"

#include "peridotwheel/platform/watcher_election.h"

#include <algorithm>
#include <set>

namespace peridotwheel {

namespace {

/// The configuration and the servers are watched by the same instances, so that one reply to a peer
/// carries both.
constexpr const char *watchedKind = "view";
/// A stale view adds one watcher in each data centre, and another one for each such interval beyond
/// the stale age.
constexpr duration extraWatcherInterval = seconds(1);
/// Watchers over all data centres together, but at least one in each. There are several, so that
/// lost answers and rejections of the store rarely affect all of them at once.
constexpr std::size_t totalWatchers = 6;
/// An instance without a list of members watches the store itself once its view is this old, since
/// no peer has supplied one.
constexpr duration noPeerTimeout = milliseconds(2500);

std::size_t watchersPerDataCentreOf(const member_map &members)
{
    std::set<data_centre_id> dataCentres;
    for (const auto &[id, m] : members)
        dataCentres.insert(m.dataCentre);
    const std::size_t count = std::max<std::size_t>(dataCentres.size(), 1);
    return std::clamp<std::size_t>(totalWatchers / count, 1, watchersPerDataCentre);
}

} // namespace

bool shouldWatch(const watcher_selection_input &input)
{
    if (!input.hasMembers)
        return input.viewAge >= noPeerTimeout;
    std::size_t watchers = watchersPerDataCentreOf(input.members);
    if (input.viewAge > input.staleAge)
        watchers += 1 + static_cast<std::size_t>((input.viewAge - input.staleAge) /
                                                 extraWatcherInterval);
    return isWatcher(input.members, input.self, watchedKind, watchers);
}

std::vector<member> watchersOf(const member_map &members, const data_centre_id &dataCentre)
{
    std::vector<member> out;
    const std::size_t watchers = watchersPerDataCentreOf(members);
    for (const auto &[id, m] : members) {
        if (m.dataCentre == dataCentre && isWatcher(members, m, watchedKind, watchers))
            out.push_back(m);
    }
    return out;
}

} // namespace peridotwheel
