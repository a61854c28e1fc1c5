#include "peridotwheel/query/hedging_policy.h"
#include "peridotwheel/query/query_engine.h"
#include "relay_state.h"
#include "relayed_query.h"

#include <algorithm>

namespace peridotwheel {

namespace {

/// Time reserved for the way of the answer to the origin, so that it arrives before the origin's
/// deadline: one way between regions takes up to 20 ms.
constexpr duration returnTimeAcrossDataCentres = milliseconds(20);
constexpr duration returnTimeWithinDataCentre = milliseconds(1);
/// The return time takes at most this fraction (1/n) of the remaining time.
constexpr int returnTimeDivisor = 10;
/// Added to the remaining time for the request timeout; a later outcome is of no use.
constexpr duration timeoutMargin = milliseconds(50);
constexpr duration cancelTimeout = milliseconds(500);
/// A hedge that the budget denied is tried again after this long, if that is still before the
/// answer deadline.
constexpr duration hedgeRetryDelay = milliseconds(10);
/// An owner whose part is hedged is avoided for this long; the next part that it then gets shows
/// whether it has recovered.
constexpr duration lateOwnerAvoidance = seconds(1);

} // namespace

bool relayed_query::triedBefore(const group_state &g, const relay_peer *peer) const
{
    return std::find(g.triedTargets.begin(), g.triedTargets.end(), peer) != g.triedTargets.end();
}

bool relayed_query::locallyUsable(const group_state &g) const
{
    const auto &own = g.group->ownServers;
    return std::any_of(own.begin(), own.end(),
                       [this](const auto &id) { return m_state.directory.usable(id); });
}

bool relayed_query::hasAlternative(const group_state &g) const
{
    if (!triedBefore(g, nullptr) && locallyUsable(g))
        return true;
    const auto &owners = g.group->owners;
    return std::any_of(owners.begin(), owners.end(), [&](const relay_owner &o) {
        return o.peer->live && !triedBefore(g, o.peer.get());
    });
}

std::optional<relayed_query::target>
relayed_query::chooseTarget(const group_state &g, std::uint64_t dispatchId,
                            const std::vector<part_ptr> &started)
{
    const bool mayUseLocal = !triedBefore(g, nullptr);
    const bool localUsable = mayUseLocal && locallyUsable(g);
    if (localUsable && g.group->hasOwnServerInSameDataCentre)
        return target{};
    const time_point now = m_state.loop.now();
    relay_peer_ptr best;
    int bestPenalty = 0;
    std::size_t bestLoad = 0;
    std::uint64_t ties = 0;
    for (const auto &owner : g.group->owners) {
        const relay_peer_ptr &peer = owner.peer;
        if (!peer->live || triedBefore(g, peer.get()))
            continue;
        const int penalty = owner.penalty(now);
        // Prefer owners that already get a part in this dispatch, which saves a message, and of
        // these the one with the fewest groups, which balances the parts.
        const bool chosen = peer->lastDispatchId == dispatchId;
        const std::size_t load =
                chosen ? started[peer->partIndex]->groups.size() : m_groups.size() + 1;
        const bool better =
                !best || penalty < bestPenalty || (penalty == bestPenalty && load < bestLoad);
        const bool equal = best && penalty == bestPenalty && load == bestLoad;
        ties = better ? 1 : ties + (equal ? 1 : 0);
        if (!better && !(equal && m_state.random.below(ties) == 0))
            continue;
        best = peer;
        bestPenalty = penalty;
        bestLoad = load;
    }
    // Own connections lead only to other data centres here. An owner of this data centre with a
    // server in it is preferred, which leaves the scarce connections to remote servers free.
    if (localUsable && (!best || bestPenalty > 0))
        return target{};
    if (best)
        return target{best};
    // A connection to a suspect server is better than none.
    if (mayUseLocal && !g.group->ownServers.empty())
        return target{};
    return std::nullopt;
}

void relayed_query::dispatch(const group_list &groups, part_kind kind)
{
    const std::uint64_t dispatchId = m_state.nextDispatchId++;
    std::vector<part_ptr> started;
    part_ptr local;
    for (const std::size_t i : groups) {
        group_state &g = m_groups[i];
        const auto to = chooseTarget(g, dispatchId, started);
        if (!to) {
            // No target is left. While the instances' views differ, all owners may be unknown here.
            if (g.outstanding == 0)
                scheduleBackoff(g, 1 + m_state.random.fraction());
            continue;
        }
        relay_peer *peer = to->peer.get();
        part_ptr p = peer == nullptr ? local : nullptr;
        if (peer != nullptr && peer->lastDispatchId == dispatchId)
            p = started[peer->partIndex];
        if (!p) {
            p = std::make_shared<part>();
            p->id = m_state.nextPartId++;
            p->peer = to->peer;
            p->kind = kind;
            p->sentAt = m_state.loop.now();
            if (peer != nullptr) {
                peer->lastDispatchId = dispatchId;
                peer->partIndex = started.size();
            } else {
                local = p;
            }
            started.push_back(p);
        }
        p->groups.push_back(i);
        p->shards.insert(p->shards.end(), g.shards.begin(), g.shards.end());
        g.triedTargets.push_back(peer);
        ++g.outstanding;
        planHedge(g);
    }
    if (kind == part_kind::First) {
        const auto count = static_cast<std::uint32_t>(groups.size());
        m_state.hedges.onFirstAttempts(count, m_state.loop.now());
        m_state.retries.onFirstAttempts(count, m_state.loop.now());
    }
    for (const auto &p : started)
        m_openParts.push_back(p);
    for (const auto &p : started)
        send(p);
}

void relayed_query::planHedge(group_state &g)
{
    g.hedgeAt.reset();
    if (!m_request.repeatable)
        return;
    hedging_input input;
    input.sentAt = m_state.loop.now();
    input.target = m_request.arrival + m_request.spec.latencyTarget -
                   (m_request.deadline - m_answerDeadline);
    input.deadline = m_answerDeadline;
    input.p95 = m_state.partLatency.p95();
    g.hedgeAt = hedgeTime(input);
}

query_request relayed_query::partRequest(part &p) const
{
    query_request r = m_request;
    r.services.clear();
    r.shards.clear();
    r.cancellation = nullptr;
    std::sort(p.shards.begin(), p.shards.end());
    for (const std::size_t i : p.groups) {
        const group_state &g = m_groups[i];
        if (!g.group->isPlain)
            continue;
        r.services.push_back(g.group->service);
        p.plainNumbers.push_back(g.shards.front());
    }
    for (const shard_id s : p.shards) {
        if (s.value() < firstPlainShard)
            r.shards.push_back(s);
    }
    if (!r.shards.empty())
        r.pinnedVersion = m_version;
    return r;
}

void relayed_query::send(const part_ptr &p)
{
    query_request request = partRequest(*p);
    const time_point now = m_state.loop.now();
    if (p->kind != part_kind::First) {
        const bool hedge = p->kind == part_kind::Hedge;
        (hedge ? m_state.count.hedges : m_state.count.retries).add();
        m_state.report(hedge ? event_kind::Hedge : event_kind::Retry, m_request,
                       "relay part=" + std::to_string(p->id) +
                               " to=" + (p->peer ? p->peer->id.value() : m_state.self.value()));
    }
    if (!p->peer)
        return sendLocally(p, std::move(request));
    const duration left = std::max(m_answerDeadline - now, duration::zero());
    const duration returnTime =
            p->peer->sameDataCentre ? returnTimeWithinDataCentre : returnTimeAcrossDataCentres;
    request.deadline = m_answerDeadline - std::min(returnTime, left / returnTimeDivisor);
    http_request message;
    message.method = http_method::Post;
    message.path = relayQueryPath;
    message.headers.emplace_back("Content-Type", "application/vnd.apache.thrift.compact");
    const relay_key key{m_state.self, m_state.start, p->id};
    message.body = encodeRelayQuery({key, std::move(request)}, now);
    m_state.count.messages.add();
    m_state.http.send(p->peer->address, message, left + timeoutMargin,
                      [weak = weak_from_this(), p](const http_outcome &outcome) {
                          if (const auto self = weak.lock())
                              self->onRemoteOutcome(p, outcome);
                      });
}

void relayed_query::sendLocally(const part_ptr &p, query_request request)
{
    request.deadline = m_answerDeadline;
    p->cancellation = std::make_shared<query_cancellation>();
    request.cancellation = p->cancellation;
    m_state.count.localParts.add();
    m_state.local.run(std::move(request), [weak = weak_from_this(), p](query_answer answer) {
        const auto self = weak.lock();
        if (!self)
            return;
        relay_answer out;
        out.id = p->id;
        out.answer = std::move(answer);
        self->onAnswer(p, std::move(out));
    });
}

void relayed_query::cancel(const part &p)
{
    m_state.count.cancels.add();
    if (!p.peer) {
        p.cancellation->cancel();
        return;
    }
    http_request message;
    message.method = http_method::Post;
    message.path = relayCancelPath;
    message.headers.emplace_back("Content-Type", "application/vnd.apache.thrift.compact");
    message.body = encodeRelayCancel({m_state.self, m_state.start, p.id});
    m_state.http.send(p.peer->address, message, cancelTimeout, [](const http_outcome &) {});
}

void relayed_query::sendDueHedges(time_point now)
{
    group_list due;
    for (std::size_t i = 0; i < m_groups.size(); ++i) {
        group_state &g = m_groups[i];
        if (g.done || !g.hedgeAt || now < *g.hedgeAt)
            continue;
        g.hedgeAt.reset();
        if (g.outstanding == 0 || !hasAlternative(g))
            continue;
        const relay_peer *late = g.triedTargets.back();
        // Work that waits for an owner already known to be late is no load there, so that running
        // it elsewhere counts as a retry.
        const bool isKnownLate = late != nullptr && now < late->avoidUntil;
        if ((isKnownLate ? m_state.retries : m_state.hedges).tryTake(now)) {
            due.push_back(i);
            continue;
        }
        m_state.count.budgetDenials.add();
        if (now + hedgeRetryDelay < m_answerDeadline)
            g.hedgeAt = now + hedgeRetryDelay;
    }
    for (const std::size_t i : due) {
        for (const auto &p : m_openParts) {
            const bool late = std::find(p->groups.begin(), p->groups.end(), i) != p->groups.end();
            if (late && p->peer)
                p->peer->avoidUntil = now + lateOwnerAvoidance;
        }
    }
    if (!due.empty())
        dispatch(due, part_kind::Hedge);
}

} // namespace peridotwheel
