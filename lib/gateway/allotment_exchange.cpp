#include "allotment_exchange.h"

#include "allotment_codec.h"
#include "peridotwheel/counters/counter_set.h"
#include "peridotwheel/gateway/decision_log.h"
#include "peridotwheel/support/hash.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace peridotwheel {

namespace {

/// A reply may arrive after the requests that waited for it were decided, for instance while the
/// owner had no processor time; its tokens are used all the same.
constexpr duration replyTimeout = milliseconds(500);
/// An owner asks for a sign of life after this silence, half of the time after which it counts as
/// isolated.
constexpr duration probeAfterSilence = seconds(1);
constexpr duration probeInterval = milliseconds(500);
/// Interval of the first round of empty messages, which opens the connections to all owners.
constexpr duration firstRoundInterval = milliseconds(50);
constexpr int ok = 200;

/// Returns the instance with the highest rendezvous weight for \p team.
std::optional<instance_id> ownerOf(const team_name &team, const std::vector<instance_id> &instances)
{
    const auto key = stableHash(team.value());
    std::optional<instance_id> best;
    std::uint64_t bestWeight = 0;
    for (const auto &id : instances) {
        const auto weight = rendezvousWeight(key, id.value());
        if (best && weight <= bestWeight)
            continue;
        best = id;
        bestWeight = weight;
    }
    return best;
}

bool isLive(const member &m)
{
    return m.state == member_state::Alive || m.state == member_state::Suspect;
}

} // namespace

allotment_exchange::exchange_counters::exchange_counters(counter_set &set)
    : granted(set.at("allotments.granted"))
    , fromReserve(set.at("allotments.from_reserve"))
    , waited(set.at("allotments.waited"))
    , overLimit(set.at("allotments.over_limit"))
    , unavailable(set.at("allotments.unavailable"))
    , givenBack(set.at("allotments.given_back"))
    , messagesSent(set.at("allotments.messages_sent"))
    , messagesFailed(set.at("allotments.messages_failed"))
    , messagesReceived(set.at("allotments.messages_received"))
    , ownedTeams(set.at("allotments.owned_teams"))
{
}

allotment_exchange::allotment_exchange(event_loop &loop, http_client &http, counter_set &counters,
                                       decision_log &log, allotment_exchange_options options)
    : m_loop(loop)
    , m_http(http)
    , m_log(log)
    , m_options(std::move(options))
    , m_count(counters)
    , m_client(m_options.self, m_options.process, m_owner, loop.now())
    , m_timer(loop, [this] { onTimer(); })
{
}

allotment_exchange::~allotment_exchange() = default;

void allotment_exchange::setRoutes(const route_table &routes)
{
    if (routes.version() <= m_version)
        return;
    m_version = routes.version();
    std::map<team_name, rate_allotment> allotments;
    if (routes.teams()) {
        for (const auto &team : *routes.teams()) {
            if (team->allotment)
                allotments.emplace(team->name, *team->allotment);
        }
    }
    if (allotments == m_allotments)
        return;
    m_allotments = std::move(allotments);
    applyTerms();
}

void allotment_exchange::updateMembers()
{
    if (isEnabled())
        applyTerms();
}

void allotment_exchange::onPeerHeard()
{
    if (isEnabled())
        m_client.onPeerHeard(m_loop.now());
}

void allotment_exchange::applyTerms()
{
    const time_point now = m_loop.now();
    m_addresses.clear();
    std::vector<instance_id> instances;
    if (isEnabled()) {
        for (const auto &[id, m] : m_options.members()) {
            if (!isLive(m))
                continue;
            instances.push_back(id);
            m_addresses.emplace(id, m.peers);
        }
    }
    std::map<team_name, allotment_bounds> owned;
    std::map<team_name, allotment_client::team_terms> terms;
    for (const auto &[team, allotment] : m_allotments) {
        const allotment_bounds bounds(allotment, m_options.tolerance);
        const auto owner = ownerOf(team, instances);
        if (owner == m_options.self)
            owned.emplace(team, bounds);
        terms.emplace(team, allotment_client::team_terms{bounds, owner});
    }
    std::set<instance_id> owners;
    for (const auto &[team, t] : terms) {
        if (t.owner && *t.owner != m_options.self)
            owners.insert(*t.owner);
    }
    m_owners.clear();
    for (const auto &owner : owners)
        m_owners.push_back(m_addresses.at(owner));
    m_count.ownedTeams.set(owned.size());
    m_owner.setTeams(owned, now);
    m_client.setTeams(terms, std::move(instances), now);
    if (!isEnabled())
        m_probeTimer.cancel();
    else if (!m_probeTimer)
        probe();
    sendDueMessages();
}

