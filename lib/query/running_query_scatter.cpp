#include "engine_state.h"
#include "peridotwheel/query/hedging_policy.h"
#include "running_query.h"

#include <algorithm>

namespace peridotwheel {

namespace {

/// A hedge that the budget denied is tried again after this long, as long as its reply could still
/// be useful.
constexpr duration hedgeRetryDelay = milliseconds(10);

} // namespace

std::shared_ptr<backend_server>
running_query::chooseServer(const group_state &g, std::uint64_t scatter, attempt_kind kind)
{
    auto &candidates = m_state.candidates;
    candidates.clear();
    for (const auto &server : g.group->replicas) {
        const bool tried = std::find(g.triedServers.begin(), g.triedServers.end(), server.get()) !=
                           g.triedServers.end();
        const bool avoid = kind == attempt_kind::Hedge && server->stats.suspect();
        selection_candidate c;
        c.stats = &server->stats;
        c.limit = server->limit();
        c.waiting = static_cast<std::uint32_t>(server->pool.waiting());
        c.usable = !tried && !avoid && server->eligible();
        c.unconnected = !server->pool.connected();
        c.inScatter = server->lastScatterId == scatter;
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
    if (server->lastScatterId == scatter)
        return *started[server->scatterAttemptIndex];
    server->lastScatterId = scatter;
    server->scatterAttemptIndex = started.size();
    started.push_back(std::make_shared<attempt>(m_state, *this, server, kind));
    started.back()->plain = plain;
    return *started.back();
}

void running_query::dispatch(const group_list &groups, attempt_kind kind)
{
    const std::uint64_t scatter = m_state.nextScatterId++;
    std::vector<std::shared_ptr<attempt>> started;
    started.reserve(groups.size());
    for (const std::size_t i : groups) {
        group_state &g = m_groups[i];
        const auto server = chooseServer(g, scatter, kind);
        if (!server) {
            if (g.outstanding == 0)
                scheduleBackoff(g);
            continue;
        }
        attempt &a = attemptFor(server, scatter, started, kind, g.group->plain);
        a.groups.push_back(i);
        a.shards.insert(a.shards.end(), g.shards.begin(), g.shards.end());
        g.triedServers.push_back(server.get());
        ++g.attemptCount;
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
            m_merger->openPlainAttempt(a->id, a->shards.front());
        } else {
            std::sort(a->shards.begin(), a->shards.end());
            m_merger->openAttempt(a->id, a->shards);
        }
        if (a->kind != attempt_kind::First) {
            m_hasExtraAttempts = true;
            const bool hedge = a->kind == attempt_kind::Hedge;
            m_state.report(hedge ? event_kind::Hedge : event_kind::Retry, &m_request,
                           "attempt=" + a->wireId() + " server=" + a->server->record.id.value());
        }
    }
    m_state.hedgeBudget.onFirstAttempts(first, now);
    m_state.retryBudget.onFirstAttempts(first, now);
    for (const auto &a : started)
        a->server->pool.submit(a);
}

void running_query::probeSuspects()
{
    // A probe duplicates a request whose answer comes from another server. It does not delay the
    // query, and unlike the health endpoint it shows whether the server answers queries.
    if (m_finished || !m_request.repeatable)
        return;
    const time_point now = m_state.loop.now();
    const std::uint64_t scatter = m_state.nextScatterId++;
    std::vector<std::shared_ptr<attempt>> started;
    for (std::size_t i = 0; i < m_groups.size(); ++i) {
        group_state &g = m_groups[i];
        for (const auto &server : g.group->replicas) {
            const bool tried = std::find(g.triedServers.begin(), g.triedServers.end(),
                                         server.get()) != g.triedServers.end();
            const bool due = server->stats.probeDue(now) && server->eligible();
            if (!due || tried || !server->pool.hasIdle())
                continue;
            server->stats.onProbe(now);
            attempt &a = attemptFor(server, scatter, started, attempt_kind::Probe, g.group->plain);
            a.groups.push_back(i);
            a.shards.insert(a.shards.end(), g.shards.begin(), g.shards.end());
            g.triedServers.push_back(server.get());
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
        const bool tried = std::find(g.triedServers.begin(), g.triedServers.end(), other.get()) !=
                           g.triedServers.end();
        if (!tried && other->eligible() && !other->stats.suspect())
            nearest = std::min(nearest, other->stats.expectedLatency(now));
    }
    if (nearest == duration::max())
        return;
    hedging_input input;
    input.sentAt = now;
    input.target = m_request.arrival + m_request.spec.latencyTarget - m_state.options.answerMargin;
    input.deadline = m_answerDeadline;
    input.p95 = server.service.latency.p95();
    input.extraLatency = std::max(nearest - server.stats.expectedLatency(now), duration::zero());
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
        const bool tried = std::find(g.triedServers.begin(), g.triedServers.end(), server.get()) !=
                           g.triedServers.end();
        return !tried && server->eligible() && !server->stats.suspect();
    });
}

bool running_query::takeBudgetToken(const attempt &first, time_point now)
{
    // An attempt that is stranded on a suspect server puts no load on that server, so repeating it
    // elsewhere counts as a retry and not as a hedge.
    auto &budget = first.server->stats.suspect() ? m_state.retryBudget : m_state.hedgeBudget;
    if (budget.tryTake(now))
        return true;
    m_state.count.budgetDenials.add();
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
            moveToAnotherServer(*first);
            continue;
        }
        if (takeBudgetToken(*first, now)) {
            due.push_back(i);
        } else if (now + hedgeRetryDelay < m_answerDeadline) {
            g.hedgeAt = now + hedgeRetryDelay;
        }
    }
    if (!due.empty())
        dispatch(due, attempt_kind::Hedge);
}

void running_query::moveToAnotherServer(attempt &waiting)
{
    waiting.discard();
    markAttemptClosed(waiting);
    onFailure(waiting, failure_cause::NotSent);
}

void running_query::onServerSuspected(const attempt &a)
{
    const bool isProbe = a.kind == attempt_kind::Probe;
    if (m_finished || isProbe || !m_request.repeatable || !m_state.options.retries)
        return;
    const auto self = shared_from_this();
    const time_point now = m_state.loop.now();
    group_list stranded;
    for (const std::size_t i : a.groups) {
        group_state &g = m_groups[i];
        if (g.done || g.outstanding > 1 || !hasAlternative(g))
            continue;
        if (takeBudgetToken(a, now))
            stranded.push_back(i);
    }
    if (stranded.empty())
        return;
    dispatch(stranded, attempt_kind::Retry);
    finishOrArmTimer();
}

} // namespace peridotwheel
