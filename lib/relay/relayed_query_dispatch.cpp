#include "peridotwheel/query/hedging_policy.h"
#include "peridotwheel/query/query_engine.h"
#include "relay_state.h"
#include "relayed_query.h"

#include <algorithm>

namespace peridotwheel {

namespace {

/// Parts for other data centres must be back before the origin's deadline: one way between regions
/// takes up to 20 ms.
constexpr duration remoteReturn = milliseconds(20);
constexpr duration nearReturn = milliseconds(1);
constexpr int returnShare = 10;
/// An outcome that is later than the deadline by this much has no use.
constexpr duration timeoutMargin = milliseconds(50);
constexpr duration cancelTimeout = milliseconds(500);
/// A denied hedge asks again after this long, while it is still useful.
constexpr duration hedgeAgain = milliseconds(10);
/// A late owner is avoided for this long; what it then gets shows whether it is back.
constexpr duration avoidFor = seconds(1);

} // namespace

bool relayed_query::triedBefore(const group_state &g, const relay_peer *peer) const
{
    return std::find(g.tried.begin(), g.tried.end(), peer) != g.tried.end();
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
relayed_query::chooseTarget(const group_state &g, std::uint64_t dispatch,
                            const std::vector<part_ptr> &started)
{
    const bool mayUseLocal = !triedBefore(g, nullptr);
    const bool localUsable = mayUseLocal && locallyUsable(g);
    if (localUsable && g.group->ownNear)
        return target{};
    const time_point now = m_state.loop.now();
    relay_peer_ptr best;
    int bestReluctance = 0;
    std::size_t bestLoad = 0;
    std::uint64_t ties = 0;
    for (const auto &owner : g.group->owners) {
        const relay_peer_ptr &peer = owner.peer;
        if (!peer->live || triedBefore(g, peer.get()))
            continue;
        const int reluctance = owner.reluctance(now);
        // An owner that gets a part anyway saves a message; the least loaded of these keeps the
        // parts even.
        const bool chosen = peer->dispatchMark == dispatch;
        const std::size_t load =
                chosen ? started[peer->partIndex]->groups.size() : m_groups.size() + 1;
        const bool better = !best || reluctance < bestReluctance ||
                            (reluctance == bestReluctance && load < bestLoad);
        const bool equal = best && reluctance == bestReluctance && load == bestLoad;
        ties = better ? 1 : ties + (equal ? 1 : 0);
        if (!better && !(equal && m_state.random.below(ties) == 0))
            continue;
        best = peer;
        bestReluctance = reluctance;
        bestLoad = load;
    }
    // An owner next to its server leaves the scarce connections to remote servers free.
    if (localUsable && (!best || bestReluctance > 0))
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
    const std::uint64_t mark = m_state.nextDispatch++;
    std::vector<part_ptr> started;
    part_ptr local;
    for (const std::size_t i : groups) {
        group_state &g = m_groups[i];
        const auto to = chooseTarget(g, mark, started);
        if (!to) {
            // Views that differ may name no owner that is known here yet.
            if (g.outstanding == 0)
                pause(g, 1 + m_state.random.fraction());
            continue;
        }
        relay_peer *peer = to->peer.get();
        part_ptr p = peer == nullptr ? local : nullptr;
        if (peer != nullptr && peer->dispatchMark == mark)
            p = started[peer->partIndex];
        if (!p) {
            p = std::make_shared<part>();
            p->id = m_state.nextPart++;
            p->peer = to->peer;
            p->kind = kind;
            p->sentAt = m_state.loop.now();
            if (peer != nullptr) {
                peer->dispatchMark = mark;
                peer->partIndex = started.size();
            } else {
                local = p;
            }
            started.push_back(p);
        }
        p->groups.push_back(i);
        p->shards.insert(p->shards.end(), g.shards.begin(), g.shards.end());
        g.tried.push_back(peer);
        ++g.outstanding;
        planHedge(g);
    }
    if (kind == part_kind::First) {
        const auto count = static_cast<std::uint32_t>(groups.size());
        m_state.hedges.onFirstAttempts(count, m_state.loop.now());
        m_state.retries.onFirstAttempts(count, m_state.loop.now());
    }
    for (const auto &p : started)
        m_open.push_back(p);
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
    input.target =
            m_request.arrival + m_request.spec.latencyTarget - (m_request.deadline - m_finishAt);
    input.deadline = m_finishAt;
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
        if (!g.group->plain)
            continue;
        r.services.push_back(g.group->service);
        p.plain.push_back(g.shards.front());
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
    const duration left = std::max(m_finishAt - now, duration::zero());
    const duration back = p->peer->sameDataCentre ? nearReturn : remoteReturn;
    request.deadline = m_finishAt - std::min(back, left / returnShare);
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
    request.deadline = m_finishAt;
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
        const relay_peer *late = g.tried.back();
        // Work that waits for an owner known to be late is no load there, so that doing it
        // elsewhere is a retry.
        const bool known = late != nullptr && now < late->avoidUntil;
        if ((known ? m_state.retries : m_state.hedges).tryTake(now)) {
            due.push_back(i);
            continue;
        }
        m_state.count.denied.add();
        if (now + hedgeAgain < m_finishAt)
            g.hedgeAt = now + hedgeAgain;
    }
    for (const std::size_t i : due) {
        for (const auto &p : m_open) {
            const bool late = std::find(p->groups.begin(), p->groups.end(), i) != p->groups.end();
            if (late && p->peer)
                p->peer->avoidUntil = now + avoidFor;
        }
    }
    if (!due.empty())
        dispatch(due, part_kind::Hedge);
}

} // namespace peridotwheel
