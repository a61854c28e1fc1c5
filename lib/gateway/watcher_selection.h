#ifndef PERIDOTWHEEL_LIB_GATEWAY_WATCHER_SELECTION_H
#define PERIDOTWHEEL_LIB_GATEWAY_WATCHER_SELECTION_H

#include "peridotwheel/membership/member.h"

#include <vector>

namespace peridotwheel {

/// What an instance knows when it decides whether to watch the store itself.
struct watcher_selection_input
{
    const member_map &members;
    const member &self;
    /// Whether the members have been read from the store at least once.
    bool hasMembers = false;
    duration sinceStart{};
    /// Age of this instance's view of the store, its own or another instance's.
    duration viewAge{};
    /// Age beyond which the present watchers do not suffice.
    duration staleAge{};
};

/// Whether this instance watches the store, or asks an instance that does.
///
/// Answers the load of watches: every change wakes each watcher and costs a call, so that a few
/// instances of each data centre watch for the others. If the view grows old, because the watchers
/// are gone or turned away by the store, the next instances by rank join one after the other. While
/// the store is away for everybody, this keeps most instances from calling it.
bool shouldWatch(const watcher_selection_input &input);

/// The members that watch for \p dataCentre while all is well.
std::vector<member> watchersOf(const member_map &members, const data_centre_id &dataCentre);

} // namespace peridotwheel

#endif
