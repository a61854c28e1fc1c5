#ifndef PERIDOTWHEEL_LIMITS_SERVER_POOL_H
#define PERIDOTWHEEL_LIMITS_SERVER_POOL_H

#include "peridotwheel/http/http_connection.h"
#include "peridotwheel/support/event_loop.h"
#include "peridotwheel/support/ids.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <tuple>
#include <vector>

namespace peridotwheel {

/// One request to one server. It is either sent on a connection or returned unsent.
class pool_attempt
{
public:
    pool_attempt() = default;
    pool_attempt(const pool_attempt &) = delete;
    pool_attempt &operator=(const pool_attempt &) = delete;
    virtual ~pool_attempt() = default;

    virtual class_rank rank() const = 0;
    /// Returns the time from which the attempt is no longer sent.
    virtual time_point deadline() const = 0;
    /// Builds the request. Called right before sending, so that headers can state the remaining
    /// time.
    virtual http_request buildRequest(time_point now) = 0;
    virtual duration timeout(time_point now) const = 0;
    /// Called once per request sent.
    virtual void onSent(time_point now) = 0;
    virtual void onOutcome(http_outcome outcome) = 0;
    /// Called when the attempt is returned unsent. It will not be sent later.
    virtual void onReturned() = 0;
};

/// The connections of this instance to one server.
///
/// Attempts are sent only on connections that have answered `GET /health`: a server at its
/// connection limit may accept a connection before it refuses it, and an attempt on such a
/// connection could not be distinguished from one that ran.
class server_pool
{
public:
    server_pool(event_loop &loop, http_connector &connector, endpoint to);
    server_pool(const server_pool &) = delete;
    server_pool &operator=(const server_pool &) = delete;
    ~server_pool();

    /// Called when an established connection did not answer a health check in time.
    std::function<void()> onUnresponsive;
    /// Called with the headers of each health reply, which may announce that the server is leaving.
    std::function<void(const http_headers &)> onHealthReply;

    /// Sets the number of connections allowed. Surplus connections are closed once they are idle.
    void setShare(std::uint32_t share);
    /// Sets the number of attempts allowed in flight.
    void setMaxInFlight(std::uint32_t limit) { m_maxInFlight = limit; }
    /// Stops opening connections and closes those that are idle.
    void close();

    /// Drops all connections and attempts without calling any callback.
    void reset();

    /// Sends \p attempt at once if a connection is idle and the limit allows it. Otherwise queues
    /// it by rank, then deadline; if the queue is full or the pool is closed, returns it unsent.
    void submit(std::shared_ptr<pool_attempt> attempt);
    /// Removes a waiting attempt without calling it back. Returns false if it is not waiting.
    bool withdraw(const pool_attempt &attempt);
    /// Closes the connection that carries \p attempt without calling it back. Returns false if
    /// there is none.
    bool abort(const pool_attempt &attempt);
    /// Returns all waiting attempts unsent.
    void returnWaiting();
    std::vector<std::shared_ptr<pool_attempt>> inFlightAttempts() const;
    /// Sends \p request on an idle connection and ignores the reply. Returns false if none is idle.
    bool sendIgnoringReply(const http_request &request, duration timeout);
    /// Opens missing connections, checks the health of idle ones and returns expired attempts.
    void maintain();
    /// Sends waiting attempts as far as the limits allow.
    void dispatch();

    std::size_t waiting() const { return m_waiting.size(); }
    std::size_t establishedCount() const;
    /// Returns true if any connection is established.
    bool connected() const;
    bool hasIdle() const { return idleConnection() != nullptr; }
    /// Returns the number of connections that may be open at present: the share, or less after the
    /// server refused a connection.
    std::uint32_t allowedConnections() const;
    /// Returns true if the server was recently unreachable or refused a connection, and no
    /// connection is established.
    bool unavailable() const;

private:
    struct pooled_connection;
    using wait_key = std::tuple<class_rank, time_point, std::uint64_t>;

    pooled_connection *idleConnection() const;
    void openMissing();
    void checkHealth(pooled_connection &s);
    void onHealthOutcome(pooled_connection &s, time_point started, const http_outcome &outcome);
    void onOpenFailed(bool unreachable);
    void send(pooled_connection &s, const std::shared_ptr<pool_attempt> &attempt);
    void onOutcome(pooled_connection &s, http_outcome outcome);
    void remove(const pooled_connection &s);
    void closeSurplus();
    void refreshIdle(time_point now);
    bool healthCheckDue(time_point now) const;
    void returnExpired();

    event_loop &m_loop;
    http_connector &m_connector;
    endpoint m_endpoint;
    std::vector<std::unique_ptr<pooled_connection>> m_connections;
    std::map<wait_key, std::shared_ptr<pool_attempt>> m_waiting;
    std::uint64_t m_sequence = 0;
    std::uint32_t m_share = 0;
    std::uint32_t m_maxInFlight = 1;
    std::uint32_t m_inFlight = 0;
    std::uint32_t m_refusalCap = 0;
    time_point m_refusalCapUntil{};
    time_point m_reconnectAfter{};
    duration m_reconnectDelay{};
    time_point m_lastUsed{};
    time_point m_lastHealthCheck{};
    bool m_unreachable = false;
    bool m_closed = false;
};

} // namespace peridotwheel

#endif
