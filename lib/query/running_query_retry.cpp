#include "engine_state.h"
#include "running_query.h"

#include <algorithm>

namespace peridotwheel {

namespace {

/// Limit of attempts per group of shards, hedges included. The budgets usually bind earlier.
constexpr unsigned maxAttemptsPerGroup = 12;
/// If no untried replica is left or the retry budget is exhausted, the group waits for this long,
/// doubled each time and with jitter, and may then use all replicas again.
constexpr duration initialBackoff = milliseconds(10);
constexpr unsigned maxBackoffs = 6;

} // namespace

void running_query::onFailure(const attempt &a, failure_cause cause)
{
    if (a.kind == attempt_kind::Probe)
        return;
    const auto groups = a.groups;
    for (const std::size_t i : groups) {
        if (!failGroup(i, cause))
            return;
    }
}

bool running_query::failGroup(std::size_t index, failure_cause cause)
{
    group_state &g = m_groups[index];
    if (g.done)
        return true;
    if (!m_request.repeatable && cause == failure_cause::MayHaveRun) {
        g.outcomeUnknown = true;
        return true;
    }
    m_versionLost |= cause == failure_cause::VersionLost;
    const bool restartable =
            m_request.repeatable && !m_request.pinnedVersion && !m_restarted && newerVersionKnown();
    if (cause == failure_cause::VersionLost && restartable) {
        restart();
        return false;
    }
    if (g.outstanding > 0 || g.retryAt)
        return true;
    if (!m_state.options.retries && g.sentBefore)
        return true;
    retry(index, cause);
    return true;
}

void running_query::retry(std::size_t index, failure_cause cause)
{
    group_state &g = m_groups[index];
    if (g.attemptCount >= maxAttemptsPerGroup || m_state.loop.now() >= m_answerDeadline)
        return;
    const auto untried = [&](const auto &server) {
        return server->eligible() && std::find(g.triedServers.begin(), g.triedServers.end(),
                                               server.get()) == g.triedServers.end();
    };
    const auto &replicas = g.group->replicas;
    if (std::none_of(replicas.begin(), replicas.end(), untried)) {
        scheduleBackoff(g);
        return;
    }
    // Asking each replica once for a version is exempt from the budget: a server without the
    // version only has to reject the request.
    const bool isExemptFromBudget =
            !g.sentBefore || (cause == failure_cause::VersionLost && g.backoffCount == 0);
    if (!isExemptFromBudget && !m_state.retryBudget.tryTake(m_state.loop.now())) {
        m_state.count.budgetDenials.add();
        scheduleBackoff(g);
        return;
    }
    dispatch({index}, g.sentBefore ? attempt_kind::Retry : attempt_kind::First);
}

void running_query::scheduleBackoff(group_state &g)
{
    const auto &replicas = g.group->replicas;
    const bool allLeaving = std::all_of(replicas.begin(), replicas.end(),
                                        [](const auto &server) { return server->leaving; });
    if (allLeaving || g.backoffCount >= maxBackoffs)
        return;
    g.triedServers.clear();
    const duration backoff = initialBackoff * (1U << g.backoffCount++);
    const double jitter = 1 + m_state.random.fraction();
    g.retryAt = m_state.loop.now() + fromMilliseconds(toMilliseconds(backoff) * jitter);
}

void running_query::withdrawUnneededAttempts()
{
    for (const auto &a : m_attempts) {
        const bool needed = std::any_of(a->groups.begin(), a->groups.end(),
                                        [this](std::size_t i) { return !m_groups[i].done; });
        if (needed || !a->pending() || a->sent())
            continue;
        a->discard();
        markAttemptClosed(*a);
    }
}

bool running_query::newerVersionKnown() const
{
    const shard_map_ptr &current = m_state.board.snapshots.value().current;
    return m_version && current && current->version > *m_version;
}

void running_query::restart()
{
    m_restarted = true;
    m_anySent = true;
    m_state.count.restarts.add();
    m_state.report(event_kind::Snapshot, &m_request,
                   "restart from version=" + std::to_string(m_version->value()));
    releaseAttempts();
    m_groups.clear();
    m_plans.clear();
    if (!pinShardMap())
        return;
    group_list all(m_groups.size());
    for (std::size_t i = 0; i < all.size(); ++i)
        all[i] = i;
    dispatch(all, attempt_kind::Retry);
}

} // namespace peridotwheel
