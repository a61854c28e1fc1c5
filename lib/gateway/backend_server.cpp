#include "peridotwheel/gateway/backend_server.h"

#include <algorithm>

namespace peridotwheel {

namespace {

/// A connection that takes longer than this to open is given up: round trips between regions are
/// some tens of milliseconds.
constexpr duration connectTimeout = milliseconds(500);
/// Pause after a connection was refused or reset before use, doubled each time up to the second
/// value: the server's limit is shared with other instances.
constexpr duration firstOpenPause = milliseconds(250);
constexpr duration maxOpenPause = seconds(4);
/// A connection that has been open for this long was accepted for certain: a refusal arrives within
/// a round trip, and round trips are shorter.
constexpr duration provingTime = milliseconds(100);
/// A server that does not state its idle time is left to close connections itself.
constexpr duration assumedIdleTime = std::chrono::hours(1);
/// Connections are given up this long before the server would close them, so that no request
/// crosses the close.
constexpr duration idleMargin = seconds(1);
/// Connections beyond the standing ones are closed after this time without use. Requests come more
/// often while a server is needed; all instances together must leave room at the server.
constexpr duration surplusTime = seconds(2);
/// Suspects are checked this often, and a check that takes longer than the second value has failed.
constexpr duration checkInterval = milliseconds(300);
constexpr duration checkTimeout = milliseconds(700);

} // namespace

struct backend_server::slot
{
    std::unique_ptr<client_connection> connection;
    backend_attempt_ptr attempt;
    bool checking = false;
    bool isOpen = false;
    bool hasReplied = false;
    time_point startedAt{};
    time_point openedAt{};
    time_point idleSince{};
    time_point busySince{};
    duration idleTime = assumedIdleTime;

