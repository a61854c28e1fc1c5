#include "peridotwheel/gateway/backend_server.h"

#include <algorithm>

namespace peridotwheel {

namespace {

/// Connect timeout; round trips between regions are some tens of milliseconds.
constexpr duration connectTimeout = milliseconds(500);
/// Exponential backoff after a connection was refused or reset before use. It gives way to other
/// instances, since they share the server's connection limit.
constexpr duration initialConnectBackoff = milliseconds(250);
constexpr duration maxConnectBackoff = seconds(4);
/// A connection that has been open for this long has certainly been accepted: a refusal arrives
/// within a round trip, and round trips are shorter.
constexpr duration acceptedAfter = milliseconds(100);
/// After a server has refused a connection, further ones are used only when a reset would have
/// arrived, for this long; a request that is written before a reset may have run.
constexpr duration refusalMemory = seconds(10);
/// Time that a server takes to reset a connection beyond its limit, beside the round trip.
constexpr duration resetSlack = milliseconds(5);
/// Idle timeout of a server that does not state one; such a server is left to close idle
/// connections itself.
constexpr duration defaultIdleTimeout = std::chrono::hours(1);
/// Idle connections are closed this long before the server would close them, so that no request is
/// sent while the server closes the connection.
constexpr duration idleMargin = seconds(1);
/// Connections beyond the standing ones are closed after this idle time, because all instances
/// together must leave room at the server. While a server is needed, requests come more often.
constexpr duration surplusIdleTimeout = seconds(2);
/// A server whose last connection was idle for this long at its end is not needed at present.
constexpr duration unneededAfter = seconds(5);
/// The limit of a cold server ends with its coldness, of which it or the store informs.
constexpr duration coldLimitLifetime = std::chrono::hours(24);
/// Part of the limit of a cold server that the instances use. At the whole limit, requests that are
/// sent a second apart and travel for different times arrive within one second, which doubles the
/// rate if many instances send in step.
constexpr double usableColdRate = 0.9;
/// A notice of coldness that adds less than this is the end of the present coldness.
constexpr duration minColdExtension = milliseconds(200);
/// A server that was silent for less was probably paused, and has kept its caches.
constexpr duration shortSilence = seconds(1);
/// Multiple of the service time, and an allowance for the scheduling of a process with a small
/// share of a core, above which a reply is a sign of a queue. The usual variation stays below.
constexpr int queueingWorkFactor = 2;
constexpr duration queueingSlack = milliseconds(15);
/// Interval and timeout of the health checks of a suspected server.
constexpr duration checkInterval = milliseconds(300);
constexpr duration checkTimeout = milliseconds(700);

bool isExcluded(const attempt_spec &spec, connection_number number)
{
    const auto &excluded = spec.excludedConnections;
    return std::find(excluded.begin(), excluded.end(), number) != excluded.end();
}

} // namespace

/// A connection to the server and what it is used for.
struct backend_server::slot
{
    std::unique_ptr<client_connection> connection;
    connection_number number;
    backend_attempt_ptr attempt;
    bool isChecking = false;
    bool isOpen = false;
    bool isOnDemand = false;
    bool hasReplied = false;
    time_point startedAt{};
    /// Calls when the connection may be used.
    timer acceptanceTimer;
    time_point openedAt{};
    time_point idleSince{};
    time_point busySince{};
    duration idleTimeout = defaultIdleTimeout;

