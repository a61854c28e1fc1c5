#ifndef PERIDOTWHEEL_GATEWAY_PLACEMENT_H
#define PERIDOTWHEEL_GATEWAY_PLACEMENT_H

#include "peridotwheel/support/units.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace peridotwheel {

class server_health;

/// One server that could get the next attempt.
struct placement_candidate
{
    const server_health *health = nullptr;
    /// False for servers that are leaving, were tried already, or are excluded otherwise.
    bool isUsable = true;
    /// Still slow after its start.
    bool isCold = false;
    /// A connection is free now.
    bool hasIdleConnection = true;
    /// A further connection may be opened.
    bool canConnect = true;
    /// The server has refused a connection lately and accepted none since.
    bool recentlyRefused = false;
    /// Connections that are open, idle or not.
    std::size_t openConnections = 1;
    std::uint32_t slots = 1;
    /// Attempts that wait here for a connection to the server.
    std::size_t waitingAttempts = 0;
};

struct placement
{
    std::size_t index = 0;
    /// Expected time until the reply.
    duration expectedTime{};
    /// The server has been silent for longer than pauses last, or is suspect: an attempt there
    /// probably gets no answer.
    bool likelyUnresponsive = false;
};

/// Silence that is normal for a server at \p roundTrip whose work takes \p work: work in excess of
/// the usual by chance, and the pause of a busy process.
duration toleratedSilence(duration roundTrip, duration work);

/// Whether an attempt could get a connection at all.
bool isReachable(const placement_candidate &candidate);

/// Expected time until the reply of one candidate, for work that takes \p work on a usual server.
placement estimatePlacement(const placement_candidate &candidate, duration work, time_point now);

/// The candidate with the least expected time. A doubtful one is chosen only if all usable ones
/// are; nothing if none is usable.
///
/// Answers the load of single requests that must all be quick: servers that pause, turn slow, fall
/// silent, fail part of their requests, or are far away.
std::optional<placement> chooseServer(const std::vector<placement_candidate> &candidates,
                                      duration work, time_point now);

} // namespace peridotwheel

#endif
