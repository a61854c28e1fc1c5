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
    RoundRobin, ///< Baseline of the measurements: ignores everything that was measured.
};

/// One replica that could serve a group of shards.
struct selection_candidate
{
    const server_stats *stats = nullptr;
    /// Attempts that the server may have at once from this instance.
    std::uint32_t limit = 1;
    /// Attempts waiting for a connection.
    std::uint32_t waiting = 0;
    /// False for servers that are leaving, unreachable or excluded by the caller.
    bool usable = true;
    /// No connection is open yet.
    bool unconnected = false;
    /// An attempt of the same scatter goes to the server already, so this one travels along.
    bool inScatter = false;
    /// Few replies since its start: caches may be empty.
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

    /// Index of the best candidate, or nothing if none is usable. A suspect server is chosen only
    /// if all usable ones are.
    std::optional<std::size_t> choose(const std::vector<selection_candidate> &candidates,
                                      time_point now);
    /// Expected time until a reply, in microseconds.
    static double expectedWaitUs(const selection_candidate &candidate, time_point now);

private:
    std::optional<std::size_t> chooseRoundRobin(const std::vector<selection_candidate> &candidates);

    selection_policy m_policy;
    std::size_t m_nextIndex = 0;
};

} // namespace peridotwheel

#endif
