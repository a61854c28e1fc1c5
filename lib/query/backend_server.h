#ifndef PERIDOTWHEEL_LIB_QUERY_BACKEND_SERVER_H
#define PERIDOTWHEEL_LIB_QUERY_BACKEND_SERVER_H

#include "peridotwheel/limits/concurrency_limiter.h"
#include "peridotwheel/limits/server_pool.h"
#include "peridotwheel/membership/member.h"
#include "peridotwheel/routing/latency_distribution.h"
#include "peridotwheel/routing/server_stats.h"

#include <cstdint>

namespace peridotwheel {

/// Latency statistics over all servers of one service.
struct service_stats
{
    latency_distribution latency;
    double averageUs = 0;
    /// Average latency without overload: follows the average down at once and up slowly.
    double floorUs = 0;
    /// Queries that wait for a reply of this service.
    std::uint32_t waitingQueries = 0;
    /// Lowest latency floor among the servers of the service; bounds the tolerated queueing.
    duration nearestFloor{};

    void add(duration sample);
    /// Lets the floor rise towards the average. Called about ten times a second.
    void raiseFloor();
    double slowdown() const { return floorUs > 0 ? averageUs / floorUs : 1.0; }
};

/// State of the engine for one run of a backend server. A new start id makes a new object.
struct backend_server
{
    backend_server(event_loop &loop, http_connector &connector, server_record r,
                   service_stats &stats, duration prior);

    /// Returns whether the server may get new work.
    bool eligible() const
    {
        return !leaving && !pool.unavailable() && pool.allowedConnections() > 0;
    }
    /// Returns whether the server has sent only few replies since it was first seen with its start
    /// id.
    bool cold() const;
    std::uint32_t limit() const;
    /// Time without a reply, while attempts are in flight, after which the server becomes suspect.
    duration silenceTimeout(time_point now) const;
    /// Applies the share of connections to the pool and the limiter, and the limit of the latter to
    /// the pool.
    void applyConnectionShare(std::uint32_t share);
    /// Marks the server as leaving, stops opening connections and returns the waiting attempts.
    /// Attempts in flight continue.
    void startDraining();

    server_record record;
    service_stats &service;
    server_stats stats;
    concurrency_limiter limiter;
    server_pool pool;
    bool leaving = false;
    /// Scratch data of a scatter: the id of the last one that used this server, and the index of
    /// this server's attempt in it.
    std::uint64_t lastScatterId = 0;
    std::size_t scatterAttemptIndex = 0;
};

} // namespace peridotwheel

#endif