void allotment_exchange::count(const allotment_decision &decision) const
{
    switch (decision.verdict) {
    case allotment_verdict::Granted:
        m_count.granted.add();
        if (decision.token.from == allotment_token::source::Reserve)
            m_count.fromReserve.add();
        return;
    case allotment_verdict::OverLimit:
        m_count.overLimit.add();
        return;
    case allotment_verdict::Unavailable:
        m_count.unavailable.add();
        return;
    }
}

void allotment_exchange::take(const team_spec &team, time_point deadline, allotment_callback done)
{
    const time_point now = m_loop.now();
    m_client.take(team.name, deadline, now,
                  [this, now, done = std::move(done)](const allotment_decision &decision) {
                      count(decision);
                      if (m_loop.now() > now)
                          m_count.waited.add();
                      done(decision);
                  });
    sendDueMessages();
}

void allotment_exchange::giveBack(const allotment_token &token)
{
    m_count.givenBack.add();
    m_client.giveBack(token, m_loop.now());
    sendDueMessages();
}

void allotment_exchange::onTimer()
{
    m_client.onTimer(m_loop.now());
    sendDueMessages();
}

void allotment_exchange::sendDueMessages()
{
    for (const auto &message : m_client.takeDueMessages(m_loop.now()))
        send(message.owner, message.request);
    if (const auto next = m_client.nextDue())
        m_timer.wakeAt(*next);
}

void allotment_exchange::send(const instance_id &to, const allotment_request &request)
{
    http_request message;
    message.method = http_method::Post;
    message.path = allotmentPath;
    message.lane = allotmentPath;
    message.body = encodeAllotmentRequest(request);
    m_count.messagesSent.add();
    const auto address = m_addresses.find(to);
    m_http.send(address == m_addresses.end() ? endpoint() : address->second, message, replyTimeout,
                [this, to, alive = std::weak_ptr<int>(m_alive)](const http_outcome &outcome) {
                    if (!alive.expired())
                        onOutcome(to, outcome);
                });
}

void allotment_exchange::onOutcome(const instance_id &from, const http_outcome &outcome)
{
    const time_point now = m_loop.now();
    const char *reason = "no reply";
    if (outcome.ok()) {
        m_client.onPeerHeard(now);
        reason = "the instance has no such message; it runs an earlier build";
        if (outcome.reply.status == ok) {
            if (const auto reply = decodeAllotmentReply(outcome.reply.body)) {
                m_client.onReply(from, reply.value(), now);
                return sendDueMessages();
            }
            reason = "the reply is malformed";
        }
    }
    m_count.messagesFailed.add();
    m_log.decision("allotment_owner_not_answering")
            .add("instance", from.value())
            .add("reason", reason);
    m_client.onNoReply(from, now);
    sendDueMessages();
}

void allotment_exchange::handleRequest(const opaque_request &request, http_responder &client)
{
    m_count.messagesReceived.add();
    const auto read = decodeAllotmentRequest(request.body);
    if (!read) {
        client.reply({400, {}, read.error().message + "\n"});
        return;
    }
    onPeerHeard();
    client.reply({ok, {}, encodeAllotmentReply(m_owner.handle(read.value(), m_loop.now()))});
}

void allotment_exchange::probe()
{
    // A request that has to wait for a connection to another region misses its target.
    const bool isFirstRound = m_nextOwner < m_owners.size();
    m_probeTimer =
            m_loop.schedule(isFirstRound ? firstRoundInterval : probeInterval, [this] { probe(); });
    if (!m_owners.empty())
        sendEmpty(m_owners[m_nextOwner++ % m_owners.size()]);
    if (m_client.silence(m_loop.now()) < probeAfterSilence || m_addresses.size() < 2)
        return;
    auto target = std::next(m_addresses.begin(),
                            static_cast<std::ptrdiff_t>(m_nextProbe++ % m_addresses.size()));
    if (target->first == m_options.self) {
        if (++target == m_addresses.end())
            target = m_addresses.begin();
    }
    sendEmpty(target->second);
}

void allotment_exchange::sendEmpty(const endpoint &to)
{
    http_request message;
    message.method = http_method::Post;
    message.path = allotmentPath;
    message.lane = allotmentPath;
    message.body = encodeAllotmentRequest({{m_options.self, m_options.process, 0}, {}});
    m_count.messagesSent.add();
    m_http.send(to, message, replyTimeout,
                [this, alive = std::weak_ptr<int>(m_alive)](const http_outcome &outcome) {
                    if (!alive.expired() && outcome.ok())
                        m_client.onPeerHeard(m_loop.now());
                });
}

} // namespace peridotwheel
