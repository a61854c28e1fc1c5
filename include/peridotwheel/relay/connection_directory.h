#ifndef PERIDOTWHEEL_RELAY_CONNECTION_DIRECTORY_H
#define PERIDOTWHEEL_RELAY_CONNECTION_DIRECTORY_H

#include "peridotwheel/state/blackboard.h"

#include <cstdint>
#include <functional>
#include <unordered_map>
#include <vector>

namespace peridotwheel {

/// What the relay asks the local engine about connections to servers.
struct relay_hooks
{
    /// Connections that this instance may hold.
    std::function<std::uint32_t(const server_id &)> ownShare;
    /// Whether this instance may send new work and does not suspect the server.
    std::function<bool(const server_id &)> usable;
    /// Instances that may hold connections, by the same function as the shares.
    std::function<std::vector<instance_id>(const server_id &)> owners;
    /// Rises when shares or owners may have changed.
    std::function<std::uint64_t()> epoch;
};

/// Who holds connections to which server, by this instance's view. Entries are computed when first
/// asked for, since each costs a hash per instance.
class connection_directory
{
public:
    connection_directory(const blackboard &board, relay_hooks hooks);

    /// Forgets entries of an earlier view; true if there was a change.
    bool refresh();
    /// Whether this instance may connect to every server that is not leaving.
    bool ownsAll() const { return m_ownsAll; }
    bool owns(const server_id &server);
    bool usable(const server_id &server) const { return m_hooks.usable(server); }
    const std::vector<instance_id> &owners(const server_id &server);

private:
    const blackboard &m_board;
    relay_hooks m_hooks;
    std::uint64_t m_epoch = 0;
    bool m_ownsAll = true;
    std::unordered_map<server_id, bool> m_owns;
    std::unordered_map<server_id, std::vector<instance_id>> m_owners;
};

} // namespace peridotwheel

#endif
