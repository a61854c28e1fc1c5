#include "peridotwheel/limits/server_pool.h"

#include <algorithm>

namespace peridotwheel {

namespace {

constexpr duration healthTimeout = milliseconds(500);
/// Idle connections are refreshed well before servers close them; 30 s is the common idle limit.
constexpr duration refreshAfter = seconds(10);
/// A server without other traffic is asked for its health this often, so that its silence is known
/// before a query depends on it. An answer proves nothing.
constexpr duration checkUnusedAfter = seconds(1);
/// A busy server is asked this often as well, since its health may be the only sign that it is
/// leaving. The news spreads at once, so that the instances of a data centre find out within 3 s of
/// the sign even if each asks only this often.
constexpr duration checkBusyAfter = seconds(2);
/// A refusal by the connection limit lowers the share for this long: views that differ have then
/// mostly converged.
constexpr duration refusedHold = seconds(2);
constexpr duration firstOpenDelay = milliseconds(100);
constexpr duration longestOpenDelay = seconds(2);
/// Bounds the memory of one server's queue; admission keeps the usual length far below.
constexpr std::size_t maxWaiting = 1024;

} // namespace

struct server_pool::slot
{
    std::unique_ptr<http_connection> connection;
    std::shared_ptr<pool_attempt> attempt;
    time_point lastUsed{};
    bool ready = false;
    /// Carries a health check or a request whose reply is ignored.
    bool aside = false;

