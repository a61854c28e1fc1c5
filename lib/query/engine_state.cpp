#include "engine_state.h"

#include "running_query.h"

#include <algorithm>
#include <limits>

namespace peridotwheel {

namespace {

/// Short compared to the silence timeout of servers, so that ticking adds little to the time in
/// which a silent server is detected.
constexpr duration tickInterval = milliseconds(10);
constexpr duration maintenanceInterval = milliseconds(100);
/// If the engine was not called for this long, although it ticks every 10 ms, the process did not
/// run.
constexpr duration stallThreshold = milliseconds(100);
/// Health checks that time out within this time after a local stall do not make a server suspect.
/// Longer than any health check takes.
constexpr duration postStallGracePeriod = seconds(1);
/// Once a server has been suspect for this long, connections that carry attempts for which no query
/// waits are closed, so that probes find a free one.
constexpr duration abandonDelay = seconds(1);
/// Slowdown assumed while more than half of the servers are suspect: that points to a common cause
/// and not to faults of the single servers.
constexpr double majoritySuspectSlowdown = 6.0;
/// Latencies assumed before the first reply of a server in the same or in another data centre; only
/// their order matters.
constexpr duration localLatencyPrior = milliseconds(10);
constexpr duration remoteLatencyPrior = milliseconds(30);
/// Stragglers may cost at most 5% of extra requests; hedges stay below that, with room for retries.
constexpr double hedgeFraction = 0.03;
constexpr double hedgeBurst = 10;
/// The loss of one server per service strands about a third of the attempts sent within 100 ms,
/// which then have to be retried.
constexpr double retryFraction = 0.1;
constexpr double retryBurst = 100;

std::string hexPrefix(std::uint64_t value)
{
    constexpr const char *digits = "0123456789abcdef";
    std::string text;
    for (int shift = 60; shift >= 0; shift -= 4)
        text += digits[(value >> shift) & 15];
    return text + "-";
}

bool isSameRun(const server_record &a, const server_record &b)
{
    return a.start == b.start && a.address == b.address && a.service == b.service &&
           a.sharded == b.sharded;
}

} // namespace

engine_counters::engine_counters(counter_set &set)
    : firstAttempts(set.at("query.attempts.first"))
    , hedges(set.at("query.attempts.hedge"))
    , retries(set.at("query.attempts.retry"))
    , probes(set.at("query.attempts.probe"))
    , cancels(set.at("query.cancels"))
    , droppedReplies(set.at("query.replies.dropped"))
    , budgetDenials(set.at("query.budget.denied"))
    , shedReplies(set.at("query.replies.shed"))
    , failedReplies(set.at("query.replies.failed"))
    , suspicions(set.at("query.servers.suspected"))
    , restarts(set.at("query.restarts"))
    , partial(set.at("query.answers.partial"))
{
}

engine_state::engine_state(event_loop &l, blackboard &b, http_connector &c, counter_set &counters,
                           event_sink sink, std::uint64_t seed, instance_id id, data_centre_id dc,
                           query_engine_options o)
    : loop(l)
    , board(b)
    , connector(c)
    , count(counters)
    , events(std::move(sink))
    , random(seed)
    , self(std::move(id))
    , dataCentre(std::move(dc))
    , options(o)
    , selector(o.selection)
    , share(self, l.now(), o.connectionHold, dataCentre)
    , hedgeBudget(hedgeFraction, hedgeBurst, l.now())
    , retryBudget(retryFraction, retryBurst, l.now())
    , attemptPrefix(self.value() + "-" + hexPrefix(random.next()))
    , m_lastTick(l.now())
{
    slots.onDecrease = [this] { scheduleSlotFreeHook(); };
    m_onServers = board.servers.subscribe([this](const auto &) { updateServers(); });
    m_onMembers = board.members.subscribe([this](const auto &) {
        if (share.updateMembers(board.members.value(), loop.now()))
            updateShares();
    });
    share.updateMembers(board.members.value(), loop.now());
    updateServers();
    scheduleTick();
}

engine_state::~engine_state()
{
    slots.onDecrease = nullptr;
    // Attempts in flight refer to their query without owning it, so queries have to detach them.
    for (const auto &query : active)
        query->endWithoutAnswer();
    // Breaks a reference cycle: an attempt in flight owns its server, and the server owns the
    // connection that carries the attempt.
    for (const auto &entry : servers)
        entry.second->pool.reset();
    for (const auto &entry : m_retired) {
        if (const auto server = entry.lock())
            server->pool.reset();
    }
}

void engine_state::report(event_kind kind, const query_request *request, std::string text) const
{
    if (!events)
        return;
    timeline_event event;
    event.kind = kind;
    if (request != nullptr) {
        event.request = request->id;
        event.className = request->spec.name;
    }
    event.text = std::move(text);
    events(std::move(event));
}

scatter_plan_ptr engine_state::planOf(const shard_map_ptr &map)
{
    scatter_plan_ptr &plan = m_plans[map->version];
    if (plan && plan->epoch == m_epoch && plan->map == map)
        return plan;
    plan = makePlan(map, servers, m_epoch);
    // Plans of versions before the previous one are no longer used.
    while (m_plans.size() > 2 && m_plans.begin()->first != map->version)
        m_plans.erase(m_plans.begin());
    return m_plans[map->version];
}

scatter_plan_ptr engine_state::plainPlanOf(const service_name &name)
{
    const auto it = m_plainPlans.find(name);
    if (it != m_plainPlans.end() && it->second->epoch == m_epoch)
        return it->second;
    auto plan = makePlainPlan(name, servers, m_epoch);
    // Plans of unknown service names are not cached: the names come from callers, who could
    // otherwise make the cache grow without bound.
    if (!plan->groups.front().replicas.empty())
        m_plainPlans[name] = plan;
    return plan;
}

std::shared_ptr<backend_server> engine_state::makeServer(const server_record &record)
{
    auto &service = services[record.service];
    if (!service)
        service = std::make_unique<service_stats>();
    const duration prior = record.dataCentre == dataCentre ? localLatencyPrior : remoteLatencyPrior;
    auto server = std::make_shared<backend_server>(loop, connector, record, *service, prior);
    server->pool.onUnresponsive = [this, raw = server.get()] { onUnresponsive(*raw); };
    server->pool.onHealthReply = [this, raw = server.get()](const http_headers &headers) {
        noteHealthReply(*raw, headers);
    };
    return server;
}

void engine_state::onUnresponsive(backend_server &server)
{
    const time_point now = loop.now();
    detectLocalStall(now);
    // A health check that spans a local stall times out through no fault of the server.
    if (now - lastStallEnd >= postStallGracePeriod)
        server.stats.markSuspect(now);
}

void engine_state::noteHealthReply(const backend_server &server, const http_headers &headers)
{
    const reply_headers parsed = parseHeaders(headers);
    if (parsed.draining && !server.leaving)
        noteLeaving(server.record.id, parsed.start.value_or(server.record.start), true);
}

bool engine_state::connected() const
{
    std::map<service_name, bool> reached;
    for (const auto &[id, server] : servers)
        reached[server->record.service] |= server->pool.connected();
    return !reached.empty() &&
           std::all_of(reached.begin(), reached.end(), [](const auto &r) { return r.second; });
}

void engine_state::updateServers()
{
    const server_map &known = board.servers.value();
    ++m_epoch;
    for (auto it = servers.begin(); it != servers.end();) {
        const auto found = known.find(it->first);
        if (found != known.end() && isSameRun(found->second, it->second->record)) {
            it->second->record = found->second;
            ++it;
            continue;
        }
        // Attempts in flight keep the server object alive until their outcome.
        it->second->startDraining();
        m_retired.push_back(it->second);
        it = servers.erase(it);
    }
    m_retired.erase(std::remove_if(m_retired.begin(), m_retired.end(),
                                   [](const auto &entry) { return entry.expired(); }),
                    m_retired.end());
    for (const auto &[id, record] : known) {
        auto &server = servers[id];
        if (!server)
            server = makeServer(record);
        const bool leaving = record.leaving || m_leaving.count({id, record.start}) != 0;
        if (leaving && !server->leaving)
            server->startDraining();
    }
    for (auto it = m_leaving.begin(); it != m_leaving.end();)
        it = known.count(it->first) == 0 ? m_leaving.erase(it) : std::next(it);
    // The loops above may end queries, whose answer hooks may have made plans from the partly
    // updated server table.
    ++m_epoch;
    updateShares();
}

void engine_state::updateShares()
{
    share.updateMembers(board.members.value(), loop.now());
    ++shareEpoch;
    for (const auto &[id, server] : servers)
        server->applyConnectionShare(
                share(id, server->record.connectionLimit, server->record.dataCentre));
    updateConcurrency();
}

void engine_state::noteLeaving(const server_id &id, start_id start, bool fromReply)
{
    const bool isFirstNotice = m_leaving.emplace(id, start).second;
    const auto it = servers.find(id);
    const bool present = it != servers.end() && (fromReply || it->second->record.start == start);
    if (present && !it->second->leaving) {
        it->second->startDraining();
        report(event_kind::Drain, nullptr, "leaving server=" + id.value());
    }
    if (isFirstNotice && fromReply && onServerLeaving)
        onServerLeaving(id, start);
}

void engine_state::detectLocalStall(time_point now)
{
    const duration gap = now - m_lastTick;
    m_lastTick = std::max(m_lastTick, now);
    if (gap < stallThreshold)
        return;
    lastStallEnd = now;
    for (const auto &entry : servers)
        entry.second->stats.onLocalStall(now);
    report(event_kind::Fault, nullptr,
           "stalled ms=" + std::to_string(static_cast<long>(toMilliseconds(gap))));
}

void engine_state::scheduleTick()
{
    m_timer = loop.schedule(tickInterval, [this] {
        tick();
        scheduleTick();
    });
}

void engine_state::tick()
{
    const time_point now = loop.now();
    detectLocalStall(now);
    // Works on a copy: attempts that return unsent may end queries, whose answer hooks may change
    // the server table.
    std::vector<std::shared_ptr<backend_server>> busy;
    for (const auto &[id, server] : servers) {
        if (server->stats.inFlight() > 0)
            busy.push_back(server);
    }
    for (const auto &server : busy)
        checkForSilence(*server, now);
    if (now < m_nextMaintenance)
        return;
    m_nextMaintenance = now + maintenanceInterval;
    maintain(now);
}

void engine_state::checkForSilence(backend_server &server, time_point now)
{
    const duration silenceTimeout = server.silenceTimeout(now);
    if (server.stats.checkSilence(now, silenceTimeout)) {
        count.suspicions.add();
        report(event_kind::Fault, nullptr, "suspect server=" + server.record.id.value());
        server.pool.returnWaiting();
    }
    // Waits for one more silence timeout: by then most false suspicions have been cleared by a
    // reply.
    if (!server.stats.suspect() || server.stats.suspectFor(now) < silenceTimeout)
        return;
    for (const auto &waiting : server.pool.inFlightAttempts()) {
        auto &stuck = static_cast<attempt &>(*waiting);
        // An attempt sent after the server became suspect, as a probe or because there was no
        // better server, gets the full silence timeout as well.
        if (now - stuck.sentAt() < silenceTimeout)
            continue;
        if (stuck.query() != nullptr) {
            stuck.query()->onServerSuspected(stuck);
        } else if (server.stats.suspectFor(now) >= abandonDelay) {
            stuck.abortConnection();
        }
    }
}

void engine_state::maintain(time_point now)
{
    if (share.updateMembers(board.members.value(), now))
        updateShares();
    for (const auto &entry : services)
        entry.second->nearestFloor = duration::zero();
    // Works on a copy: maintenance may end queries, whose answer hooks may change the server table.
    const auto all = servers;
    for (const auto &[id, server] : all) {
        server->pool.maintain();
        duration &nearest = server->service.nearestFloor;
        const duration floor = server->stats.baselineLatency();
        nearest = nearest == duration::zero() ? floor : std::min(nearest, floor);
    }
    double slowdown = 0;
    double measuredServices = 0;
    double latency = 0;
    for (const auto &[name, service] : services) {
        service->raiseFloor();
        if (service->floorUs <= 0)
            continue;
        slowdown += service->slowdown();
        latency += service->averageUs;
        ++measuredServices;
    }
    if (measuredServices > 0)
        slotTime = duration(static_cast<duration::rep>(latency / measuredServices));
    double ratio = measuredServices > 0 ? slowdown / measuredServices : 1.0;
    const auto suspects = std::count_if(servers.begin(), servers.end(), [](const auto &entry) {
        return entry.second->stats.suspect();
    });
    if (2 * static_cast<std::size_t>(suspects) > servers.size())
        ratio = std::max(ratio, majoritySuspectSlowdown);
    hedgeBudget.setSlowdown(ratio);
    retryBudget.setSlowdown(ratio);
    updateConcurrency();
}

void engine_state::scheduleSlotFreeHook()
{
    if (m_isSlotFreeHookScheduled || !onSlotFree)
        return;
    // Called from the event loop and not from within the query that freed the slot, since the hook
    // may start another query.
    m_isSlotFreeHookScheduled = true;
    m_slotFreeTimer = loop.schedule(duration::zero(), [this] {
        m_isSlotFreeHookScheduled = false;
        if (onSlotFree)
            onSlotFree();
    });
}

void engine_state::updateConcurrency()
{
    std::map<service_name, std::uint32_t> sums;
    for (const auto &[id, server] : servers) {
        // Queries use all sharded services unless they name some, and plain ones only by name. A
        // plain service therefore counts only while a query waits for it.
        if (!server->record.sharded && server->service.waitingQueries == 0)
            continue;
        // A service without any usable server is left out, so that it does not block queries to the
        // others.
        if (server->eligible() && !server->stats.suspect())
            sums[server->record.service] += server->limit();
    }
    std::uint32_t least = std::numeric_limits<std::uint32_t>::max();
    for (const auto &entry : sums)
        least = std::min(least, entry.second);
    queryConcurrencyLimit = sums.empty() ? 1 : std::max(least, 1U);
}

} // namespace peridotwheel
