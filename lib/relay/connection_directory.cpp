#include "peridotwheel/relay/connection_directory.h"

#include <algorithm>

namespace peridotwheel {

connection_directory::connection_directory(const blackboard &board, relay_hooks hooks)
    : m_board(board)
    , m_hooks(std::move(hooks))
{
}

bool connection_directory::refresh()
{
    const std::uint64_t epoch = m_hooks.epoch();
    if (epoch == m_epoch)
        return false;
    m_epoch = epoch;
    m_owns.clear();
    m_owners.clear();
    const server_map &servers = m_board.servers.value();
    m_ownsAll = std::all_of(servers.begin(), servers.end(), [this](const auto &entry) {
        return entry.second.leaving || entry.second.connectionLimit == 0 || owns(entry.first);
    });
    return true;
}

bool connection_directory::owns(const server_id &server)
{
    const auto [it, isNew] = m_owns.try_emplace(server, false);
    if (isNew)
        it->second = m_hooks.ownShare(server) > 0;
    return it->second;
}

const std::vector<instance_id> &connection_directory::owners(const server_id &server)
{
    const auto [it, isNew] = m_owners.try_emplace(server);
    if (isNew)
        it->second = m_hooks.owners(server);
    return it->second;
}

} // namespace peridotwheel
