#ifndef PERIDOTWHEEL_ROUTING_SERVER_SELECTOR_H
#define PERIDOTWHEEL_ROUTING_SERVER_SELECTOR_H

#include "peridotwheel/support/units.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace peridotwheel {

class server_stats;

enum class selection_policy {
    LeastExpectedWait,
    RoundRobin, ///< Baseline of the measurements: ignores the server statistics.
};

/// One replica that could serve a group of shards.
struct selection_candidate
{
    const server_stats *stats = nullptr;
    /// Attempts that this instance may have in flight to the server.
    std::uint32_t limit = 1;
    /// Attempts waiting for a connection.
    std::uint32_t waiting = 0;
    /// False for servers that are leaving, unreachable or excluded from this choice.
    bool usable = true;
    /// No connection is established yet.
    bool unconnected = false;
    /// An attempt of the same scatter already goes to the server and can carry these shards as
    /// well.
    bool inScatter = false;
    /// The server has replied little since its start, so its caches may be empty.
    bool cold = false;
};

/// Chooses a server for each group of shards by the least expected wait.
class server_selector
{
public:
    explicit server_selector(selection_policy policy)
        : m_policy(policy)
    {
    }

    /// Returns the index of the best candidate, or nothing if none is usable. With
    /// `LeastExpectedWait`, a suspect server is chosen only if all usable ones are suspect.
    std::optional<std::size_t> choose(const std::vector<selection_candidate> &candidates,
                                      time_point now);
    /// Returns the expected time until a reply.
    static double expectedWaitUs(const selection_candidate &candidate, time_point now);

private:
    std::optional<std::size_t> chooseRoundRobin(const std::vector<selection_candidate> &candidates);

    selection_policy m_policy;
    std::size_t m_nextIndex = 0;
};

} // namespace peridotwheel

#endif
