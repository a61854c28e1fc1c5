#include "engine_state.h"

#include "running_query.h"

#include <algorithm>
#include <limits>

namespace peridotwheel {

namespace {

/// Short against the patience with silent servers, so that detection adds little to it.
constexpr duration tickInterval = milliseconds(10);
constexpr duration maintenanceInterval = milliseconds(100);
/// A tick that is this late means that the process did not run.
constexpr duration stallThreshold = milliseconds(100);
/// Longer than any health check takes.
constexpr duration stallForgiveness = seconds(1);
/// Connections of a server that has been silent for this long are given up, so that probes find a
/// free one.
constexpr duration hopelessAfter = seconds(1);
/// Slowdown assumed while most servers are silent: that is a common cause, not the servers' own.
constexpr double silentSlowdown = 6.0;
/// Latencies assumed before the first reply; only their order matters.
constexpr duration nearPrior = milliseconds(10);
constexpr duration farPrior = milliseconds(30);
/// Hedges stay below the 5% that stragglers may cost, with room for retries.
constexpr double hedgeFraction = 0.03;
constexpr double hedgeBurst = 10;
/// The loss of one server per service strands about a third of the attempts of 100 ms.
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

bool sameRun(const server_record &a, const server_record &b)
{
    return a.start == b.start && a.address == b.address && a.service == b.service &&
           a.sharded == b.sharded;
}

} // namespace

engine_counters::engine_counters(counter_set &set)
    : first(set.at("query.attempts.first"))
    , hedges(set.at("query.attempts.hedge"))
    , retries(set.at("query.attempts.retry"))
    , probes(set.at("query.attempts.probe"))
    , cancels(set.at("query.cancels"))
    , dropped(set.at("query.replies.dropped"))
    , denied(set.at("query.budget.denied"))
    , shed(set.at("query.replies.shed"))
    , failures(set.at("query.replies.failed"))
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
    , hedges(hedgeFraction, hedgeBurst, l.now())
    , retries(retryFraction, retryBurst, l.now())
    , attemptPrefix(self.value() + "-" + hexPrefix(random.next()))
    , m_lastTick(l.now())
{
    slots.onFall = [this] { announceFreeSlot(); };
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
    slots.onFall = nullptr;
    // Queries and their attempts refer to each other.
    for (const auto &query : active)
        query->drop();
    // Attempts in flight refer to their server, which owns the connections that carry them.
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
    // Plans of versions before the previous one are not used any more.
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
    // Unknown names come from callers and must not fill the memory.
    if (!plan->groups.front().replicas.empty())
        m_plainPlans[name] = plan;
    return plan;
}

std::shared_ptr<backend_server> engine_state::makeServer(const server_record &record)
{
    auto &service = services[record.service];
    if (!service)
        service = std::make_unique<service_stats>();
    const duration prior = record.dataCentre == dataCentre ? nearPrior : farPrior;
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
    noticeTime(now);
    // A health check that spans a pause of this process times out through no fault of the server.
    if (now - stalledUntil >= stallForgiveness)
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
        if (found != known.end() && sameRun(found->second, it->second->record)) {
            it->second->record = found->second;
            ++it;
            continue;
        }
        // Attempts in flight keep the object until their replies have come.
        it->second->stopWork();
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
            server->stopWork();
    }
    for (auto it = m_leaving.begin(); it != m_leaving.end();)
        it = known.count(it->first) == 0 ? m_leaving.erase(it) : std::next(it);
    // Queries that ended meanwhile may have led to plans of the half-updated table.
    ++m_epoch;
    updateShares();
}

void engine_state::updateShares()
{
    share.updateMembers(board.members.value(), loop.now());
    ++shareEpoch;
    for (const auto &[id, server] : servers)
        server->applyShare(share(id, server->record.connectionLimit, server->record.dataCentre));
    updateConcurrency();
}

void engine_state::noteLeaving(const server_id &id, start_id start, bool fromReply)
{
    const bool isNews = m_leaving.emplace(id, start).second;
    const auto it = servers.find(id);
    const bool present = it != servers.end() && (fromReply || it->second->record.start == start);
    if (present && !it->second->leaving) {
        it->second->stopWork();
        report(event_kind::Drain, nullptr, "leaving server=" + id.value());
    }
    if (isNews && fromReply && onServerLeaving)
        onServerLeaving(id, start);
}

