#include "allotment_exchange.h"

#include "allotment_codec.h"
#include "peridotwheel/counters/counter_set.h"
#include "peridotwheel/gateway/decision_log.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <string_view>

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
constexpr int notFound = 404;
/// An instance that goes before this one for a team is checked at most once in this time.
constexpr duration checkInterval = milliseconds(500);
/// Instances that are checked when this one is asked for a team whose bucket it does not keep.
constexpr std::size_t maxChecked = 3;
/// Buckets are offered to this many instances at the end of this one.
constexpr unsigned maxHandOverAttempts = 3;
/// Others count this instance for the reserve when they have read the list with it. Watchers read
/// it as soon as an instance states that it is newer than theirs.
constexpr duration listTravelTime = seconds(5);

/// Returns the reply to a message, which is empty if the other instance runs an earlier build that
/// does not know the message; nothing if there is no valid reply.
std::optional<allotment_reply> readReply(const http_outcome &outcome)
{
    if (!outcome.ok())
        return std::nullopt;
    if (outcome.reply.status == notFound)
        return allotment_reply();
    if (outcome.reply.status != ok)
        return std::nullopt;
    auto reply = decodeAllotmentReply(outcome.reply.body);
    return reply ? std::optional(std::move(reply).value()) : std::nullopt;
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
    , claimsSent(set.at("allotments.claims_sent"))
    , bucketsBegun(set.at("allotments.buckets_begun"))
    , bucketsTakenOver(set.at("allotments.buckets_taken_over"))
    , bucketsReleased(set.at("allotments.buckets_released"))
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
    , m_claims({m_options.self, m_options.address}, m_options.process, m_owner,
               {[this](const team_name &team) { m_client.dropTokens(team, m_loop.now()); },
                [this](const team_name &team) { onOwnerChanged(team); },
                [this](const char *event, const team_name &team, const instance_id &other) {
                    logBucket(event, team, other);
                }})
    , m_timer(loop, [this] { onTimer(); })
    , m_claimTimer(loop, [this] { sendDueClaims(); })
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
    const bool isListed = !m_options.isListed || m_options.isListed();
    listed_instances listed;
    if (m_options.listRevision)
        listed.revision = m_options.listRevision();
    std::vector<instance_id> instances;
    if (isEnabled()) {
        for (const auto &[id, m] : m_options.members()) {
            if (!isLive(m) || (id == m_options.self && !isListed))
                continue;
            instances.push_back(id);
            listed.addresses.emplace(id, m.peers);
        }
    }
    if (!m_listedAt && listed.addresses.count(m_options.self) != 0) {
        m_listedAt = now;
        m_client.setReserveFrom(now + listTravelTime);
    }
    std::map<team_name, allotment_bounds> bounds;
    std::map<team_name, allotment_client::team_terms> terms;
    std::vector<team_name> teams;
    for (const auto &[team, allotment] : m_allotments) {
        bounds.emplace(team, allotment_bounds(allotment, m_options.tolerance));
        terms.emplace(team, allotment_client::team_terms{bounds.at(team), std::nullopt});
        teams.push_back(team);
    }
    m_owner.setBounds(bounds, now);
    m_claims.setTeams(teams, now);
    m_claims.setInstances(std::move(listed), now);
    m_owners.clear();
    std::set<instance_id> known;
    for (auto &[team, t] : terms) {
        const auto owner = m_claims.ownerOf(team);
        if (!owner)
            continue;
        t.owner = owner->id;
        m_addresses[owner->id] = owner->address;
        if (owner->id != m_options.self && known.insert(owner->id).second)
            m_owners.push_back(*owner);
    }
    m_count.ownedTeams.set(m_owner.size());
    m_client.setTeams(terms, std::move(instances), now);
    if (!isEnabled())
        m_probeTimer.cancel();
    else if (!m_probeTimer)
        probe();
    sendDueClaims();
    sendDueMessages();
}

void allotment_exchange::onOwnerChanged(const team_name &team)
{
    const auto owner = m_claims.ownerOf(team);
    if (owner)
        m_addresses[owner->id] = owner->address;
    m_client.setOwner(team, owner ? std::optional(owner->id) : std::nullopt, m_loop.now());
}

