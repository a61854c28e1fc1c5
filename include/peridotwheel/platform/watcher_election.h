#ifndef PERIDOTWHEEL_PLATFORM_WATCHER_ELECTION_H
#define PERIDOTWHEEL_PLATFORM_WATCHER_ELECTION_H

#include "peridotwheel/membership/member.h"

#include <cstddef>
#include <string_view>

namespace peridotwheel {

/// Two, so that the loss of one watcher delays a change by no more than a push from the other.
constexpr std::size_t watchersPerDataCentre = 2;

/// Whether \p self watches objects of \p kind for its data centre: the live members with the
/// highest rendezvous weights do. Views that differ elect a few more, which costs only reads.
bool isWatcher(const member_map &members, const member &self, std::string_view kind,
               std::size_t watchers = watchersPerDataCentre);

} // namespace peridotwheel

#endif