    bool idle() const { return ready && !aside && !attempt; }
};

server_pool::server_pool(event_loop &loop, http_connector &connector, endpoint to)
    : m_loop(loop)
    , m_connector(connector)
    , m_to(std::move(to))
{
}

server_pool::~server_pool() = default;

void server_pool::setShare(std::uint32_t share)
{
    m_share = share;
    trim();
    openMissing();
}

std::uint32_t server_pool::allowed() const
{
    if (m_closed)
        return 0;
    // The clock is read only after a refusal: this is asked for each candidate of each shard.
    if (m_refusedUntil != time_point() && m_loop.now() < m_refusedUntil)
        return std::min(m_share, m_refusedCap);
    return m_share;
}

void server_pool::close()
{
    m_closed = true;
    trim();
}

void server_pool::reset()
{
    m_closed = true;
    // Attempts may hold the last reference to the owner of this pool, so that they go last.
    const auto slots = std::move(m_slots);
    const auto waiting = std::move(m_waiting);
    m_slots.clear();
    m_waiting.clear();
}

bool server_pool::down() const
{
    const bool refused = m_down || (m_openAfter != time_point() && m_loop.now() < m_openAfter);
    return refused && !connected();
}

std::size_t server_pool::established() const
{
    return static_cast<std::size_t>(
            std::count_if(m_slots.begin(), m_slots.end(), [](const auto &s) { return s->ready; }));
}

bool server_pool::connected() const
{
    return std::any_of(m_slots.begin(), m_slots.end(), [](const auto &s) { return s->ready; });
}

server_pool::slot *server_pool::idleSlot() const
{
    // The first idle one: work stays on few connections, which the server is the least likely to
    // close, and the search ends early however many there are.
    const auto it =
            std::find_if(m_slots.begin(), m_slots.end(), [](const auto &s) { return s->idle(); });
    return it == m_slots.end() ? nullptr : it->get();
}

void server_pool::remove(const slot &s)
{
    const auto it = std::find_if(m_slots.begin(), m_slots.end(),
                                 [&](const auto &p) { return p.get() == &s; });
    if (it != m_slots.end())
        m_slots.erase(it);
}

void server_pool::trim()
{
    for (std::size_t i = m_slots.size(); i-- > 0 && m_slots.size() > allowed();) {
        if (m_slots[i]->idle())
            m_slots.erase(m_slots.begin() + static_cast<std::ptrdiff_t>(i));
    }
}

void server_pool::openMissing()
{
    if (m_loop.now() < m_openAfter)
        return;
    // While the server is unreachable one connection is enough to find out that it is back.
    const std::size_t wanted = m_down ? std::min(allowed(), 1U) : allowed();
    while (m_slots.size() < wanted) {
        m_slots.push_back(std::make_unique<slot>());
        slot &s = *m_slots.back();
        s.connection = m_connector.open(m_to);
        checkHealth(s);
    }
}

void server_pool::checkHealth(slot &s)
{
    s.aside = true;
    const time_point started = m_loop.now();
    m_lastHealth = started;
    s.connection->send({http_method::Get, "/health", {}, ""}, healthTimeout,
                       [this, &s, started](const http_outcome &o) { onHealth(s, started, o); });
}

void server_pool::onHealth(slot &s, time_point started, const http_outcome &outcome)
{
    s.aside = false;
    s.lastUsed = m_loop.now();
    if (outcome.ok()) {
        s.ready = true;
        m_down = false;
        m_openDelay = duration::zero();
        // The hook may close the pool, and this connection with it.
        if (onHealthReply)
            onHealthReply(outcome.reply.headers);
        trim();
        dispatch();
        return;
    }
    const bool wasReady = s.ready;
    remove(s);
    // An idle connection that the server has closed says nothing about limits.
    const bool silent = m_loop.now() - started >= healthTimeout;
    if (wasReady) {
        if (silent && onUnresponsive)
            onUnresponsive();
        return;
    }
    onRefused(outcome.failure == transport_failure::NotSent || silent);
}

void server_pool::onRefused(bool unreachable)
{
    const time_point now = m_loop.now();
    m_openDelay = std::clamp(m_openDelay * 2, firstOpenDelay, longestOpenDelay);
    m_openAfter = now + m_openDelay;
    if (unreachable) {
        m_down = true;
        if (down())
            returnWaiting();
        return;
    }
    m_refusedCap = std::max<std::uint32_t>(1, static_cast<std::uint32_t>(established()));
    m_refusedUntil = now + refusedHold;
    // Attempts that no connection will carry soon are better sent elsewhere.
    if (!connected())
        returnWaiting();
}

void server_pool::submit(std::shared_ptr<pool_attempt> attempt)
{
    if (m_waiting.size() >= maxWaiting || m_closed) {
        m_loop.post([attempt = std::move(attempt)] { attempt->onReturned(); });
        return;
    }
    slot *s = m_waiting.empty() && m_inFlight < m_limit ? idleSlot() : nullptr;
    if (s != nullptr && m_loop.now() < attempt->deadline()) {
        send(*s, attempt);
        return;
    }
    const wait_key key{attempt->rank(), attempt->deadline(), m_sequence++};
    m_waiting.emplace(key, std::move(attempt));
    if (m_slots.size() < allowed())
        openMissing();
}

bool server_pool::healthDue(time_point now) const
{
    return !m_closed && now - m_lastHealth >= checkBusyAfter;
}

void server_pool::dispatch()
{
    // The next free connection carries a check that is due, even if attempts wait for it.
    slot *free = healthDue(m_loop.now()) ? idleSlot() : nullptr;
    if (free != nullptr)
        checkHealth(*free);
    while (!m_waiting.empty() && m_inFlight < m_limit) {
        slot *s = idleSlot();
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

void server_pool::send(slot &s, const std::shared_ptr<pool_attempt> &attempt)
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

void server_pool::onOutcome(slot &s, http_outcome outcome)
{
    --m_inFlight;
    const auto attempt = std::move(s.attempt);
    s.attempt = nullptr;
    s.lastUsed = m_loop.now();
    if (!outcome.ok())
        remove(s);
    // The reply may be the first sign that the server is leaving, so it is looked at before the
    // next attempt goes out.
    attempt->onOutcome(std::move(outcome));
    dispatch();
    trim();
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
    for (const auto &s : m_slots) {
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
    for (const auto &s : m_slots) {
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

bool server_pool::sendAside(const http_request &request, duration timeout)
{
    slot *s = m_closed ? nullptr : idleSlot();
    if (s == nullptr)
        return false;
    s->aside = true;
    s->connection->send(request, timeout, [this, s](const http_outcome &o) {
        s->aside = false;
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
    trim();
    openMissing();
    refreshIdle(now);
    dispatch();
}

void server_pool::refreshIdle(time_point now)
{
    for (const auto &s : m_slots) {
        if (s->idle() && now - s->lastUsed >= refreshAfter)
            checkHealth(*s);
    }
    slot *s = idleSlot();
    const bool unused =
            now - m_lastUsed >= checkUnusedAfter && now - m_lastHealth >= checkUnusedAfter;
    if (s != nullptr && (unused || healthDue(now)))
        checkHealth(*s);
}

} // namespace peridotwheel
