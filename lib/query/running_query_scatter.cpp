#include "engine_state.h"
#include "peridotwheel/query/hedging_policy.h"
#include "running_query.h"

#include <algorithm>

namespace peridotwheel {

namespace {

/// A denied hedge asks again after this long, while it is still useful.
constexpr duration hedgeAgain = milliseconds(10);

} // namespace

std::shared_ptr<backend_server>
running_query::chooseServer(const group_state &g, std::uint64_t scatter, attempt_kind kind)
{
    auto &candidates = m_state.candidates;
    candidates.clear();
    for (const auto &server : g.group->replicas) {
        const bool tried = std::find(g.tried.begin(), g.tried.end(), server.get()) != g.tried.end();
        const bool avoid = kind == attempt_kind::Hedge && server->stats.suspect();
        selection_candidate c;
        c.stats = &server->stats;
        c.limit = server->limit();
        c.waiting = static_cast<std::uint32_t>(server->pool.waiting());
        c.usable = !tried && !avoid && server->eligible();
        c.unconnected = !server->pool.connected();
        c.inScatter = server->scatterMark == scatter;
        c.cold = server->cold();
        candidates.push_back(c);
    }
    const auto best = m_state.selector.choose(candidates, m_state.loop.now());
    return best ? g.group->replicas[*best] : nullptr;
}

attempt &running_query::attemptFor(const std::shared_ptr<backend_server> &server,
                                   std::uint64_t scatter,
                                   std::vector<std::shared_ptr<attempt>> &started,
                                   attempt_kind kind, bool plain)
{
    if (server->scatterMark == scatter)
        return *started[server->scatterIndex];
    server->scatterMark = scatter;
    server->scatterIndex = started.size();
    started.push_back(std::make_shared<attempt>(m_state, *this, server, kind));
    started.back()->plain = plain;
    return *started.back();
}

void running_query::dispatch(const group_list &groups, attempt_kind kind)
{
    const std::uint64_t scatter = m_state.nextScatter++;
    std::vector<std::shared_ptr<attempt>> started;
    started.reserve(groups.size());
    for (const std::size_t i : groups) {
        group_state &g = m_groups[i];
        const auto server = chooseServer(g, scatter, kind);
        if (!server) {
            if (g.outstanding == 0)
                park(g);
            continue;
        }
        attempt &a = attemptFor(server, scatter, started, kind, g.group->plain);
        a.groups.push_back(i);
        a.shards.insert(a.shards.end(), g.shards.begin(), g.shards.end());
        g.tried.push_back(server.get());
        ++g.tries;
        ++g.outstanding;
        planHedge(g, *server);
    }
    submit(started);
}

void running_query::submit(const std::vector<std::shared_ptr<attempt>> &started)
{
    const time_point now = m_state.loop.now();
    std::uint32_t first = 0;
    for (const auto &a : started) {
        first += a->kind == attempt_kind::First ? 1 : 0;
        m_attempts.push_back(a);
        if (a->plain) {
            m_merge->expectPlain(a->id, a->shards.front());
        } else {
            std::sort(a->shards.begin(), a->shards.end());
            m_merge->expect(a->id, a->shards);
        }
        if (a->kind != attempt_kind::First) {
            m_hasExtra = true;
            const bool hedge = a->kind == attempt_kind::Hedge;
            m_state.report(hedge ? event_kind::Hedge : event_kind::Retry, &m_request,
                           "attempt=" + a->wireId() + " server=" + a->server->record.id.value());
        }
    }
    m_state.hedges.onFirstAttempts(first, now);
    m_state.retries.onFirstAttempts(first, now);
    for (const auto &a : started)
        a->server->pool.submit(a);
}

void running_query::probeSuspects()
{
    // A probe doubles a request whose answer comes from elsewhere: it costs the query nothing, and
    // unlike the health endpoint it shows whether the server answers queries.
    if (m_over || !m_request.repeatable)
        return;
    const time_point now = m_state.loop.now();
    const std::uint64_t scatter = m_state.nextScatter++;
    std::vector<std::shared_ptr<attempt>> started;
    for (std::size_t i = 0; i < m_groups.size(); ++i) {
        group_state &g = m_groups[i];
        for (const auto &server : g.group->replicas) {
            const bool tried =
                    std::find(g.tried.begin(), g.tried.end(), server.get()) != g.tried.end();
            const bool due = server->stats.probeDue(now) && server->eligible();
            if (!due || tried || !server->pool.hasIdle())
                continue;
            server->stats.onProbe(now);
            attempt &a = attemptFor(server, scatter, started, attempt_kind::Probe, g.group->plain);
            a.groups.push_back(i);
            a.shards.insert(a.shards.end(), g.shards.begin(), g.shards.end());
            g.tried.push_back(server.get());
        }
    }
    submit(started);
}

void running_query::planHedge(group_state &g, const backend_server &server)
{
    g.hedgeAt.reset();
    if (!m_request.repeatable || !m_state.options.hedging || g.group->replicas.size() < 2)
        return;
    const time_point now = m_state.loop.now();
    duration nearest = duration::max();
    for (const auto &other : g.group->replicas) {
        const bool tried = std::find(g.tried.begin(), g.tried.end(), other.get()) != g.tried.end();
        if (!tried && other->eligible() && !other->stats.suspect())
            nearest = std::min(nearest, other->stats.expectedLatency(now));
    }
    if (nearest == duration::max())
        return;
    hedging_input input;
    input.sentAt = now;
    input.target = m_request.arrival + m_request.spec.latencyTarget - m_state.options.answerMargin;
    input.deadline = m_finishAt;
    input.p95 = server.service.latency.p95();
    input.distance = std::max(nearest - server.stats.expectedLatency(now), duration::zero());
    g.hedgeAt = hedgeTime(input);
}

attempt *running_query::pendingAttempt(std::size_t group) const
{
    for (const auto &a : m_attempts) {
        const bool carries =
                std::find(a->groups.begin(), a->groups.end(), group) != a->groups.end();
        if (carries && a->pending() && a->kind != attempt_kind::Probe)
            return a.get();
    }
    return nullptr;
}

bool running_query::hasAlternative(const group_state &g) const
{
    return std::any_of(g.group->replicas.begin(), g.group->replicas.end(), [&](const auto &server) {
        const bool tried = std::find(g.tried.begin(), g.tried.end(), server.get()) != g.tried.end();
        return !tried && server->eligible() && !server->stats.suspect();
    });
}

bool running_query::takeHedgeToken(const attempt &first, time_point now)
{
    // Work stranded on a suspect server is no load there, so that doing it elsewhere is a retry.
    auto &budget = first.server->stats.suspect() ? m_state.retries : m_state.hedges;
    if (budget.tryTake(now))
        return true;
    m_state.count.denied.add();
    return false;
}

void running_query::sendDueHedges(time_point now)
{
    group_list due;
    for (std::size_t i = 0; i < m_groups.size(); ++i) {
        group_state &g = m_groups[i];
        if (g.done || !g.hedgeAt || now < *g.hedgeAt)
            continue;
        g.hedgeAt.reset();
        attempt *first = pendingAttempt(i);
        if (first == nullptr || !hasAlternative(g))
            continue;
        if (!first->sent()) {
            moveElsewhere(*first);
            continue;
        }
        if (takeHedgeToken(*first, now)) {
            due.push_back(i);
        } else if (now + hedgeAgain < m_finishAt) {
            g.hedgeAt = now + hedgeAgain;
        }
    }
    if (!due.empty())
        dispatch(due, attempt_kind::Hedge);
}

void running_query::moveElsewhere(attempt &waiting)
{
    waiting.giveUp();
    settle(waiting);
    onFailure(waiting, failure_cause::NotSent);
}

void running_query::onStuck(const attempt &a)
{
    const bool isProbe = a.kind == attempt_kind::Probe;
    if (m_over || isProbe || !m_request.repeatable || !m_state.options.retries)
        return;
    const auto self = shared_from_this();
    const time_point now = m_state.loop.now();
    group_list stranded;
    for (const std::size_t i : a.groups) {
        group_state &g = m_groups[i];
        if (g.done || g.outstanding > 1 || !hasAlternative(g))
            continue;
        if (takeHedgeToken(a, now))
            stranded.push_back(i);
    }
    if (stranded.empty())
        return;
    dispatch(stranded, attempt_kind::Retry);
    checkEnd();
}

} // namespace peridotwheel
