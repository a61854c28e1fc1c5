#include "relay_state.h"

#include "relayed_query.h"

#include <algorithm>
#include <limits>

namespace peridotwheel {

namespace {

/// The same budgets as for the engine's own attempts: the extra load of hedges stays below 5%.
constexpr double hedgeFraction = 0.03;
constexpr double hedgeBurst = 10;
constexpr double retryFraction = 0.1;
constexpr double retryBurst = 100;
/// Lower bound of the concurrency limit. A lower one would refuse ordinary bursts of arrivals
/// although the fleet is idle. Connections are shared by the whole fleet, and the owners' queues
/// order the work by rank.
constexpr std::uint32_t minConcurrency = 4;

} // namespace

relay_counters::relay_counters(counter_set &set)
    : queries(set.at("relay.queries"))
    , messages(set.at("relay.messages"))
    , localParts(set.at("relay.local-parts"))
    , hedges(set.at("relay.hedges"))
    , retries(set.at("relay.retries"))
    , notOwned(set.at("relay.not-owner"))
    , cancels(set.at("relay.cancels"))
    , resultsDropped(set.at("relay.results-dropped"))
    , budgetDenials(set.at("relay.budget-denied"))
    , failures(set.at("relay.failures"))
    , restarts(set.at("relay.restarts"))
{
}

relay_state::relay_state(event_loop &l, const blackboard &b, query_executor &engine,
                         http_client &client, relay_hooks hooks, counter_set &counters,
                         event_sink sink, std::uint64_t seed, instance_id id, start_id run,
                         data_centre_id dc)
    : loop(l)
    , board(b)
    , local(engine)
    , http(client)
    , directory(b, std::move(hooks))
    , count(counters)
    , events(std::move(sink))
    , random(seed)
    , self(std::move(id))
    , start(run)
    , dataCentre(std::move(dc))
    , hedges(hedgeFraction, hedgeBurst, l.now())
    , retries(retryFraction, retryBurst, l.now())
{
    m_onMembers = board.members.subscribe([this](const auto &) { updatePeers(); });
    updatePeers();
}

relay_state::~relay_state()
{
    for (const auto &query : active)
        query->endWithoutAnswer();
}

void relay_state::updatePeers()
{
    const member_map &members = board.members.value();
    std::vector<relay_peer_ptr> downPeers;
    bool changed = false;
    for (const auto &[id, m] : members) {
        if (id == self)
            continue;
        auto &peer = m_peers[id];
        if (!peer) {
            peer = std::make_shared<relay_peer>();
            changed = true;
        }
        const bool wasLive = peer->live;
        peer->id = id;
        peer->address = m.peers;
        peer->dataCentre = m.dataCentre;
        peer->sameDataCentre = m.dataCentre == dataCentre;
        peer->live = m.state != member_state::Dead;
        peer->isSuspectOrLeaving = m.state != member_state::Alive;
        if (wasLive && !peer->live)
            downPeers.push_back(peer);
    }
    for (auto it = m_peers.begin(); it != m_peers.end();) {
        if (members.count(it->first) > 0) {
            ++it;
            continue;
        }
        if (it->second->live)
            downPeers.push_back(it->second);
        it->second->live = false;
        it = m_peers.erase(it);
        changed = true;
    }
    if (changed) {
        m_plans.clear();
        m_plainPlans.clear();
    }
    if (downPeers.empty())
        return;
    const auto running = active;
    for (const auto &query : running) {
        for (const auto &peer : downPeers)
            query->onPeerDown(*peer);
    }
}

void relay_state::refresh()
{
    if (!directory.refresh())
        return;
    m_plans.clear();
    m_plainPlans.clear();
    updateConcurrency();
}

void relay_state::updateConcurrency()
{
    std::map<service_name, std::uint64_t> connections;
    for (const auto &[id, record] : board.servers.value()) {
        if (!record.leaving)
            connections[record.service] += record.connectionLimit;
    }
    std::uint64_t fewestConnections = std::numeric_limits<std::uint32_t>::max();
    for (const auto &entry : connections)
        fewestConnections = std::min(fewestConnections, entry.second);
    const std::uint64_t instances = m_peers.size() + 1;
    concurrency =
            std::max(minConcurrency, static_cast<std::uint32_t>(fewestConnections / instances));
}

relay_plan_ptr relay_state::planOf(const shard_map_ptr &map)
{
    relay_plan_ptr &plan = m_plans[map->version];
    if (plan && plan->map == map)
        return plan;
    plan = makeRelayPlan(map, planInputs());
    // Keep the plans of two versions: a query that restarts on a newer version is the last one to
    // use the version before.
    while (m_plans.size() > 2 && m_plans.begin()->first != map->version)
        m_plans.erase(m_plans.begin());
    return m_plans[map->version];
}

relay_plan_ptr relay_state::plainPlanOf(const service_name &name)
{
    const auto it = m_plainPlans.find(name);
    if (it != m_plainPlans.end())
        return it->second;
    auto plan = makePlainRelayPlan(name, planInputs());
    // Do not store plans of unknown services: callers choose the names and could use up the memory.
    const relay_group &group = plan->groups.front();
    if (!group.ownServers.empty() || !group.owners.empty())
        m_plainPlans[name] = plan;
    return plan;
}

void relay_state::report(event_kind kind, const query_request &request, std::string text) const
{
    if (!events)
        return;
    timeline_event event;
    event.kind = kind;
    event.request = request.id;
    event.className = request.spec.name;
    event.text = std::move(text);
    events(std::move(event));
}

} // namespace peridotwheel
