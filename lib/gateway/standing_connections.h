#ifndef PERIDOTWHEEL_LIB_GATEWAY_STANDING_CONNECTIONS_H
#define PERIDOTWHEEL_LIB_GATEWAY_STANDING_CONNECTIONS_H

#include "peridotwheel/gateway/placement.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace peridotwheel {

/// Returns the number of standing connections to one server, that is, connections that all
/// instances together keep open without a request, out of \p usable ones.
///
/// Leaves room for a restart of all instances after a loss of power: the server counts their former
/// connections for some seconds more, and the instances open as many new ones beside them.
std::uint32_t standingConnections(std::uint32_t usable);

/// How the usable connections of one server are divided among instances.
struct connection_division
{
    /// Connections dealt as shares.
    std::uint32_t shared = 0;
    /// Of these, the ones that may be kept open without a request.
    std::uint32_t standing = 0;
    /// Connections that each instance without a share may open on demand, on average.
    double onDemandPart = 0;
};

/// Divides \p usable connections among \p instances instances. If these are more than the
/// connections, some connections are used on demand: an instance that could never reach a server
/// would have none left for a second attempt while the others of the shard are in trouble. If the
/// part of an instance is never enough for an attempt, all connections are dealt as shares.
connection_division divideConnections(std::uint32_t usable, std::size_t instances);

/// A server to which an instance may keep a standing connection.
struct standing_candidate
{
    /// Whether the server accepts requests, and a connection is open or may be opened now.
    bool isUsable = false;
    /// Whether this instance has a share of the server's standing connections.
    bool hasShare = false;
    placement estimate;
};

/// Chooses the servers of a service to which an instance keeps standing connections: those with a
/// share that are not likely unresponsive or, if there are none, the quickest usable one.
std::vector<bool> chooseStanding(const std::vector<standing_candidate> &candidates);

/// Returns the index of the quickest of the servers in \p chosen, to which a connection is always
/// kept open, or the number of candidates if none is chosen. The others are connected as long as
/// they are used, since a large fleet would open connections all the time that servers close
/// unused.
std::vector<bool> openedInAdvance(const std::vector<standing_candidate> &candidates,
                                  const std::vector<bool> &chosen);

} // namespace peridotwheel

#endif
