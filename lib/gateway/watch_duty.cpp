#include "watch_duty.h"

#include "peridotwheel/platform/watcher_election.h"

namespace peridotwheel {

namespace {

/// Both kinds are watched by the same instances, so that one answer to a peer carries both.
constexpr const char *watchedKind = "view";
/// One more instance of each data centre watches for each such time of a view beyond its age.
constexpr duration recruitInterval = seconds(1);
/// A new instance that nobody tells anything calls the store itself after this time.
constexpr duration aloneAfter = milliseconds(1200);

} // namespace

bool shouldWatch(const watch_duty_input &input)
{
    if (!input.knowsMembers)
        return input.viewAge >= aloneAfter;
    std::size_t watchers = watchersPerDataCentre;
    if (input.viewAge > input.staleAfter)
        watchers += 1 + static_cast<std::size_t>((input.viewAge - input.staleAfter) /
                                                 recruitInterval);
    return isWatcher(input.members, input.self, watchedKind, watchers);
}

std::vector<member> watchersOf(const member_map &members, const data_centre_id &dataCentre)
{
    std::vector<member> out;
    for (const auto &[id, m] : members) {
        if (m.dataCentre == dataCentre && isWatcher(members, m, watchedKind))
            out.push_back(m);
    }
    return out;
}

} // namespace peridotwheel
