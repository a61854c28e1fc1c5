#include "peridotwheel/platform/watcher_election.h"

#include "peridotwheel/support/hash.h"

namespace peridotwheel {

bool isWatcher(const member_map &members, const member &self, std::string_view kind,
               std::size_t watchers)
{
    const auto own = rendezvousWeight(kind, self.id.value());
    std::size_t membersAhead = 0;
    for (const auto &[id, m] : members) {
        if (id == self.id || m.state != member_state::Alive || m.dataCentre != self.dataCentre)
            continue;
        const auto weight = rendezvousWeight(kind, id.value());
        if (weight > own || (weight == own && id < self.id))
            ++membersAhead;
    }
    return membersAhead < watchers;
}

} // namespace peridotwheel
