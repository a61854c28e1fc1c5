#ifndef PERIDOTWHEEL_LIB_QUERY_BACKEND_SERVER_H
#define PERIDOTWHEEL_LIB_QUERY_BACKEND_SERVER_H

#include "peridotwheel/limits/concurrency_limiter.h"
#include "peridotwheel/limits/server_pool.h"
#include "peridotwheel/membership/member.h"
#include "peridotwheel/routing/latency_distribution.h"
#include "peridotwheel/routing/server_stats.h"

#include <cstdint>

namespace peridotwheel {

/// Latencies of all servers of one service.
struct service_stats
{
    latency_distribution latency;
    double average = 0; ///< Microseconds.
    /// The average in good times; rises slowly.
    double floor = 0;
    /// Queries that wait for an answer of this service.
    std::uint32_t waiting = 0;
    /// Lowest floor among the servers, for the tolerated queueing.
    duration nearest{};

    void add(duration sample);
    /// Called about ten times a second.
    void raiseFloor();
    double slowdown() const { return floor > 0 ? average / floor : 1.0; }
};

/// All that the engine keeps for one run of a backend server. A new start id makes a new object.
struct backend_server
{
    backend_server(event_loop &loop, http_connector &connector, server_record r,
                   service_stats &stats, duration prior);

    /// Whether the server may get new work.
    bool eligible() const
    {
        return !leaving && !pool.unavailable() && pool.allowedConnections() > 0;
    }
    bool cold() const;
    std::uint32_t limit() const;
    /// No reply for this long, with attempts outstanding, makes the server suspect.
    duration patience(time_point now) const;
    /// Adapts pool and limiter to the share and to the limiter's state.
    void applyShare(std::uint32_t share);
    void stopWork();

    server_record record;
    service_stats &service;
    server_stats stats;
    concurrency_limiter limiter;
    server_pool pool;
    bool leaving = false;
    /// Scratch of the scatter in progress: its number and the index of the attempt in it.
    std::uint64_t scatterMark = 0;
    std::size_t scatterIndex = 0;
};

} // namespace peridotwheel

#endif
