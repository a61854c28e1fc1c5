#include "peridotwheel/query/query_engine.h"
#include "relay_state.h"
#include "relayed_query.h"

#include <algorithm>

namespace peridotwheel {

namespace {

/// If no untried target is left or the retry budget is exhausted, the group waits for this long,
/// doubled each time and with jitter, and may then use all owners again: differing views of the
/// instances converge meanwhile.
constexpr duration initialBackoff = milliseconds(10);
constexpr unsigned maxBackoffs = 3;
/// An owner whose connection broke, or that could not be reached, is avoided for this long.
constexpr duration failedOwnerAvoidance = seconds(1);

} // namespace

bool relayed_query::closePart(const part_ptr &p)
{
    const auto it = std::find(m_openParts.begin(), m_openParts.end(), p);
    if (m_finished || it == m_openParts.end())
        return false;
    m_openParts.erase(it);
    for (const std::size_t i : p->groups)
        --m_groups[i].outstanding;
    return true;
}

void relayed_query::onRemoteOutcome(const part_ptr &p, const http_outcome &outcome)
{
    const auto self = shared_from_this();
    const time_point now = m_state.loop.now();
    if (!outcome.ok()) {
        p->peer->avoidUntil = now + failedOwnerAvoidance;
        m_state.count.failures.add();
        const bool notSent = outcome.failure == transport_failure::NotSent;
        return onPartFailure(p, notSent ? failure_cause::NotRun : failure_cause::MayHaveRun);
    }
    const int status = outcome.reply.status;
    if (status != 200) {
        m_state.count.failures.add();
        // The owner rejects a request with these statuses before it runs anything.
        const bool notRun = status == 400 || status == 404 || status == 405;
        return onPartFailure(p, notRun ? failure_cause::NotRun : failure_cause::MayHaveRun);
    }
    auto answer = decodeRelayAnswer(outcome.reply.body);
    if (!answer || answer.value().id != p->id) {
        m_state.count.failures.add();
        return onPartFailure(p, failure_cause::MayHaveRun);
    }
    p->peer->avoidUntil = now;
    onAnswer(p, std::move(answer.value()));
}

bool relayed_query::answeredNotOwned(const part &p, const group_state &g,
                                     const std::vector<shard_id> &notOwned)
{
    const auto sentAs = [&p](shard_id shard) {
        const auto it = std::find(p.plainNumbers.begin(), p.plainNumbers.end(), shard);
        if (it == p.plainNumbers.end())
            return shard;
        return shard_id(firstPlainShard + static_cast<std::uint32_t>(it - p.plainNumbers.begin()));
    };
    return std::all_of(g.shards.begin(), g.shards.end(), [&](shard_id shard) {
        return std::binary_search(notOwned.begin(), notOwned.end(), sentAs(shard));
    });
}

void relayed_query::onAnswer(const part_ptr &p, relay_answer answer)
{
    const auto self = shared_from_this();
    if (!closePart(p))
        return;
    query_answer &a = answer.answer;
    const bool someRan = !a.results.empty() || a.ran == ran_state::Yes;
    m_anySent = m_anySent || someRan || a.ran == ran_state::Unknown;
    m_ranSomewhere = m_ranSomewhere || someRan;
    m_state.count.notOwned.add(answer.notOwned.size());
    if (someRan && p->kind == part_kind::First)
        m_state.partLatency.add(m_state.loop.now() - p->sentAt);
    // The owner numbers the plain services of its part from `firstPlainShard`; map the numbers back
    // to those of this query.
    for (auto &r : a.results) {
        if (r.shard.value() < firstPlainShard)
            continue;
        const std::size_t index = r.shard.value() - firstPlainShard;
        r.shard = index < p->plainNumbers.size() ? p->plainNumbers[index] : shard_id(~0U);
    }
    m_state.count.resultsDropped.add(
            m_merger->addPartResults(p->shards, a.version, std::move(a.results)));
    if (a.versionLost && mayRestart())
        return restart();
    // If a request that is not repeatable has a partial answer, the missing shards did not run.
    const bool restNotRun =
            a.ran == ran_state::No || (!m_request.repeatable && a.kind == answer_kind::Partial);
    group_list again;
    for (const std::size_t i : p->groups) {
        group_state &g = m_groups[i];
        const auto has = [this](shard_id shard) { return m_merger->has(shard); };
        g.done = g.done || std::all_of(g.shards.begin(), g.shards.end(), has);
        const bool notRun = restNotRun || answeredNotOwned(*p, g, answer.notOwned);
        if (failGroup(g, notRun ? failure_cause::NotRun : failure_cause::MayHaveRun))
            again.push_back(i);
    }
    retry(again);
    cancelUnneededParts();
    finishOrArmTimer();
}

void relayed_query::onPartFailure(const part_ptr &p, failure_cause cause)
{
    const auto self = shared_from_this();
    if (!closePart(p))
        return;
    m_anySent = m_anySent || cause == failure_cause::MayHaveRun;
    group_list again;
    for (const std::size_t i : p->groups) {
        if (failGroup(m_groups[i], cause))
            again.push_back(i);
    }
    retry(again);
    finishOrArmTimer();
}

void relayed_query::onPeerDown(const relay_peer &peer)
{
    const auto self = shared_from_this();
    const auto open = m_openParts;
    for (const auto &p : open) {
        if (p->peer.get() == &peer)
            onPartFailure(p, failure_cause::MayHaveRun);
    }
}

bool relayed_query::failGroup(group_state &g, failure_cause cause)
{
    if (g.done)
        return false;
    if (cause == failure_cause::MayHaveRun) {
        g.mayHaveRun = true;
        g.outcomeUnknown = !m_request.repeatable;
    }
    return !g.outcomeUnknown && g.outstanding == 0 && !g.retryAt;
}

void relayed_query::retry(const group_list &groups)
{
    const time_point now = m_state.loop.now();
    if (now >= m_answerDeadline)
        return;
    group_list notRun;
    group_list again;
    // All groups get the same jitter, so that groups that back off together share a part again.
    const double jitter = 1 + m_state.random.fraction();
    for (const std::size_t i : groups) {
        group_state &g = m_groups[i];
        const bool suspectLeft = !g.group->ownServers.empty() && !triedBefore(g, nullptr);
        const bool untried = hasAlternative(g) || suspectLeft;
        // A group that did not run cost the servers nothing, so that its retry needs no budget.
        if (untried && !g.mayHaveRun) {
            notRun.push_back(i);
        } else if (untried && m_state.retries.tryTake(now)) {
            again.push_back(i);
        } else {
            m_state.count.budgetDenials.add(untried ? 1 : 0);
            scheduleBackoff(g, jitter);
        }
    }
    if (!notRun.empty())
        dispatch(notRun, part_kind::Retry);
    if (!again.empty())
        dispatch(again, part_kind::Retry);
}

void relayed_query::scheduleBackoff(group_state &g, double jitter)
{
    if (g.backoffCount >= maxBackoffs)
        return;
    g.triedTargets.clear();
    const duration backoff = initialBackoff * (1U << g.backoffCount++);
    g.retryAt = m_state.loop.now() + fromMilliseconds(toMilliseconds(backoff) * jitter);
}

bool relayed_query::mayRestart() const
{
    const shard_map_ptr &current = m_state.board.snapshots.value().current;
    return m_request.repeatable && !m_restarted && m_version && current &&
           current->version > *m_version;
}

void relayed_query::restart()
{
    m_restarted = true;
    m_anySent = true;
    m_state.count.restarts.add();
    m_state.report(event_kind::Snapshot, m_request,
                   "restart from version=" + std::to_string(m_version->value()));
    const auto open = std::move(m_openParts);
    m_openParts.clear();
    for (const auto &p : open)
        cancel(*p);
    m_groups.clear();
    m_plans.clear();
    m_state.refresh();
    if (!pinShardMap()) {
        // The query cannot run on the new version, for example because that lacks one of its
        // services. No results of the old version may be kept.
        m_groups.clear();
        m_merger.emplace(m_version, std::vector<shard_id>());
        finish(false);
        return;
    }
    group_list all(m_groups.size());
    for (std::size_t i = 0; i < all.size(); ++i)
        all[i] = i;
    dispatch(all, part_kind::Retry);
    finishOrArmTimer();
}

void relayed_query::cancelUnneededParts()
{
    const auto open = m_openParts;
    for (const auto &p : open) {
        const bool needed = std::any_of(p->groups.begin(), p->groups.end(),
                                        [this](std::size_t i) { return !m_groups[i].done; });
        if (!needed && closePart(p))
            cancel(*p);
    }
}

} // namespace peridotwheel
