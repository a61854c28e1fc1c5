#include "peridotwheel/limits/server_pool.h"

#include <algorithm>

namespace peridotwheel {

namespace {

constexpr duration healthTimeout = milliseconds(500);
/// Interval of health checks on an idle connection, well before servers close it; 30 s is the
/// common idle limit.
constexpr duration idleRefreshInterval = seconds(10);
/// Interval of health checks to a server without other traffic, so that an unresponsive server is
/// detected before a query depends on it. A successful check does not prove that queries succeed.
constexpr duration unusedCheckInterval = seconds(1);
/// Interval of health checks to a busy server, since its health reply may be the only sign that it
/// is leaving. Instances share the sign at once, so that all of a data centre learn of it within 3
/// s even if each checks only this often.
constexpr duration busyCheckInterval = seconds(2);
/// A refusal because of the server's connection limit caps the connections for this long.
/// Membership views that differed have mostly converged by then.
constexpr duration refusalCapTime = seconds(2);
constexpr duration minReconnectDelay = milliseconds(100);
constexpr duration maxReconnectDelay = seconds(2);
/// Bounds the memory of one server's queue; admission control keeps the usual length far below it.
constexpr std::size_t maxWaitingAttempts = 1024;

} // namespace

struct server_pool::pooled_connection
{
    std::unique_ptr<http_connection> connection;
    std::shared_ptr<pool_attempt> attempt;
    time_point lastUsed{};
    bool ready = false;
    /// Carries a health check or a request whose reply is ignored.
    bool carriesAuxiliary = false;

