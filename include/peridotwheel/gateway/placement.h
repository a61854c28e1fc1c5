#ifndef PERIDOTWHEEL_GATEWAY_PLACEMENT_H
#define PERIDOTWHEEL_GATEWAY_PLACEMENT_H

#include "peridotwheel/support/units.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace peridotwheel {

class server_health;

/// A server that is considered for the next attempt.
struct placement_candidate
{
    const server_health *health = nullptr;
    /// False for servers that are draining, were already tried, or are excluded otherwise.
    bool isUsable = true;
    /// Whether the server was started recently and is still slow.
    bool isCold = false;
    /// Whether the server's pace leaves the attempt to other servers, or claims it for the server,
    /// if these are about as quick.
    bool isDeferred = false;
    bool isInvited = false;
    /// Whether an idle connection is available now.
    bool hasIdleConnection = true;
    /// Whether another connection may be opened now.
    bool canConnect = true;
    /// Whether the server has refused a connection and has not replied on any connection since.
    bool recentlyRefused = false;
    /// Number of open connections, idle or not.
    std::size_t openConnections = 1;
    /// Requests that the server runs concurrently.
    std::uint32_t slots = 1;
    /// Attempts of this instance that wait for a connection to the server.
    std::size_t waitingAttempts = 0;
    /// Time until the server's limit allows another request.
    duration sendDelay{};
};

/// A server chosen from a list of candidates, with its estimate.
struct placement
{
    std::size_t index = 0;
    /// Expected time until the reply, penalties included.
    duration expectedTime{};
    /// The part of it for which the server works on the request.
    duration serviceTime{};
    /// The part of it until the server's limit allows the request.
    duration sendDelay{};
    /// Whether the server is suspect, or has been silent for longer than its pauses last. An
    /// attempt there probably gets no answer.
    bool likelyUnresponsive = false;
};

/// The best server for an attempt, and the best of the others for a second one.
struct placement_choice
{
    std::optional<placement> best;
    std::optional<placement> alternative;
    /// Whether `best` was preferred to a quicker server because that one is deferred.
    bool wasDeferred = false;
};

/// Returns how long a server with \p roundTrip and service time \p work may be silent in normal
/// operation. Allows for random variation of the work and for scheduling delays of a busy process.
duration toleratedSilence(duration roundTrip, duration work);

/// Returns whether an attempt can get a connection now or after waiting for one that is open.
bool isReachable(const placement_candidate &candidate);

/// Estimates the time until the reply of one candidate, for an attempt with service time \p work on
/// a typical server. The index in the result is not set.
placement estimatePlacement(const placement_candidate &candidate, duration work, time_point now);

/// Returns the usable and reachable candidates with the least and the next expected time. A likely
/// unresponsive server is in effect chosen only if all of them are. A deferred server is the best
/// choice only if every other one takes notably longer, and an invited one unless another one is
/// notably quicker. Both may be the alternative as any other server.
///
/// Keeps the latency of each request low although servers may pause, slow down, stop answering,
/// fail part of their requests, or be far away.
placement_choice chooseServers(const std::vector<placement_candidate> &candidates, duration work,
                               time_point now);

/// Returns the share of the first attempts that the server at \p index gets if all servers are
/// equally quick: an equal part if it is among the nearest ones of those that answer, otherwise 0.
double usualShare(const std::vector<placement_candidate> &candidates, std::size_t index,
                  duration work);

/// Returns the best choice of `chooseServers`.
std::optional<placement> chooseServer(const std::vector<placement_candidate> &candidates,
                                      duration work, time_point now);

} // namespace peridotwheel

#endif
