#include "allotment_fleet.h"

#include "exchange_fixture.h"
#include "peridotwheel/support/hash.h"

#include <algorithm>
#include <cmath>

namespace peridotwheel {

namespace {

std::uint16_t portOf(std::size_t index)
{
    return static_cast<std::uint16_t>(index + 1);
}

std::size_t indexAt(std::uint16_t port)
{
    return port - 1U;
}

} // namespace

void shared_bucket::settle(time_point now)
{
    m_level = std::min(m_capacity, m_level + m_rate * toMilliseconds(now - m_settledAt) / 1000);
    m_settledAt = now;
}

void shared_bucket::setLimits(double ratePerSecond, double capacity, time_point now)
{
    settle(now);
    m_rate = ratePerSecond;
    m_capacity = capacity;
    m_level = std::min(m_level, m_capacity);
}

bool shared_bucket::take(time_point now)
{
    settle(now);
    if (m_level < 1)
        return false;
    m_level -= 1;
    return true;
}

double allotment_fleet::team_outcome::served() const
{
    return withinLimit == 0
                   ? 1
                   : static_cast<double>(grantedWithinLimit) / static_cast<double>(withinLimit);
}

class allotment_fleet::node_client : public http_client
{
public:
    node_client(allotment_fleet &fleet, std::size_t index)
        : m_fleet(fleet)
        , m_index(index)
    {
    }

    void send(const endpoint &to, const http_request &request, duration timeout,
              outcome_hook done) override
    {
        m_fleet.exchange(m_index, indexAt(to.port), request, timeout, done);
    }

private:
    allotment_fleet &m_fleet;
    std::size_t m_index;
};

struct allotment_fleet::node
{
    node(allotment_fleet &fleet, std::size_t index)
        : client(fleet, index)
        , log(fleet.m_loop, "node", [](std::string_view text) { return text.size(); })
    {
    }