    bool idle() const { return isOpen && !attempt && !checking; }
};

backend_server::backend_server(environment env, backend_record record, std::string healthCheckPath,
                               duration assumedDistance)
    : m_env(std::move(env))
    , m_record(std::move(record))
    , m_healthCheckPath(std::move(healthCheckPath))
    , m_health(assumedDistance, m_env.loop.now())
    , m_coldUntil(m_env.loop.now() + m_record.coldRemaining)
{
}

backend_server::~backend_server() = default;

void backend_server::update(const backend_record &record)
{
    m_record = record;
    m_coldUntil = m_env.loop.now() + record.coldRemaining;
    if (isLeaving())
        leave();
}

void backend_server::leave()
{
    const auto self = shared_from_this();
    m_leaving = true;
    returnWaiting();
}

void backend_server::returnWaiting()
{
    const auto waiting = std::move(m_waiting);
    m_waiting.clear();
    for (const auto &[key, a] : waiting)
        finish(a, {});
}

placement_candidate backend_server::candidate() const
{
    const time_point now = m_env.loop.now();
    placement_candidate c;
    c.health = &m_health;
    c.usable = !isLeaving() && m_most > 0;
    c.cold = now < m_coldUntil;
    c.idleConnection = idleSlot(false) != nullptr;
    c.canConnect = m_slots.size() < m_most && now >= m_openAfter;
    c.refusedLately = m_openPause > duration::zero();
    c.openConnections = static_cast<std::size_t>(
            std::count_if(m_slots.begin(), m_slots.end(), [](const auto &s) { return s->isOpen; }));
    c.slots = m_record.slots;
    c.waiting = m_waiting.size();
    return c;
}

bool backend_server::isConnected() const
{
    return std::any_of(m_slots.begin(), m_slots.end(), [](const auto &s) { return s->isOpen; });
}

bool backend_server::isBusy() const
{
    return !m_waiting.empty() ||
           std::any_of(m_slots.begin(), m_slots.end(), [](const auto &s) { return !s->idle(); });
}

backend_server::slot *backend_server::idleSlot(bool proven) const
{
    const time_point now = m_env.loop.now();
    slot *best = nullptr;
    for (const auto &s : m_slots) {
        const bool isProven = s->hasReplied || now - s->openedAt >= provingTime;
        if (!s->idle() || (proven && !isProven))
            continue;
        // The most recently used one, so that connections beyond need become stale.
        if (best == nullptr || s->idleSince > best->idleSince)
            best = s.get();
    }
    return best;
}

backend_server::slot &backend_server::open()
{
    m_slots.push_back(std::make_unique<slot>());
    slot &s = *m_slots.back();
    s.startedAt = m_env.loop.now();
    s.connection = m_env.connector.open(m_record.address,
                                        {[this, &s] { onOpen(s); }, [this, &s] { onClosed(s); }});
    return s;
}

void backend_server::openIfNeeded()
{
    if (isLeaving() || m_env.loop.now() < m_openAfter)
        return;
    std::size_t opening = 0;
    for (const auto &s : m_slots)
        opening += s->isOpen ? 0 : 1;
    while (m_slots.size() < m_most && opening < m_waiting.size()) {
        open();
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
    dispatch();
}

void backend_server::onClosed(slot &s)
{
    const time_point now = m_env.loop.now();
    // A server that closes an idle connection after use has done nothing unusual.
    if (!s.hasReplied) {
        const bool wasSuspect = m_health.isSuspect();
        noteRefusal();
        if (!s.isOpen && !isConnected())
            m_health.onUnreachable(now);
        noteBelief(wasSuspect);
    }
    remove(s);
    if (m_slots.empty())
        returnWaiting();
}

void backend_server::noteRefusal()
{
    m_openPause = std::clamp(m_openPause * 2, firstOpenPause, maxOpenPause);
    m_openAfter = m_env.loop.now() + m_openPause;
}

backend_attempt_ptr backend_server::submit(attempt_spec spec)
{
    auto a = std::make_shared<backend_attempt>(std::move(spec));
    a->number = m_nextNumber++;
    if (slot *s = idleSlot(a->spec.needsProvenConnection)) {
        send(*s, a);
        return a;
    }
    m_waiting.emplace(wait_key(a->spec.rank, a->spec.deadline, a->number), a);
    openIfNeeded();
    return a;
}

bool backend_server::withdraw(const backend_attempt_ptr &a)
{
    const auto it = m_waiting.find(wait_key(a->spec.rank, a->spec.deadline, a->number));
    if (it == m_waiting.end())
        return false;
    m_waiting.erase(it);
    a->over = true;
    a->spec.done = nullptr;
    return true;
}

void backend_server::detach(const backend_attempt_ptr &a)
{
    if (!withdraw(a))
        a->spec.done = nullptr;
}

void backend_server::abort(const backend_attempt_ptr &a)
{
    a->spec.done = nullptr;
    if (withdraw(a) || a->over)
        return;
    for (const auto &s : m_slots) {
        if (s->attempt != a)
            continue;
        const bool wasSuspect = m_health.isSuspect();
        a->over = true;
        m_health.onAbandoned(a->sentAt, toleratedSilence(m_health.distance(), a->spec.work),
                             m_env.loop.now());
        noteBelief(wasSuspect);
        remove(*s);
        return;
    }
}

void backend_server::dispatch()
{
    auto it = m_waiting.begin();
    while (it != m_waiting.end()) {
        slot *s = idleSlot(it->second->spec.needsProvenConnection);
        if (s == nullptr) {
            ++it;
            continue;
        }
        const backend_attempt_ptr a = it->second;
        it = m_waiting.erase(it);
        send(*s, a);
    }
    openIfNeeded();
}

void backend_server::send(slot &s, const backend_attempt_ptr &a)
{
    const time_point now = m_env.loop.now();
    a->sent = true;
    a->sentAt = now;
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
            s.idleTime = *idle;
        result.reply = std::move(outcome.reply);
        s.hasReplied = true;
        m_openPause = duration::zero();
    } else if (outcome.failure == transport_failure::MayHaveRun) {
        result.end = attempt_end::MayHaveRun;
        result.probablyRefused = !s.hasReplied && m_env.loop.now() - s.openedAt < provingTime;
        if (result.probablyRefused)
            noteRefusal();
    }
    const bool wasSuspect = m_health.isSuspect();
    account(*a, result, now);
    noteBelief(wasSuspect);
    s.attempt = nullptr;
    release(s);
    finish(a, std::move(result));
    dispatch();
}

void backend_server::account(const backend_attempt &a, const attempt_result &result, time_point now)
{
    if (result.end == attempt_end::NotSent)
        return m_health.onAbandoned(a.sentAt, duration::max(), now);
    if (result.probablyRefused)
        return m_health.onAbandoned(a.sentAt, duration::max(), now);
    if (result.end == attempt_end::MayHaveRun)
        return m_health.onFailed(a.sentAt, now);
    switch (result.verdict) {
    case reply_verdict::Answer:
        return m_health.onReply(a.sentAt, a.spec.work, now);
    case reply_verdict::NotRun:
        return m_health.onRejected(a.sentAt, now);
    case reply_verdict::WrongServer:
        // The entry is out of date; the store will say so as well.
        m_leaving = true;
        return m_health.onRejected(a.sentAt, now);
    case reply_verdict::Failure:
    case reply_verdict::NotAnAnswer:
        return m_health.onFailed(a.sentAt, now);
    }
}

void backend_server::finish(const backend_attempt_ptr &a, attempt_result result)
{
    a->over = true;
    if (const auto done = std::exchange(a->spec.done, nullptr))
        done(std::move(result));
}

void backend_server::release(slot &s)
{
    s.idleSince = m_env.loop.now();
    if (!s.connection->open() || m_slots.size() > m_most)
        remove(s);
}

void backend_server::remove(slot &s)
{
    const auto it = std::find_if(m_slots.begin(), m_slots.end(),
                                 [&s](const auto &each) { return each.get() == &s; });
    if (it != m_slots.end())
        m_slots.erase(it);
}

void backend_server::endOverdue(time_point now)
{
    std::vector<backend_attempt_ptr> overdue;
    for (const auto &[key, a] : m_waiting) {
        if (now >= a->spec.deadline)
            overdue.push_back(a);
    }
    for (const auto &a : overdue) {
        const auto done = a->spec.done;
        withdraw(a);
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
                s->idleTime > 2 * idleMargin ? s->idleTime - idleMargin : s->idleTime / 2;
        const bool isStale = s->idle() && (now - s->idleSince >= keep || isLeaving());
        const bool neverOpened = !s->isOpen && now - s->startedAt >= connectTimeout;
        const bool unchecked = s->checking && now - s->busySince >= checkTimeout;
        const bool isSurplus = surplus > 0 && s->idle() && now - s->idleSince >= surplusTime;
        if (isStale || neverOpened || unchecked || isSurplus) {
            stale.push_back(s.get());
            surplus -= std::min<std::size_t>(surplus, 1);
        }
        if (!neverOpened && !unchecked)
            continue;
        const bool wasSuspect = m_health.isSuspect();
        if (unchecked || !isConnected())
            m_health.onUnreachable(now);
        noteBelief(wasSuspect);
    }
    for (slot *s : stale)
        remove(*s);
}

void backend_server::checkHealth(time_point now)
{
    if (!m_health.isSuspect() || isLeaving() || now < m_nextCheck || m_most == 0)
        return;
    const bool underWay = std::any_of(m_slots.begin(), m_slots.end(),
                                      [](const auto &s) { return s->checking || !s->isOpen; });
    if (underWay)
        return;
    m_nextCheck = now + checkInterval;
    slot *s = idleSlot(false);
    if (s == nullptr) {
        if (m_slots.size() < m_most)
            open();
        return;
    }
    s->checking = true;
    s->busySince = now;
    s->connection->send(m_env.dialect.healthCheck(m_healthCheckPath, m_record),
                        [this, s](const http_outcome &outcome) { onHealthChecked(*s, outcome); });
}

void backend_server::onHealthChecked(slot &s, const http_outcome &outcome)
{
    s.checking = false;
    const time_point now = m_env.loop.now();
    const bool wasSuspect = m_health.isSuspect();
    if (outcome.ok() && m_env.dialect.isHealthy(outcome.reply, m_record)) {
        s.hasReplied = true;
        m_health.onHealthy(now);
    }
    noteBelief(wasSuspect);
    release(s);
    dispatch();
}

void backend_server::noteBelief(bool wasSuspect)
{
    if (wasSuspect != m_health.isSuspect())
        m_env.onBelief(*this, wasSuspect ? "server_answers_again" : "server_suspected");
}

void backend_server::maintain()
{
    const auto self = shared_from_this();
    const time_point now = m_env.loop.now();
    endOverdue(now);
    closeStale(now);
    checkHealth(now);
    if (isLeaving() || now < m_openAfter)
        return;
    if (m_slots.empty() && std::min(m_standing, m_most) > 0)
        open();
    dispatch();
}

} // namespace peridotwheel