void engine_state::noticeTime(time_point now)
{
    const duration gap = now - m_lastTick;
    m_lastTick = std::max(m_lastTick, now);
    if (gap < stallThreshold)
        return;
    stalledUntil = now;
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
    noticeTime(now);
    // Returned attempts may end queries, whose hooks may change the table.
    std::vector<std::shared_ptr<backend_server>> busy;
    for (const auto &[id, server] : servers) {
        if (server->stats.inFlight() > 0)
            busy.push_back(server);
    }
    for (const auto &server : busy)
        checkServer(*server, now);
    if (now < m_nextMaintenance)
        return;
    m_nextMaintenance = now + maintenanceInterval;
    maintain(now);
}

void engine_state::checkServer(backend_server &server, time_point now)
{
    const duration patience = server.patience(now);
    if (server.stats.checkSilence(now, patience)) {
        count.suspicions.add();
        report(event_kind::Fault, nullptr, "suspect server=" + server.record.id.value());
        server.pool.returnWaiting();
    }
    // A false suspicion has mostly been refuted by now.
    if (!server.stats.suspect() || server.stats.suspectFor(now) < patience)
        return;
    for (const auto &waiting : server.pool.inFlightAttempts()) {
        auto &stuck = static_cast<attempt &>(*waiting);
        // Probes, and attempts sent for want of a better server, get the usual patience.
        if (now - stuck.sentAt() < patience)
            continue;
        if (stuck.query() != nullptr) {
            stuck.query()->onStuck(stuck);
        } else if (server.stats.suspectFor(now) >= hopelessAfter) {
            stuck.abandon();
        }
    }
}

void engine_state::maintain(time_point now)
{
    if (share.updateMembers(board.members.value(), now))
        updateShares();
    for (const auto &entry : services)
        entry.second->nearest = duration::zero();
    // Maintenance may end queries, whose hooks may change the table.
    const auto all = servers;
    for (const auto &[id, server] : all) {
        server->pool.maintain();
        duration &nearest = server->service.nearest;
        const duration floor = server->stats.baselineLatency();
        nearest = nearest == duration::zero() ? floor : std::min(nearest, floor);
    }
    double slowdown = 0;
    double measured = 0;
    double latency = 0;
    for (const auto &[name, service] : services) {
        service->raiseFloor();
        if (service->floor <= 0)
            continue;
        slowdown += service->slowdown();
        latency += service->average;
        ++measured;
    }
    if (measured > 0)
        slotTime = duration(static_cast<duration::rep>(latency / measured));
    double ratio = measured > 0 ? slowdown / measured : 1.0;
    const auto silent = std::count_if(servers.begin(), servers.end(), [](const auto &entry) {
        return entry.second->stats.suspect();
    });
    if (2 * static_cast<std::size_t>(silent) > servers.size())
        ratio = std::max(ratio, silentSlowdown);
    hedges.setSlowdown(ratio);
    retries.setSlowdown(ratio);
    updateConcurrency();
}

void engine_state::announceFreeSlot()
{
    if (m_freeSlotAnnounced || !onSlotFree)
        return;
    // Announced outside of the query that freed it, since what follows may start another query.
    m_freeSlotAnnounced = true;
    m_freeSlotTimer = loop.schedule(duration::zero(), [this] {
        m_freeSlotAnnounced = false;
        if (onSlotFree)
            onSlotFree();
    });
}

void engine_state::updateConcurrency()
{
    std::map<service_name, std::uint32_t> sums;
    for (const auto &[id, server] : servers) {
        // Queries use all sharded services, but plain ones only by name.
        if (!server->record.sharded && server->service.waiting == 0)
            continue;
        // A service without any server must not stop the others.
        if (server->eligible() && !server->stats.suspect())
            sums[server->record.service] += server->limit();
    }
    std::uint32_t least = std::numeric_limits<std::uint32_t>::max();
    for (const auto &entry : sums)
        least = std::min(least, entry.second);
    concurrency = sums.empty() ? 1 : std::max(least, 1U);
}

} // namespace peridotwheel