    node_client client;
    counter_set counters;
    decision_log log;
    std::unique_ptr<allotment_exchange> exchange;
    /// The list of instances that the process has read, and its revision; 0 if it has read none.
    member_map members;
    std::uint64_t listRevision = 0;
};

allotment_fleet::allotment_fleet(std::size_t instances, std::uint64_t seed)
    : m_random(seed)
{
    m_tolerance = {seconds(5), 0.1, 20};
    constexpr double exponent = 1.2;
    constexpr double requestsPerSecond = 120;
    constexpr std::size_t maxCallers = 10;
    double sum = 0;
    for (std::size_t i = 0; i < teamCount; ++i)
        sum += std::pow(i + 1, -exponent);
    for (std::size_t i = 0; i < teamCount; ++i) {
        team t;
        t.usual = requestsPerSecond * std::pow(i + 1, -exponent) / sum;
        t.callers = 1 + m_random.below(maxCallers);
        m_teams.push_back(std::move(t));
        for (std::size_t c = 0; c < m_teams.back().callers; ++c) {
            const std::size_t at = m_random.below(instances);
            m_callers.push_back({i, at, at});
        }
    }
    for (std::size_t i = 0; i < instances; ++i)
        m_members[idOf(i)] = memberAt(idOf(i).value(), portOf(i));
    for (std::size_t i = 0; i < instances; ++i)
        m_nodes.push_back(std::make_unique<node>(*this, i));
    setLimits(1.6);
    for (std::size_t i = 0; i < instances; ++i)
        restart(i);
    for (std::size_t c = 0; c < m_callers.size(); ++c)
        scheduleRequest(c);
}

allotment_fleet::~allotment_fleet() = default;

instance_id allotment_fleet::idOf(std::size_t index) const
{
    return instance_id("gateway-" + std::to_string(index));
}

void allotment_fleet::later(duration delay, std::function<void()> fn)
{
    const std::uint64_t number = m_nextTimer++;
    m_timers[number] = m_loop.schedule(delay, [this, number, fn = std::move(fn)] {
        const timer own = std::move(m_timers[number]);
        m_timers.erase(number);
        fn();
    });
}

duration allotment_fleet::messageDelay()
{
    return milliseconds(1) + duration(m_random.below(23000));
}

bool allotment_fleet::isReachable(std::size_t from, std::size_t to) const
{
    return !m_isPartitioned || from % 2 == to % 2;
}

void allotment_fleet::exchange(std::size_t from, std::size_t to, const http_request &request,
                               duration timeout, const outcome_hook &done)
{
    ++m_messages;
    http_outcome failed;
    failed.failure = transport_failure::NotSent;
    if (!isReachable(from, to))
        return later(timeout, [done, failed] { done(failed); });
    later(messageDelay(), [this, from, to, request, timeout, done, failed] {
        if (!m_nodes[to]->exchange) {
            http_outcome refused = failed;
            refused.isRefused = true;
            return later(messageDelay(), [done, refused] { done(refused); });
        }
        opaque_request asked;
        asked.method = "POST";
        asked.target = request.path;
        asked.body = request.body;
        captured_reply reply;
        m_nodes[to]->exchange->onPeerHeard();
        m_nodes[to]->exchange->handleRequest(asked, reply);
        if (!isReachable(to, from))
            return later(timeout, [done, failed] { done(failed); });
        http_outcome outcome;
        outcome.reply = reply.value;
        later(messageDelay(), [done, outcome] { done(outcome); });
    });
}

route_table allotment_fleet::makeRoutes()
{
    route_configuration c;
    c.version = configuration_version(m_version);
    c.teams.emplace();
    for (const team &t : m_teams)
        c.teams->push_back(t.spec);
    return route_table(c);
}

void allotment_fleet::setLimits(double factor)
{
    const time_point now = m_loop.now();
    ++m_version;
    for (std::size_t i = 0; i < teamCount; ++i) {
        team &t = m_teams[i];
        const double rate = factor * t.usual;
        auto spec = std::make_shared<team_spec>();
        spec->name = team_name("team-" + std::to_string(i));
        spec->allotment = rate_allotment{request_rate(rate), rate};
        t.spec = spec;
        const double capacity = std::max(rate, 1.0);
        if (t.reference)
            t.reference->setLimits(rate, capacity, now);
        else
            t.reference = std::make_unique<shared_bucket>(rate, capacity);
        const double windowSeconds = toMilliseconds(m_tolerance.window) / 1000;
        const double allowed =
                (rate * windowSeconds + rate) * (1 + m_tolerance.excess) + m_tolerance.slack;
        t.allowed = std::max(t.allowed, allowed);
        t.nextAllowed = allowed;
        t.allowedUntil = now + m_tolerance.window;
    }
    const route_table routes = makeRoutes();
    for (const auto &n : m_nodes) {
        if (n->exchange)
            n->exchange->setRoutes(routes);
    }
}

void allotment_fleet::stop(std::size_t index)
{
    m_nodes[index]->exchange->handOver();
    for (caller &c : m_callers) {
        while (c.at == index)
            c.at = m_random.below(m_nodes.size());
    }
    later(seconds(2), [this, index] { m_nodes[index]->exchange.reset(); });
}

void allotment_fleet::kill(std::size_t index)
{
    m_nodes[index]->exchange.reset();
    for (caller &c : m_callers) {
        while (c.at == index)
            c.at = m_random.below(m_nodes.size());
    }
}

void allotment_fleet::restart(std::size_t index, duration unknownFor)
{
    node &n = *m_nodes[index];
    n.members.clear();
    n.listRevision = 0;
    // Numbers of processes are random in the product, so that they differ by much.
    constexpr std::uint64_t processSpacing = 1'000'000;
    const instance_id id = idOf(index);
    n.exchange = std::make_unique<allotment_exchange>(
            m_loop, n.client, n.counters, n.log,
            allotment_exchange_options{id, start_id(processSpacing * ++m_processes), m_tolerance,
                                       [&n]() -> const member_map & { return n.members; },
                                       endpoint{"10.0.0.1", portOf(index)},
                                       [&n, id] { return n.members.count(id) != 0; },
                                       [&n] { return object_version(n.listRevision); }});
    n.exchange->setRoutes(makeRoutes());
    later(unknownFor, [this, index] { readList(index); });
    for (caller &c : m_callers) {
        if (c.home == index)
            c.at = index;
    }
}

void allotment_fleet::readList(std::size_t index)
{
    node &n = *m_nodes[index];
    if (!n.exchange)
        return;
    n.members = m_members;
    n.listRevision = m_listRevision;
    n.exchange->updateMembers();
}

void allotment_fleet::setListed(std::size_t index, bool listed, duration readWithin)
{
    ++m_listRevision;
    if (listed)
        m_members[idOf(index)] = memberAt(idOf(index).value(), portOf(index));
    else
        m_members.erase(idOf(index));
    // Each instance learns of the change at another time.
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        later(duration(m_random.below(static_cast<std::uint64_t>(readWithin.count()))),
              [this, i] { readList(i); });
    }
}

