#include "running_query.h"

#include "engine_state.h"
#include "peridotwheel/query/hedging_policy.h"

#include <algorithm>
#include <cassert>
#include <functional>
#include <iterator>

namespace peridotwheel {

namespace {

/// The answer margin takes at most this fraction (1/n) of the remaining time, so that queries with
/// little time left keep most of it.
constexpr int marginDivisor = 10;

} // namespace

running_query::running_query(engine_state &state, query_request request, answer_hook done)
    : m_state(state)
    , m_request(std::move(request))
    , m_done(std::move(done))
    , m_startedAt(state.loop.now())
    , m_timer(state.loop, [this] { onTimer(); })
{
    const duration left = std::max(m_request.deadline - m_startedAt, duration::zero());
    m_answerDeadline =
            m_request.deadline - std::min(state.options.answerMargin, left / marginDivisor);
}

void running_query::start()
{
    m_isStarting = true;
    installCancelHook();
    const bool inTime = m_startedAt < m_answerDeadline;
    if (!inTime)
        refuse(answer_kind::Expired, "the deadline had passed before the query started; not run");
    if (inTime && pinShardMap()) {
        group_list all(m_groups.size());
        for (std::size_t i = 0; i < all.size(); ++i)
            all[i] = i;
        dispatch(all, attempt_kind::First);
        probeSuspects();
        finishOrArmTimer();
    }
    m_isStarting = false;
}

bool running_query::pinShardMap()
{
    const snapshot_set &known = m_state.board.snapshots.value();
    shard_map_ptr map = known.current;
    if (m_request.pinnedVersion) {
        const auto it = known.retained.find(*m_request.pinnedVersion);
        map = it == known.retained.end() ? nullptr : it->second;
    }
    const scatter_plan_ptr sharded = map ? m_state.planOf(map) : nullptr;
    if (sharded) {
        m_version = map->version;
        m_plans.push_back(sharded);
    }
    if (m_request.pinnedVersion && !sharded) {
        m_versionLost = true;
        refuse(answer_kind::RefusedState,
               "the pinned index version is not known to this instance; not run");
        return false;
    }
    if (!m_request.shards.empty() || !m_request.services.empty())
        return addRequestedGroups(sharded.get());
    if (!sharded) {
        refuse(answer_kind::RefusedState,
               "no index version is known yet; not run, try again in a moment");
        return false;
    }
    m_groups.reserve(sharded->groups.size());
    for (const auto &group : sharded->groups)
        addGroup(group, group.shards);
    m_merger.emplace(m_version, sharded->shards);
    return true;
}

bool running_query::addRequestedShards(const scatter_plan &sharded)
{
    const auto &wanted = m_request.shards;
    std::size_t found = 0;
    for (const auto &group : sharded.groups) {
        std::vector<shard_id> shards;
        std::set_intersection(group.shards.begin(), group.shards.end(), wanted.begin(),
                              wanted.end(), std::back_inserter(shards));
        found += shards.size();
        if (!shards.empty())
            addGroup(group, std::move(shards));
    }
    if (found == wanted.size())
        return true;
    refuse(answer_kind::RefusedInput,
           "a requested shard does not exist in this index version; not run");
    return false;
}

void running_query::installCancelHook()
{
    if (!m_request.cancellation)
        return;
    m_request.cancellation->hook = [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (self && !self->m_finished)
            self->deliver(self->makeAnswer(false));
    };
}

bool running_query::addRequestedGroups(const scatter_plan *sharded)
{
    std::vector<shard_id> asked = m_request.shards;
    if (!asked.empty()) {
        const bool ascending = std::adjacent_find(asked.begin(), asked.end(),
                                                  std::greater_equal<>()) == asked.end();
        if (sharded == nullptr || !ascending) {
            refuse(answer_kind::RefusedInput, "the shards must be ascending without duplicates, "
                                              "and an index version must be known; not run");
            return false;
        }
        if (!addRequestedShards(*sharded))
            return false;
    }
    std::uint32_t nextPlain = firstPlainShard;
    std::vector<service_name> names = m_request.services;
    std::sort(names.begin(), names.end());
    if (std::adjacent_find(names.begin(), names.end()) != names.end()) {
        refuse(answer_kind::RefusedInput, "a service is named twice; not run, name each one once");
        return false;
    }
    for (const auto &name : m_request.services) {
        const std::size_t before = m_groups.size();
        for (std::size_t i = 0; sharded != nullptr && i < sharded->groups.size(); ++i) {
            const shard_group &group = sharded->groups[i];
            if (group.service != name)
                continue;
            asked.insert(asked.end(), group.shards.begin(), group.shards.end());
            addGroup(group, group.shards);
        }
        if (m_groups.size() > before)
            continue;
        const auto plain = m_state.plainPlanOf(name);
        if (plain->groups.front().replicas.empty()) {
            refuse(answer_kind::RefusedInput,
                   "service " + name.value() + " is unknown; not run, check the name");
            return false;
        }
        m_plans.push_back(plain);
        asked.emplace_back(nextPlain);
        addGroup(plain->groups.front(), {shard_id(nextPlain++)});
    }
    std::sort(asked.begin(), asked.end());
    const bool onlyPlain = nextPlain - firstPlainShard == m_groups.size();
    if (onlyPlain)
        m_version.reset();
    m_merger.emplace(m_version, std::move(asked));
    return true;
}

void running_query::addGroup(const shard_group &group, std::vector<shard_id> shards)
{
    group_state g;
    g.group = &group;
    g.shards = std::move(shards);
    if (!group.replicas.empty())
        g.slot = slot_guard(m_state.slots, group.replicas.front()->service.waitingQueries);
    m_groups.push_back(std::move(g));
}

void running_query::onOutcome(attempt &a, const reply_headers &headers, const http_outcome &outcome)
{
    const auto self = shared_from_this();
    markAttemptClosed(a);
    m_anySent = m_anySent || outcome.failure != transport_failure::NotSent;
    if (outcome.failure == transport_failure::NotSent) {
        onFailure(a, failure_cause::NotSent);
    } else if (outcome.failure == transport_failure::MayHaveRun) {
        onFailure(a, failure_cause::MayHaveRun);
    } else {
        onReply(a, headers, outcome);
    }
    if (!m_finished)
        finishOrArmTimer();
}

void running_query::onReply(attempt &a, const reply_headers &headers, const http_outcome &outcome)
{
    const int status = outcome.reply.status;
    if (status == 410) {
        onFailure(a, failure_cause::VersionLost);
        return;
    }
    if (status != 200) {
        const bool notRun = headers.notRun && (status == 503 || status == 504);
        onFailure(a, notRun ? failure_cause::NotRun : failure_cause::MayHaveRun);
        return;
    }
    m_ranSomewhere = true;
    const auto verdict =
            m_merger->addReply({a.id, headers.version, headers.shards, outcome.reply.body});
    if (verdict != merge_verdict::Accepted)
        m_state.count.droppedReplies.add();
    if (verdict == merge_verdict::WrongVersion) {
        onFailure(a, m_request.repeatable ? failure_cause::VersionLost : failure_cause::MayHaveRun);
        return;
    }
    for (const std::size_t i : a.groups) {
        group_state &g = m_groups[i];
        const auto answered = [this](shard_id s) { return m_merger->has(s); };
        g.done = g.done || std::all_of(g.shards.begin(), g.shards.end(), answered);
        if (g.done)
            g.slot.release();
        if (!g.done && !failGroup(i, failure_cause::MayHaveRun))
            return;
    }
    if (m_hasExtraAttempts)
        withdrawUnneededAttempts();
}

void running_query::onReturned(attempt &a)
{
    const auto self = shared_from_this();
    markAttemptClosed(a);
    onFailure(a, failure_cause::NotSent);
    if (!m_finished)
        finishOrArmTimer();
}

void running_query::markAttemptClosed(const attempt &a)
{
    // Queries do not wait for probes.
    if (a.kind == attempt_kind::Probe)
        return;
    for (const std::size_t i : a.groups) {
        assert(m_groups[i].outstanding > 0 && "each attempt settles once");
        --m_groups[i].outstanding;
        m_groups[i].sentBefore |= a.sent();
    }
}

void running_query::finishOrArmTimer()
{
    if (m_finished)
        return;
    const bool isPastDeadline = m_state.loop.now() >= m_answerDeadline;
    if (m_merger->complete()) {
        finish(isPastDeadline);
        return;
    }
    const bool open = std::any_of(m_groups.begin(), m_groups.end(),
                                  [](const group_state &g) { return g.isOpen(); });
    if (!open) {
        finish(isPastDeadline);
        return;
    }
    armTimer();
}

void running_query::armTimer()
{
    m_timer.wakeAt(nextWakeTime(m_groups, m_answerDeadline));
}

void running_query::onTimer()
{
    const auto self = shared_from_this();
    const time_point now = m_state.loop.now();
    m_state.detectLocalStall(now);
    if (now >= m_answerDeadline) {
        finish(true);
        return;
    }
    sendDueHedges(now);
    for (const std::size_t i : takeDueRetries(m_groups, now))
        retry(i, failure_cause::NotRun);
    if (!m_finished)
        finishOrArmTimer();
}

} // namespace peridotwheel