void allotment_exchange::logBucket(const char *event, const team_name &team,
                                   const instance_id &other)
{
    const std::string_view what = event;
    counter &counted = what == "allotment_begun"        ? m_count.bucketsBegun
                       : what == "allotment_taken_over" ? m_count.bucketsTakenOver
                                                        : m_count.bucketsReleased;
    counted.add();
    m_count.ownedTeams.set(m_owner.size());
    m_log.decision(event).add("team", team.value()).add("instance", other.value());
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

allotment_request allotment_exchange::makeMessage() const
{
    allotment_request message;
    message.sender = {m_options.self, m_options.process, 0};
    message.address = m_options.address;
    message.version = m_version;
    message.listRevision = m_claims.listRevision();
    return message;
}

void allotment_exchange::sendMessage(const endpoint &to, const allotment_request &message,
                                     outcome_hook done)
{
    http_request request;
    request.method = http_method::Post;
    request.path = allotmentPath;
    request.lane = allotmentPath;
    request.body = encodeAllotmentRequest(message);
    m_count.messagesSent.add();
    m_http.send(to, request, replyTimeout,
                [done = std::move(done),
                 alive = std::weak_ptr<int>(m_alive)](const http_outcome &outcome) {
                    if (!alive.expired())
                        done(outcome);
                });
}

void allotment_exchange::send(const instance_id &to, const allotment_request &request)
{
    allotment_request message = makeMessage();
    message.sender = request.sender;
    message.reports = request.reports;
    const auto address = m_addresses.find(to);
    sendMessage(address == m_addresses.end() ? endpoint() : address->second, message,
                [this, to, sentAt = m_loop.now()](const http_outcome &outcome) {
                    onOutcome(to, sentAt, outcome);
                });
}

void allotment_exchange::onOutcome(const instance_id &from, time_point sentAt,
                                   const http_outcome &outcome)
{
    const time_point now = m_loop.now();
    const char *reason = "no reply";
    if (outcome.ok()) {
        m_client.onPeerHeard(now);
        reason = "the instance has no such message; it runs an earlier build";
        if (outcome.reply.status == ok) {
            if (const auto reply = decodeAllotmentReply(outcome.reply.body))
                return onReply(from, reply.value());
            reason = "the reply is malformed";
        }
    }
    m_count.messagesFailed.add();
    m_log.decision("allotment_owner_not_answering")
            .add("instance", from.value())
            .add("reason", reason);
    m_client.onNoReply(from, now);
    if (outcome.isRefused)
        onEnded(from);
    else if (!outcome.ok() && now - sentAt < replyTimeout && m_addresses.count(from) != 0)
        check({from, m_addresses.at(from)});
    sendDueMessages();
}

void allotment_exchange::onReply(const instance_id &from, const allotment_reply &reply)
{
    for (const auto &grant : reply.grants) {
        if (!grant.isOwner)
            m_claims.onOwnerNamed(grant.team, grant.owner);
    }
    const bool isOutdated = reply.version.value() != 0 && reply.version < m_version;
    m_client.onReply(from, reply, isOutdated, m_loop.now());
    sendDueMessages();
}

void allotment_exchange::sendDueClaims()
{
    if (!isEnabled())
        return;
    for (const outgoing_claim &claim : m_claims.takeDue(m_loop.now())) {
        allotment_request message = makeMessage();
        message.claims = claim.teams;
        message.isFinalClaim = claim.isFinal;
        message.ended = m_claims.ended();
        m_count.claimsSent.add();
        sendMessage(claim.to.address, message,
                    [this, claim](const http_outcome &outcome) { onClaimOutcome(claim, outcome); });
    }
    if (const auto next = m_claims.nextDue())
        m_claimTimer.wakeAt(*next);
}

void allotment_exchange::onClaimOutcome(const outgoing_claim &claim, const http_outcome &outcome)
{
    const time_point now = m_loop.now();
    if (outcome.ok())
        m_client.onPeerHeard(now);
    const auto reply = readReply(outcome);
    // Earlier builds state no version and answer no claims.
    const bool isUnanswered = reply && reply->answers.empty() && reply->version.value() != 0;
    if (!reply || isUnanswered) {
        m_log.decision("allotment_claim_not_answered").add("instance", claim.to.id.value());
        m_claims.onNoAnswer(claim, now);
        if (outcome.isRefused)
            onEnded(claim.to.id);
    } else {
        m_claims.onAnswers(claim, reply->answers, now);
    }
    sendDueClaims();
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
    const allotment_request &message = read.value();
    const time_point now = m_loop.now();
    onPeerHeard();
    m_claims.onHeard(message.sender.instance, message.sender.process);
    allotment_reply reply;
    reply.version = m_version;
    reply.grants.reserve(message.reports.size());
    for (const auto &report : message.reports)
        reply.grants.push_back(answerReport(message.sender, report));
    if (message.address) {
        const claimant from{message.sender, *message.address, message.listRevision, message.ended};
        for (const auto &team : message.claims)
            reply.answers.push_back(m_claims.onClaim(from, team, message.isFinalClaim, now));
        for (const auto &bucket : message.handedOver)
            reply.answers.push_back(m_claims.onHandedOver(from, bucket, now));
    }
    client.reply({ok, {}, encodeAllotmentReply(reply)});
    if (!reply.answers.empty())
        sendDueClaims();
}

allotment_grant allotment_exchange::answerReport(const allotment_sender &sender,
                                                 const allotment_report &report)
{
    const time_point now = m_loop.now();
    allotment_bucket *bucket = m_owner.find(report.team);
    // An instance that was cut off may have been replaced as the owner.
    if (bucket != nullptr && !m_client.isIsolated(now))
        return bucket->handle(sender, report, now);
    allotment_grant grant;
    grant.team = report.team;
    grant.isOwner = false;
    if (bucket != nullptr)
        return grant;
    const auto owner = m_claims.ownerOf(report.team);
    if (owner && owner->id != sender.instance)
        grant.owner = owner;
    auto before = m_claims.instancesBefore(report.team);
    before.resize(std::min(before.size(), maxChecked));
    for (const auto &peer : before) {
        if (peer.id != sender.instance)
            check(peer);
    }
    return grant;
}

void allotment_exchange::check(const allotment_peer &peer)
{
    const time_point now = m_loop.now();
    auto &checkedAt = m_checkedAt[peer.id];
    if (checkedAt != time_point() && now - checkedAt < checkInterval)
        return;
    checkedAt = now;
    sendEmpty(peer);
}

void allotment_exchange::onEnded(const instance_id &id)
{
    m_log.decision("allotment_owner_ended").add("instance", id.value());
    m_claims.onEnded(id, m_loop.now());
    sendDueClaims();
    sendDueMessages();
}

void allotment_exchange::handOver()
{
    std::map<instance_id, std::vector<allotment_bucket_state>> byInstance;
    std::map<instance_id, allotment_peer> successors;
    const time_point now = m_loop.now();
    m_claims.stop();
    for (const auto &team : m_owner.teams()) {
        const auto successor = m_claims.successorOf(team);
        auto bucket = m_owner.release(team, now);
        if (!successor || !bucket)
            continue;
        logBucket("allotment_released", team, successor->id);
        byInstance[successor->id].push_back(std::move(*bucket));
        successors.emplace(successor->id, *successor);
        m_claims.onOwnerNamed(team, successor);
    }
    for (const auto &[id, buckets] : byInstance)
        handOver(successors.at(id), buckets, 1);
    sendDueMessages();
}

void allotment_exchange::handOver(const allotment_peer &to,
                                  const std::vector<allotment_bucket_state> &buckets,
                                  unsigned attempts)
{
    allotment_request message = makeMessage();
    message.handedOver = buckets;
    sendMessage(to.address, message, [this, to, buckets, attempts](const http_outcome &outcome) {
        const auto reply = readReply(outcome);
        if (!reply) {
            // The instance may have taken the buckets over all the same, so that no other one may.
            m_log.decision("allotment_not_handed_over")
                    .add("instance", to.id.value())
                    .add("teams", static_cast<std::int64_t>(buckets.size()));
            return;
        }
        for (const auto &answer : reply->answers) {
            const auto bucket =
                    std::find_if(buckets.begin(), buckets.end(),
                                 [&answer](const auto &b) { return b.team == answer.team; });
            const bool isPassedOn = answer.result == claim_result::Outranked && answer.owner &&
                                    answer.owner->id != m_options.self && bucket != buckets.end() &&
                                    attempts < maxHandOverAttempts;
            if (!isPassedOn)
                continue;
            m_claims.onOwnerNamed(answer.team, answer.owner);
            handOver(*answer.owner, {*bucket}, attempts + 1);
        }
    });
}

void allotment_exchange::probe()
{
    // A request that has to wait for a connection to another region misses its target.
    const bool isFirstRound = m_nextOwner < m_owners.size();
    m_probeTimer =
            m_loop.schedule(isFirstRound ? firstRoundInterval : probeInterval, [this] { probe(); });
    if (!m_owners.empty())
        sendEmpty(m_owners[m_nextOwner++ % m_owners.size()]);
    const instance_addresses &instances = m_claims.instances();
    const std::size_t others = instances.size() - instances.count(m_options.self);
    if (m_client.silence(m_loop.now()) < probeAfterSilence || others == 0)
        return;
    auto target = std::next(instances.begin(),
                            static_cast<std::ptrdiff_t>(m_nextProbe++ % instances.size()));
    if (target->first == m_options.self) {
        if (++target == instances.end())
            target = instances.begin();
    }
    sendEmpty({target->first, target->second});
}

void allotment_exchange::sendEmpty(const allotment_peer &to)
{
    sendMessage(to.address, makeMessage(), [this, id = to.id](const http_outcome &outcome) {
        if (outcome.ok())
            m_client.onPeerHeard(m_loop.now());
        else if (outcome.isRefused)
            onEnded(id);
    });
}

} // namespace peridotwheel