std::size_t allotment_fleet::buckets() const
{
    std::size_t sum = 0;
    for (const auto &n : m_nodes) {
        if (n->exchange)
            sum += n->counters.at("allotments.owned_teams").value();
    }
    return sum;
}

std::size_t allotment_fleet::ownerOf(std::size_t team) const
{
    const auto key = stableHash(m_teams[team].spec->name.value());
    const auto best = std::max_element(m_members.begin(), m_members.end(),
                                       [key](const auto &a, const auto &b) {
                                           return rendezvousWeight(key, a.first.value()) <
                                                  rendezvousWeight(key, b.first.value());
                                       });
    return indexAt(best->second.peers.port);
}

void allotment_fleet::scheduleRequest(std::size_t caller)
{
    const team &t = m_teams[m_callers[caller].team];
    const double perSecond = t.usual * t.demandFactor / static_cast<double>(t.callers);
    const double wait = -std::log(1 - m_random.fraction()) / perSecond;
    // The demand may change meanwhile, so long waits are drawn again; they have no memory.
    constexpr double redrawSeconds = 1;
    const bool isRedrawn = wait > redrawSeconds;
    later(fromMilliseconds(1000 * std::min(wait, redrawSeconds)), [this, caller, isRedrawn] {
        if (!isRedrawn)
            sendRequest(m_callers[caller]);
        scheduleRequest(caller);
    });
}

void allotment_fleet::sendRequest(const caller &c)
{
    const std::size_t index = c.team;
    if (!m_nodes[c.at]->exchange)
        return;
    const time_point now = m_loop.now();
    const std::int64_t slot = presentSlot();
    if (m_teams[index].reference->take(now))
        ++m_teams[index].slots[slot].withinLimit;
    m_nodes[c.at]->exchange->take(*m_teams[index].spec, now + m_wait,
                                  [this, index, now, slot](const allotment_decision &decision) {
                                      team &t = m_teams[index];
                                      t.outcome.waited += m_loop.now() > now ? 1 : 0;
                                      if (decision.verdict == allotment_verdict::Granted) {
                                          ++t.slots[slot].granted;
                                          recordSent(t);
                                      } else if (decision.verdict == allotment_verdict::OverLimit)
                                          ++t.outcome.overLimit;
                                      else
                                          ++t.outcome.unavailable;
                                  });
}

void allotment_fleet::recordSent(team &t)
{
    const time_point now = m_loop.now();
    t.sent.push_back(now);
    while (t.sent.front() + m_tolerance.window <= now)
        t.sent.pop_front();
    if (now >= t.allowedUntil)
        t.allowed = t.nextAllowed;
    t.outcome.worstWindow =
            std::max(t.outcome.worstWindow, static_cast<double>(t.sent.size()) / t.allowed);
}

void allotment_fleet::run(duration d)
{
    m_loop.advance(d);
}

std::int64_t allotment_fleet::presentSlot() const
{
    constexpr duration slot = seconds(60);
    return (m_loop.now() - m_outcomesSince) / slot;
}

std::vector<allotment_fleet::team_outcome> allotment_fleet::outcomes() const
{
    std::vector<team_outcome> all;
    for (const team &t : m_teams) {
        all.push_back(t.outcome);
        for (const auto &[number, slot] : t.slots) {
            all.back().withinLimit += slot.withinLimit;
            all.back().granted += slot.granted;
            all.back().grantedWithinLimit += std::min(slot.withinLimit, slot.granted);
        }
    }
    return all;
}

void allotment_fleet::resetOutcomes()
{
    m_messages = 0;
    m_outcomesSince = m_loop.now();
    for (team &t : m_teams) {
        t.outcome = team_outcome();
        t.slots.clear();
    }
}

} // namespace peridotwheel
