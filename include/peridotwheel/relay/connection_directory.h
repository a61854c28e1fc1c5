#ifndef PERIDOTWHEEL_RELAY_CONNECTION_DIRECTORY_H
#define PERIDOTWHEEL_RELAY_CONNECTION_DIRECTORY_H

#include "peridotwheel/state/blackboard.h"

#include <cstdint>
#include <functional>
#include <unordered_map>
#include <vector>

namespace peridotwheel {

/// Callbacks through which the relay queries the local engine for the connections to servers.
struct relay_hooks
{
    /// Returns the number of connections that this instance may hold to the server.
    std::function<std::uint32_t(const server_id &)> ownShare;
    /// Returns whether this instance may send new work to the server and does not suspect it.
    std::function<bool(const server_id &)> usable;
    /// Returns the instances that may hold connections to the server, computed by the same function
    /// as the shares.
    std::function<std::vector<instance_id>(const server_id &)> owners;
    /// Returns a number that increases whenever shares or owners may have changed.
    std::function<std::uint64_t()> epoch;
};

/// The instances that may hold connections to each server, by this instance's view of the fleet.
/// Entries are computed on first use and cached, since each costs a hash per instance.
class connection_directory
{
public:
    connection_directory(const blackboard &board, relay_hooks hooks);

    /// Clears the cache if shares or owners may have changed, and returns whether that was so.
    bool refresh();
    /// Returns whether this instance may connect to every server that is not leaving and has a
    /// connection limit above 0.
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
