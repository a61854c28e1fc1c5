#ifndef PERIDOTWHEEL_LIB_GATEWAY_WATCHER_SELECTION_H
#define PERIDOTWHEEL_LIB_GATEWAY_WATCHER_SELECTION_H

#include "peridotwheel/membership/member.h"

#include <vector>

namespace peridotwheel {

/// Inputs to the decision whether an instance watches the store itself.
struct watcher_selection_input
{
    const member_map &members;
    const member &self;
    /// Whether the list of members has been received, from the store or from another instance.
    bool hasMembers = false;
    duration sinceStart{};
    /// Age of this instance's view, whether read from the store here or by another instance.
    duration viewAge{};
    /// Age of the view above which the present watchers do not suffice.
    duration staleAge{};
};

/// Returns whether this instance watches the store; otherwise it requests the view from one that
/// does.
///
/// Every change wakes each watcher and costs a call to the store, so only a few instances of each
/// data centre watch on behalf of the others. If the view becomes stale because the watchers failed
/// or the store rejects their calls, the next instances by rank start to watch one after the other.
/// While no instance can reach the store, this keeps most of them from calling it.
bool shouldWatch(const watcher_selection_input &input);

/// Returns the members that watch on behalf of \p dataCentre while the view is not stale.
std::vector<member> watchersOf(const member_map &members, const data_centre_id &dataCentre);

} // namespace peridotwheel

#endif