    bool isIdle() const { return isOpen && !attempt && !isChecking; }
};

backend_server::backend_server(environment env, backend_record record, std::string healthCheckPath,
                               duration assumedRoundTrip)
    : m_env(std::move(env))
    , m_record(std::move(record))
    , m_healthCheckPath(std::move(healthCheckPath))
    , m_health(assumedRoundTrip, m_env.loop.now())
    , m_limit(m_env.limitLifetime)
    , m_coldLimit(coldLimitLifetime)
    , m_coldUntil(m_env.loop.now() + m_record.coldRemaining)
{
}

backend_server::~backend_server() = default;

void backend_server::update(const backend_record &record)
{
    // The entry states the time that was left when it was written, which is out of date when the
    // entry changes for another reason. It also lags behind what the server itself has stated, and
    // does not end a cold time.
    const bool isColdTimeNew = record.coldRemaining != m_record.coldRemaining;
    m_record = record;
    m_isDraining = isDraining();
    if (!isColdTimeNew)
        return;
    const duration left = m_coldUntil - m_env.loop.now();
    setColdFor(std::max(left, record.coldRemaining));
}

void backend_server::setConnectionShare(std::uint32_t maxConnections, std::uint32_t standing,
                                        double onDemand)
{
    m_allowance.setPart(onDemand, m_env.loop.now());
    m_isConnectedOnDemand = maxConnections == 0 && onDemand > 0;
    m_maxConnections = m_isConnectedOnDemand ? 1 : maxConnections;
    m_standingShare = standing;
    updateLimitShare();
}

void backend_server::drain()
{
    const auto self = shared_from_this();
    m_isDraining = true;
    failWaiting();
}

void backend_server::failWaiting()
{
    const auto waiting = std::move(m_waiting);
    m_waiting.clear();
    for (const auto &[key, a] : waiting)
        complete(a, {});
}

void backend_server::setEvacuated(bool isEvacuated)
{
    m_isEvacuated = isEvacuated;
}

void backend_server::setColdLimit(std::optional<request_rate> limit)
{
    m_namedColdLimit = limit;
    updateColdLimit();
}

void backend_server::setColdFor(duration left)
{
    const time_point now = m_env.loop.now();
    if (now >= m_coldUntil && left >= minColdExtension)
        beginPace(server_pace::leastShare);
    m_coldUntil = now + left;
    updateColdLimit();
}

void backend_server::beginPace(double share)
{
    if (!m_env.pacesServers)
        return;
    m_wasPaced = true;
    const bool wasActive = m_pace.isActive();
    m_pace.begin(share, m_health.hint(), m_env.loop.now());
    if (!wasActive && m_env.onPaceChanged)
        m_env.onPaceChanged(*this, true);
}

bool backend_server::isSlow(const backend_attempt &a, time_point now) const
{
    return now - a.sentAt > m_health.roundTrip() + queueingWorkFactor * a.spec.work + queueingSlack;
}

void backend_server::maintainPace(time_point now)
{
    if (!m_pace.isActive())
        return;
    // A reply that waits in a queue comes too late to be its first sign.
    const bool isLate = std::any_of(m_slots.begin(), m_slots.end(), [&](const auto &s) {
        return s->attempt && isSlow(*s->attempt, now);
    });
    if (isLate)
        m_pace.onTrouble(now);
    if (!m_pace.endIfSteady(now))
        return;
    m_health.forgetSlowness();
    if (m_env.onPaceChanged)
        m_env.onPaceChanged(*this, false);
}

void backend_server::updateColdLimit()
{
    const time_point now = m_env.loop.now();
    const bool isLimited = m_namedColdLimit && now < m_coldUntil;
    std::optional<request_rate> used;
    if (isLimited)
        used = request_rate(usableColdRate * m_namedColdLimit->perSecond());
    if (m_coldLimit.onAnswer(used, now))
        m_env.onStateChanged(*this, isLimited ? "server_cold" : "server_cold_ended");
    updateLimitShare();
}

duration backend_server::limitDelay(std::size_t ahead) const
{
    const time_point now = m_env.loop.now();
    return std::max(m_limit.delay(ahead, now), m_coldLimit.delay(ahead, now));
}

bool backend_server::wantsNoRequests() const
{
    return isDraining() || m_isEvacuated || m_env.loop.now() < m_heldOffUntil;
}

void backend_server::failWaitingIfUnwanted()
{
    const auto self = shared_from_this();
    if (wantsNoRequests())
        return failWaiting();
    if (m_waiting.empty() || limitDelay(m_waiting.size() - 1) <= duration::zero())
        return;
    const time_point now = m_env.loop.now();
    std::vector<backend_attempt_ptr> late;
    std::size_t ahead = 0;
    for (auto it = m_waiting.begin(); it != m_waiting.end();) {
        if (now + limitDelay(ahead) < it->second->spec.deadline) {
            ++ahead;
            ++it;
            continue;
        }
        late.push_back(it->second);
        it = m_waiting.erase(it);
    }
    for (const auto &a : late)
        complete(a, {});
}

duration backend_server::availableIn() const
{
    if (m_isEvacuated)
        return server_limit::unavailable;
    const duration heldOff = std::max(m_heldOffUntil - m_env.loop.now(), duration::zero());
    return std::max(heldOff, limitDelay(m_waiting.size()));
}

placement_candidate backend_server::candidate() const
{
    const time_point now = m_env.loop.now();
    placement_candidate c;
    c.health = &m_health;
    c.isUsable = !wantsNoRequests() && m_maxConnections > 0;
    c.isCold = now < m_coldUntil && !m_wasPaced;
    c.hasIdleConnection = idleSlot(false) != nullptr;
    c.canConnect = mayOpen();
    c.recentlyRefused = m_connectBackoff > duration::zero();
    c.openConnections = static_cast<std::size_t>(
            std::count_if(m_slots.begin(), m_slots.end(), [](const auto &s) { return s->isOpen; }));
    c.slots = m_record.slots;
    c.waitingAttempts = m_waiting.size();
    c.sendDelay = limitDelay(m_waiting.size());
    c.isUsable = c.isUsable && c.sendDelay < server_limit::unavailable;
    return c;
}

bool backend_server::isConnected() const
{
    return std::any_of(m_slots.begin(), m_slots.end(), [](const auto &s) { return s->isOpen; });
}

bool backend_server::isBusy() const
{
    return !m_waiting.empty() ||
           std::any_of(m_slots.begin(), m_slots.end(), [](const auto &s) { return !s->isIdle(); });
}

bool backend_server::isProven(const slot &s) const
{
    return s.hasReplied || m_env.loop.now() - s.openedAt >= acceptedAfter;
}

duration backend_server::acceptanceTime() const
{
    if (!m_refusedAt || m_env.loop.now() - *m_refusedAt >= refusalMemory)
        return duration::zero();
    return std::min(m_health.roundTrip() + resetSlack, acceptedAfter);
}

bool backend_server::isAccepted(const slot &s) const
{
    return s.hasReplied || !m_refusedAt || m_env.loop.now() - s.openedAt >= acceptanceTime();
}

backend_server::slot *backend_server::idleSlot(bool proven) const
{
    attempt_spec any;
    any.needsProvenConnection = proven;
    return idleSlot(any);
}

backend_server::slot *backend_server::idleSlot(const attempt_spec &spec) const
{
    slot *best = nullptr;
    for (const auto &s : m_slots) {
        const bool isUnproven = spec.needsProvenConnection ? !isProven(*s) : !isAccepted(*s);
        if (!s->isIdle() || isUnproven || isExcluded(spec, s->number))
            continue;
        // Prefers the most recently used connection, so that surplus ones become stale.
        if (best == nullptr || s->idleSince > best->idleSince)
            best = s.get();
    }
    return best;
}

void backend_server::report(connection_event event) const
{
    if (m_env.onConnectionEvent)
        m_env.onConnectionEvent(event);
}

void backend_server::beginBusyPeriod()
{
    if (!std::exchange(m_isInBusyPeriod, true) && m_env.onBusy)
        m_env.onBusy(*this);
}

bool backend_server::endBusyPeriod()
{
    const bool isChecked = m_health.isSuspect() && !wantsNoRequests();
    m_isInBusyPeriod = isBusy() || isChecked;
    return !m_isInBusyPeriod;
}

backend_server::slot &backend_server::open(connection_event reason)
{
    report(reason);
    beginBusyPeriod();
    m_slots.push_back(std::make_unique<slot>());
    slot &s = *m_slots.back();
    s.number = connection_number(m_nextConnection++);
    s.isOnDemand = m_isConnectedOnDemand;
    s.startedAt = m_env.loop.now();
    s.connection = m_env.connector.open(
            m_record.address, {[this, &s] { onOpen(s); }, [this, &s] { onClosed(s); },
                               [this] { m_env.onStateChanged(*this, "server_reply_skipped"); }});
    return s;
}

void backend_server::makeRoomFor(const attempt_spec &spec)
{
    if (m_slots.size() < m_maxConnections)
        return;
    const auto it = std::find_if(m_slots.begin(), m_slots.end(), [&spec](const auto &s) {
        return s->isIdle() && isExcluded(spec, s->number);
    });
    if (it != m_slots.end())
        remove(**it);
}

bool backend_server::hasRoom() const
{
    return m_slots.size() < m_maxConnections &&
           (!m_isConnectedOnDemand || m_allowance.mayOpen(m_env.loop.now()));
}

bool backend_server::mayOpen() const
{
    return hasRoom() && m_env.loop.now() >= m_connectAfter;
}

void backend_server::openIfNeeded()
{
    if (wantsNoRequests())
        return;
    std::size_t opening = 0;
    for (const auto &s : m_slots)
        opening += s->isOpen && (!s->isIdle() || isAccepted(*s)) ? 0 : 1;
    // Attempts that wait for the server's limit need no connection each.
    std::size_t needed = m_waiting.size();
    if (limitDelay(0) > duration::zero())
        needed = idleSlot(true) != nullptr ? 0 : std::min<std::size_t>(needed, 1);
    while (opening < needed && mayOpen()) {
        open(connection_event::OpenedForAttempt);
        ++opening;
    }
}

void backend_server::onOpen(slot &s)
{
    const time_point now = m_env.loop.now();
    m_health.onConnected(now - s.startedAt);
    s.isOpen = true;
    s.openedAt = now;
    s.idleSince = now;
    if (const duration wait = acceptanceTime(); wait > duration::zero())
        s.acceptanceTimer = m_env.loop.schedule(wait, [this] { dispatch(); });
    dispatch();
}

void backend_server::onClosed(slot &s)
{
    const time_point now = m_env.loop.now();
    // It is normal for a server to close an idle connection that it had accepted.
    const bool wasAccepted = s.isIdle() && now - s.openedAt >= acceptedAfter;
    const bool wasRefused = !s.hasReplied && !wasAccepted;
    report(wasRefused ? connection_event::Refused : connection_event::ClosedByServer);
    if (wasRefused) {
        const bool wasSuspect = m_health.isSuspect();
        backOffConnects();
        if (!s.isOpen && !isConnected())
            m_health.onUnreachable(now);
        reportSuspicionChange(wasSuspect);
    }
    noteEndOfIdle(s);
    remove(s);
    if (m_slots.empty())
        failWaiting();
}

void backend_server::noteEndOfIdle(const slot &s)
{
    if (s.isIdle() && m_waiting.empty() && m_env.loop.now() - s.idleSince >= unneededAfter)
        m_endedUnused = true;
}

void backend_server::backOffConnects()
{
    m_refusedAt = m_env.loop.now();
    m_connectBackoff = std::clamp(m_connectBackoff * 2, initialConnectBackoff, maxConnectBackoff);
    m_connectAfter = m_env.loop.now() + m_connectBackoff;
}

backend_attempt_ptr backend_server::submit(attempt_spec spec)
{
    auto a = std::make_shared<backend_attempt>(std::move(spec));
    a->number = m_nextNumber++;
    m_endedUnused = false;
    beginBusyPeriod();
    m_waiting.emplace(wait_key(a->spec.rank, a->spec.deadline, a->number), a);
    dispatch();
    a->hasWaited = !a->isSent;
    return a;
}

bool backend_server::cancelUnsent(const backend_attempt_ptr &a)
{
    const auto it = m_waiting.find(wait_key(a->spec.rank, a->spec.deadline, a->number));
    if (it == m_waiting.end())
        return false;
    m_waiting.erase(it);
    a->isOver = true;
    a->spec.done = nullptr;
    return true;
}

void backend_server::detach(const backend_attempt_ptr &a)
{
    if (!cancelUnsent(a))
        a->spec.done = nullptr;
}

void backend_server::abort(const backend_attempt_ptr &a)
{
    a->spec.done = nullptr;
    if (cancelUnsent(a) || a->isOver)
        return;
    for (const auto &s : m_slots) {
        if (s->attempt != a)
            continue;
        const bool wasSuspect = m_health.isSuspect();
        a->isOver = true;
        const time_point now = m_env.loop.now();
        const duration tolerance = toleratedSilence(m_health.roundTrip(), a->spec.work);
        m_health.onAbandoned(a->sentAt, tolerance, now);
        if (now - a->sentAt > tolerance)
            m_pace.onTrouble(now);
        reportSuspicionChange(wasSuspect);
        remove(*s);
        return;
    }
}

void backend_server::dispatch()
{
    const time_point now = m_env.loop.now();
    auto it = m_waiting.begin();
    while (it != m_waiting.end()) {
        slot *s = idleSlot(it->second->spec);
        if (s == nullptr) {
            makeRoomFor(it->second->spec);
            ++it;
            continue;
        }
        if (const duration delay = limitDelay(0); delay > duration::zero()) {
            if (delay < server_limit::unavailable)
                m_limitTimer = m_env.loop.schedule(delay, [this] { dispatch(); });
            break;
        }
        m_limit.take(now);
        m_coldLimit.take(now);
        const backend_attempt_ptr a = it->second;
        it = m_waiting.erase(it);
        send(*s, a);
    }
    openIfNeeded();
}

void backend_server::send(slot &s, const backend_attempt_ptr &a)
{
    const time_point now = m_env.loop.now();
    a->isSent = true;
    a->sentAt = now;
    a->connection = s.number;
    s.attempt = a;
    s.busySince = now;
    m_health.onSent(now);
    s.connection->send(
            m_env.dialect.addressTo(*a->spec.request, m_record, a->spec.deadline - now),
            [this, &s, a](http_outcome outcome) { onOutcome(s, a, std::move(outcome)); });
}

void backend_server::onOutcome(slot &s, const backend_attempt_ptr &a, http_outcome outcome)
{
    const auto self = shared_from_this();
    const time_point now = m_env.loop.now();
    attempt_result result;
    if (outcome.ok()) {
        result.end = attempt_end::Reply;
        result.verdict = m_env.dialect.classify(outcome.reply);
        if (const auto idle = m_env.dialect.idleTimeout(outcome.reply))
            s.idleTimeout = *idle;
        if (result.verdict != reply_verdict::WrongServer)
            applyNotice(outcome.reply);
        result.reply = std::move(outcome.reply);
        s.hasReplied = true;
        m_connectBackoff = duration::zero();
    } else if (outcome.failure == transport_failure::MayHaveRun) {
        result.end = attempt_end::MayHaveRun;
        result.probablyRefused = !s.hasReplied && m_env.loop.now() - s.openedAt < acceptedAfter;
        if (result.probablyRefused)
            backOffConnects();
    }
    const bool wasSuspect = m_health.isSuspect();
    recordHealth(*a, result, now);
    reportSuspicionChange(wasSuspect);
    s.attempt = nullptr;
    release(s);
    complete(a, std::move(result));
    failWaitingIfUnwanted();
    dispatch();
}

void backend_server::recordHealth(const backend_attempt &a, const attempt_result &result,
                                  time_point now)
{
    if (result.end == attempt_end::NotSent)
        return m_health.onAbandoned(a.sentAt, duration::max(), now);
    if (result.probablyRefused)
        return m_health.onAbandoned(a.sentAt, duration::max(), now);
    const bool isAnswer =
            result.end == attempt_end::Reply && result.verdict == reply_verdict::Answer;
    if (isAnswer && !isSlow(a, now))
        m_pace.onReplyInTime(now);
    else
        m_pace.onTrouble(now);
    if (result.end == attempt_end::MayHaveRun)
        return m_health.onFailed(a.sentAt, now);
    switch (result.verdict) {
    case reply_verdict::Answer:
        return m_health.onReply(a.sentAt, a.spec.work, now);
    case reply_verdict::NotRun:
        return m_health.onRejected(a.sentAt, now);
    case reply_verdict::WrongServer:
        // The server's entry is out of date; an update from the store will follow.
        m_isDraining = true;
        return m_health.onRejected(a.sentAt, now);
    case reply_verdict::Failure:
    case reply_verdict::NotAnAnswer:
        return m_health.onFailed(a.sentAt, now);
    }
}

void backend_server::complete(const backend_attempt_ptr &a, attempt_result result)
{
    a->isOver = true;
    if (const auto done = std::exchange(a->spec.done, nullptr))
        done(std::move(result));
}

void backend_server::release(slot &s)
{
    s.idleSince = m_env.loop.now();
    const bool isDone = m_isConnectedOnDemand && m_waiting.empty();
    if (!s.connection->open() || m_slots.size() > m_maxConnections || isDone)
        remove(s);
}

void backend_server::remove(slot &s)
{
    const auto it = std::find_if(m_slots.begin(), m_slots.end(),
                                 [&s](const auto &each) { return each.get() == &s; });
    if (it == m_slots.end())
        return;
    if (s.isOnDemand) {
        const time_point now = m_env.loop.now();
        m_allowance.onClosed(now - s.startedAt, now);
    }
    m_slots.erase(it);
}

void backend_server::endOverdueAttempts(time_point now)
{
    std::vector<backend_attempt_ptr> overdue;
    for (const auto &[key, a] : m_waiting) {
        if (now >= a->spec.deadline)
            overdue.push_back(a);
    }
    for (const auto &a : overdue) {
        const auto done = a->spec.done;
        cancelUnsent(a);
        if (done)
            done({});
    }
    overdue.clear();
    for (const auto &s : m_slots) {
        if (s->attempt && now >= s->attempt->spec.deadline)
            overdue.push_back(s->attempt);
    }
    for (const auto &a : overdue) {
        const auto done = a->spec.done;
        abort(a);
        attempt_result result;
        result.end = attempt_end::MayHaveRun;
        if (done)
            done(std::move(result));
    }
}

void backend_server::closeStale(time_point now)
{
    std::vector<slot *> stale;
    std::size_t surplus = m_slots.size() - std::min<std::size_t>(m_standing, m_slots.size());
    for (const auto &s : m_slots) {
        const duration keep =
                s->idleTimeout > 2 * idleMargin ? s->idleTimeout - idleMargin : s->idleTimeout / 2;
        const bool isStale = s->isIdle() && (now - s->idleSince >= keep || isDraining());
        const bool neverOpened = !s->isOpen && now - s->startedAt >= connectTimeout;
        const bool checkTimedOut = s->isChecking && now - s->busySince >= checkTimeout;
        // A suspect server's connection is kept for its health check.
        const bool isDone = m_isConnectedOnDemand && m_waiting.empty() && !m_health.isSuspect();
        const bool isSurplus =
                surplus > 0 && s->isIdle() && (isDone || now - s->idleSince >= surplusIdleTimeout);
        if (isStale || neverOpened || checkTimedOut || isSurplus) {
            stale.push_back(s.get());
            surplus -= std::min<std::size_t>(surplus, 1);
        }
        if (!neverOpened && !checkTimedOut)
            continue;
        const bool wasSuspect = m_health.isSuspect();
        if (checkTimedOut || !isConnected())
            m_health.onUnreachable(now);
        reportSuspicionChange(wasSuspect);
    }
    for (slot *s : stale) {
        report(connection_event::ClosedUnused);
        noteEndOfIdle(*s);
        remove(*s);
    }
}

void backend_server::checkHealth(time_point now)
{
    if (!m_health.isSuspect() || wantsNoRequests() || now < m_nextCheck || m_maxConnections == 0)
        return;
    const bool isUnderWay = std::any_of(m_slots.begin(), m_slots.end(), [this](const auto &s) {
        return s->isChecking || !s->isOpen || (s->isIdle() && !isAccepted(*s));
    });
    if (isUnderWay)
        return;
    m_nextCheck = now + checkInterval;
    slot *s = idleSlot(false);
    if (s == nullptr) {
        if (hasRoom())
            open(connection_event::OpenedForHealthCheck);
        return;
    }
    s->isChecking = true;
    beginBusyPeriod();
    s->busySince = now;
    s->connection->send(m_env.dialect.healthCheck(m_healthCheckPath, m_record),
                        [this, s](const http_outcome &outcome) { onHealthChecked(*s, outcome); });
}

void backend_server::onHealthChecked(slot &s, const http_outcome &outcome)
{
    s.isChecking = false;
    const time_point now = m_env.loop.now();
    const bool wasSuspect = m_health.isSuspect();
    if (outcome.ok() && m_env.dialect.isHealthy(outcome.reply, m_record)) {
        applyNotice(outcome.reply);
        s.hasReplied = true;
        m_health.onHealthy(now);
    }
    reportSuspicionChange(wasSuspect);
    release(s);
    failWaitingIfUnwanted();
    dispatch();
}

void backend_server::reportSuspicionChange(bool wasSuspect)
{
    if (m_health.isSuspect())
        beginBusyPeriod();
    if (wasSuspect == m_health.isSuspect())
        return;
    const time_point now = m_env.loop.now();
    if (!wasSuspect)
        m_suspectSince = now;
    else
        beginPace(now - m_suspectSince < shortSilence ? server_pace::shortAbsenceShare
                                                      : server_pace::leastShare);
    m_env.onStateChanged(*this, wasSuspect ? "server_answers_again" : "server_suspected");
}

void backend_server::applyNotice(const http_reply &reply)
{
    const server_notice notice = m_env.dialect.readNotice(reply);
    if (m_limit.onAnswer(notice.limit, m_env.loop.now()))
        onLimitChanged();
    if (notice.coldRemaining)
        setColdFor(*notice.coldRemaining);
    if (notice.isLeaving && !isDraining()) {
        // Holds until the server's next start, since the entry in the store may lag behind.
        m_isDraining = true;
        m_env.onStateChanged(*this, "server_leaving");
    }
    if (notice.holdOff) {
        const time_point until = m_env.loop.now() + *notice.holdOff;
        const bool isNew = m_heldOffUntil <= m_env.loop.now();
        m_heldOffUntil = std::max(m_heldOffUntil, until);
        if (isNew)
            m_env.onStateChanged(*this, "server_holds_off");
    }
}

void backend_server::onLimitChanged()
{
    updateLimitShare();
    m_env.onStateChanged(*this, limit() ? "server_limited" : "server_limit_ended");
}

void backend_server::updateLimitShare()
{
    const time_point now = m_env.loop.now();
    if (const auto named = limit())
        m_limit.setOwnShare(m_env.ownShareOfLimit(m_record, *named), now);
    if (m_namedColdLimit && m_coldLimit.limit(now))
        m_coldLimit.setOwnShare(m_env.ownShareOfLimit(m_record, *m_namedColdLimit), now);
}

server_samples backend_server::takeSamples()
{
    server_samples samples = m_health.takeSamples();
    samples.limit = m_limit.namedHere(m_env.loop.now());
    return samples;
}

void backend_server::setHint(const server_hint &hint)
{
    const time_point now = m_env.loop.now();
    m_health.setHint(hint, now);
    m_pace.onHint(hint, now);
    if (m_limit.onHint(hint.limit, now))
        onLimitChanged();
}

void backend_server::maintain()
{
    const auto self = shared_from_this();
    const time_point now = m_env.loop.now();
    if (m_coldLimit.limit(now) && now >= m_coldUntil)
        updateColdLimit();
    maintainPace(now);
    endOverdueAttempts(now);
    if (!m_waiting.empty())
        failWaitingIfUnwanted();
    closeStale(now);
    checkHealth(now);
    if (wantsNoRequests() || now < m_connectAfter)
        return;
    const bool isNeeded = m_isOpenedInAdvance || !m_endedUnused;
    if (m_slots.empty() && std::min(m_standing, m_maxConnections) > 0 && isNeeded)
        open(connection_event::OpenedInAdvance);
    dispatch();
}

} // namespace peridotwheel
