#ifndef PERIDOTWHEEL_PLATFORM_WATCHER_ELECTION_H
#define PERIDOTWHEEL_PLATFORM_WATCHER_ELECTION_H

#include "peridotwheel/membership/member.h"

#include <cstddef>
#include <string_view>

namespace peridotwheel {

/// Two, so that after the loss of one watcher a change is delayed only until the other pushes it.
constexpr std::size_t watchersPerDataCentre = 2;

/// Returns true if \p self is among the \p watchers live members of its data centre with the
/// highest rendezvous weights for \p kind, which watch objects of that kind. Instances with
/// different views of the membership may elect a few more, which only costs additional reads.
bool isWatcher(const member_map &members, const member &self, std::string_view kind,
               std::size_t watchers = watchersPerDataCentre);

} // namespace peridotwheel

#endif