    bool idle() const { return ready && !carriesAuxiliary && !attempt; }
};

server_pool::server_pool(event_loop &loop, http_connector &connector, endpoint to)
    : m_loop(loop)
    , m_connector(connector)
    , m_endpoint(std::move(to))
{
}

server_pool::~server_pool() = default;

void server_pool::setShare(std::uint32_t share)
{
    m_share = share;
    closeSurplus();
    openMissing();
}

std::uint32_t server_pool::allowedConnections() const
{
    if (m_closed)
        return 0;
    // The clock is read only after a refusal, since this function is called for each candidate of
    // each shard.
    if (m_refusalCapUntil != time_point() && m_loop.now() < m_refusalCapUntil)
        return std::min(m_share, m_refusalCap);
    return m_share;
}

void server_pool::close()
{
    m_closed = true;
    closeSurplus();
}

void server_pool::reset()
{
    m_closed = true;
    // Attempts may hold the last reference to the owner of this pool, so they are destroyed last.
    const auto connections = std::move(m_connections);
    const auto waiting = std::move(m_waiting);
    m_connections.clear();
    m_waiting.clear();
}

bool server_pool::unavailable() const
{
    const bool refused =
            m_unreachable || (m_reconnectAfter != time_point() && m_loop.now() < m_reconnectAfter);
    return refused && !connected();
}

std::size_t server_pool::establishedCount() const
{
    return static_cast<std::size_t>(std::count_if(m_connections.begin(), m_connections.end(),
                                                  [](const auto &s) { return s->ready; }));
}

bool server_pool::connected() const
{
    return std::any_of(m_connections.begin(), m_connections.end(),
                       [](const auto &s) { return s->ready; });
}

server_pool::pooled_connection *server_pool::idleConnection() const
{
    // The first idle connection is taken: the work stays on few connections, which the server is
    // the least likely to close, and the search ends early however many there are.
    const auto it = std::find_if(m_connections.begin(), m_connections.end(),
                                 [](const auto &s) { return s->idle(); });
    return it == m_connections.end() ? nullptr : it->get();
}

void server_pool::remove(const pooled_connection &s)
{
    const auto it = std::find_if(m_connections.begin(), m_connections.end(),
                                 [&](const auto &p) { return p.get() == &s; });
    if (it != m_connections.end())
        m_connections.erase(it);
}

void server_pool::closeSurplus()
{
    for (std::size_t i = m_connections.size();
         i-- > 0 && m_connections.size() > allowedConnections();) {
        if (m_connections[i]->idle())
            m_connections.erase(m_connections.begin() + static_cast<std::ptrdiff_t>(i));
    }
}

void server_pool::openMissing()
{
    if (m_loop.now() < m_reconnectAfter)
        return;
    // While the server is unreachable, one connection is enough to detect that it is back.
    const std::size_t wanted =
            m_unreachable ? std::min(allowedConnections(), 1U) : allowedConnections();
    while (m_connections.size() < wanted) {
        m_connections.push_back(std::make_unique<pooled_connection>());
        pooled_connection &s = *m_connections.back();
        s.connection = m_connector.open(m_endpoint);
        checkHealth(s);
    }
}

void server_pool::checkHealth(pooled_connection &s)
{
    s.carriesAuxiliary = true;
    const time_point started = m_loop.now();
    m_lastHealthCheck = started;
    s.connection->send(
            {http_method::Get, "/health", {}, ""}, healthTimeout,
            [this, &s, started](const http_outcome &o) { onHealthOutcome(s, started, o); });
}

void server_pool::onHealthOutcome(pooled_connection &s, time_point started,
                                  const http_outcome &outcome)
{
    s.carriesAuxiliary = false;
    s.lastUsed = m_loop.now();
    if (outcome.ok()) {
        s.ready = true;
        m_unreachable = false;
        m_reconnectDelay = duration::zero();
        // The hook may close the pool, and this connection with it.
        if (onHealthReply)
            onHealthReply(outcome.reply.headers);
        closeSurplus();
        dispatch();
        return;
    }
    const bool wasReady = s.ready;
    remove(s);
    // An idle connection that the server has closed does not indicate its connection limit.
    const bool timedOut = m_loop.now() - started >= healthTimeout;
    if (wasReady) {
        if (timedOut && onUnresponsive)
            onUnresponsive();
        return;
    }
    onOpenFailed(outcome.failure == transport_failure::NotSent || timedOut);
}

void server_pool::onOpenFailed(bool unreachable)
{
    const time_point now = m_loop.now();
    m_reconnectDelay = std::clamp(m_reconnectDelay * 2, minReconnectDelay, maxReconnectDelay);
    m_reconnectAfter = now + m_reconnectDelay;
    if (unreachable) {
        m_unreachable = true;
        if (unavailable())
            returnWaiting();
        return;
    }
    m_refusalCap = std::max<std::uint32_t>(1, static_cast<std::uint32_t>(establishedCount()));
    m_refusalCapUntil = now + refusalCapTime;
    // Without an established connection, waiting attempts are better sent to another server.
    if (!connected())
        returnWaiting();
}

void server_pool::submit(std::shared_ptr<pool_attempt> attempt)
{
    if (m_waiting.size() >= maxWaitingAttempts || m_closed) {
        m_loop.post([attempt = std::move(attempt)] { attempt->onReturned(); });
        return;
    }
    pooled_connection *s =
            m_waiting.empty() && m_inFlight < m_maxInFlight ? idleConnection() : nullptr;
    if (s != nullptr && m_loop.now() < attempt->deadline()) {
        send(*s, attempt);
        return;
    }
    const wait_key key{attempt->rank(), attempt->deadline(), m_sequence++};
    m_waiting.emplace(key, std::move(attempt));
    if (m_connections.size() < allowedConnections())
        openMissing();
}

bool server_pool::healthCheckDue(time_point now) const
{
    return !m_closed && now - m_lastHealthCheck >= busyCheckInterval;
}

void server_pool::dispatch()
{
    // A health check that is due takes the next idle connection, even if attempts wait for it.
    pooled_connection *free = healthCheckDue(m_loop.now()) ? idleConnection() : nullptr;
    if (free != nullptr)
        checkHealth(*free);
    while (!m_waiting.empty() && m_inFlight < m_maxInFlight) {
        pooled_connection *s = idleConnection();
        if (s == nullptr)
            return;
        auto attempt = std::move(m_waiting.begin()->second);
        m_waiting.erase(m_waiting.begin());
        if (m_loop.now() >= attempt->deadline()) {
            attempt->onReturned();
            continue;
        }
        send(*s, attempt);
    }
}

void server_pool::send(pooled_connection &s, const std::shared_ptr<pool_attempt> &attempt)
{
    const time_point now = m_loop.now();
    ++m_inFlight;
    s.attempt = attempt;
    s.lastUsed = now;
    m_lastUsed = now;
    attempt->onSent(now);
    s.connection->send(attempt->buildRequest(now), attempt->timeout(now),
                       [this, &s](http_outcome o) { onOutcome(s, std::move(o)); });
}

void server_pool::onOutcome(pooled_connection &s, http_outcome outcome)
{
    --m_inFlight;
    const auto attempt = std::move(s.attempt);
    s.attempt = nullptr;
    s.lastUsed = m_loop.now();
    if (!outcome.ok())
        remove(s);
    // The reply may be the first sign that the server is leaving, so it is handled before the next
    // attempt is sent.
    attempt->onOutcome(std::move(outcome));
    dispatch();
    closeSurplus();
}

bool server_pool::withdraw(const pool_attempt &attempt)
{
    for (auto it = m_waiting.begin(); it != m_waiting.end(); ++it) {
        if (it->second.get() != &attempt)
            continue;
        m_waiting.erase(it);
        return true;
    }
    return false;
}

bool server_pool::abort(const pool_attempt &attempt)
{
    for (const auto &s : m_connections) {
        if (s->attempt.get() != &attempt)
            continue;
        --m_inFlight;
        remove(*s);
        return true;
    }
    return false;
}

std::vector<std::shared_ptr<pool_attempt>> server_pool::inFlightAttempts() const
{
    std::vector<std::shared_ptr<pool_attempt>> attempts;
    for (const auto &s : m_connections) {
        if (s->attempt)
            attempts.push_back(s->attempt);
    }
    return attempts;
}

void server_pool::returnWaiting()
{
    std::map<wait_key, std::shared_ptr<pool_attempt>> waiting;
    waiting.swap(m_waiting);
    for (auto &entry : waiting)
        entry.second->onReturned();
}

bool server_pool::sendIgnoringReply(const http_request &request, duration timeout)
{
    pooled_connection *s = m_closed ? nullptr : idleConnection();
    if (s == nullptr)
        return false;
    s->carriesAuxiliary = true;
    s->connection->send(request, timeout, [this, s](const http_outcome &o) {
        s->carriesAuxiliary = false;
        s->lastUsed = m_loop.now();
        if (!o.ok())
            remove(*s);
        dispatch();
    });
    return true;
}

void server_pool::returnExpired()
{
    const time_point now = m_loop.now();
    std::vector<std::shared_ptr<pool_attempt>> expired;
    for (auto it = m_waiting.begin(); it != m_waiting.end();) {
        if (now < it->second->deadline()) {
            ++it;
            continue;
        }
        expired.push_back(std::move(it->second));
        it = m_waiting.erase(it);
    }
    for (const auto &attempt : expired)
        attempt->onReturned();
}

void server_pool::maintain()
{
    const time_point now = m_loop.now();
    returnExpired();
    closeSurplus();
    openMissing();
    refreshIdle(now);
    dispatch();
}

void server_pool::refreshIdle(time_point now)
{
    for (const auto &s : m_connections) {
        if (s->idle() && now - s->lastUsed >= idleRefreshInterval)
            checkHealth(*s);
    }
    pooled_connection *s = idleConnection();
    const bool unused = now - m_lastUsed >= unusedCheckInterval &&
                        now - m_lastHealthCheck >= unusedCheckInterval;
    if (s != nullptr && (unused || healthCheckDue(now)))
        checkHealth(*s);
}

} // namespace peridotwheel
