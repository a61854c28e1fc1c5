#ifndef PERIDOTWHEEL_LIB_GATEWAY_STANDING_CONNECTIONS_H
#define PERIDOTWHEEL_LIB_GATEWAY_STANDING_CONNECTIONS_H

#include "peridotwheel/gateway/placement.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace peridotwheel {

/// Connections to one server that all instances together keep open without need, out of \p usable
/// ones.
///
/// Answers the load after a loss of power of all instances: the server counts their former
/// connections for seconds on, and the instances open as many beside them.
std::uint32_t standingConnections(std::uint32_t usable);

struct standing_candidate
{
    /// The server takes requests, and a connection is open or may be opened now.
    bool isUsable = false;
    /// This instance has a share of the server's standing connections.
    bool hasShare = false;
    placement estimate;
};

/// Chooses the servers of a service that an instance keeps connections to: those with a share that
/// probably answer, or else the quickest one.
std::vector<bool> chooseStanding(const std::vector<standing_candidate> &candidates);

} // namespace peridotwheel

#endif
