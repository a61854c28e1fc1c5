#include "relayed_query.h"

#include "peridotwheel/query/answer_verdict.h"
#include "peridotwheel/query/query_engine.h"
#include "relay_state.h"

#include <algorithm>
#include <functional>

namespace peridotwheel {

namespace {

/// The answer is sent this long before the deadline, as by the engine.
constexpr duration answerMargin = milliseconds(5);
/// The answer margin takes at most this fraction (1/n) of the remaining time, so that queries with
/// little time left keep most of it.
constexpr int marginDivisor = 10;

} // namespace

relayed_query::relayed_query(relay_state &state, query_request request, answer_hook done)
    : m_state(state)
    , m_request(std::move(request))
    , m_done(std::move(done))
    , m_startedAt(state.loop.now())
    , m_timer(state.loop, [this] { onTimer(); })
{
    const duration left = std::max(m_request.deadline - m_startedAt, duration::zero());
    m_answerDeadline = m_request.deadline - std::min(answerMargin, left / marginDivisor);
}

bool relayed_query::pinShardMap()
{
    const shard_map_ptr map = m_state.board.snapshots.value().current;
    const relay_plan_ptr sharded = map ? m_state.planOf(map) : nullptr;
    if (sharded) {
        m_version = map->version;
        m_plans.push_back(sharded);
    }
    if (m_startedAt >= m_answerDeadline || m_request.pinnedVersion || !m_request.shards.empty())
        return false;
    if (!m_request.services.empty())
        return addRequestedServices(sharded.get());
    if (!sharded)
        return false;
    m_groups.reserve(sharded->groups.size());
    for (const auto &group : sharded->groups)
        addGroup(group, group.shards);
    m_merger.emplace(m_version, sharded->shards);
    return true;
}

bool relayed_query::addRequestedServices(const relay_plan *sharded)
{
    std::vector<service_name> names = m_request.services;
    std::sort(names.begin(), names.end());
    if (std::adjacent_find(names.begin(), names.end()) != names.end())
        return false;
    std::vector<shard_id> asked;
    std::uint32_t nextPlain = firstPlainShard;
    for (const auto &name : m_request.services) {
        const std::size_t before = m_groups.size();
        for (std::size_t i = 0; sharded != nullptr && i < sharded->groups.size(); ++i) {
            const relay_group &group = sharded->groups[i];
            if (group.service != name)
                continue;
            asked.insert(asked.end(), group.shards.begin(), group.shards.end());
            addGroup(group, group.shards);
        }
        if (m_groups.size() > before)
            continue;
        const auto plain = m_state.plainPlanOf(name);
        const relay_group &group = plain->groups.front();
        if (group.ownServers.empty() && group.owners.empty())
            return false;
        m_plans.push_back(plain);
        asked.emplace_back(nextPlain);
        addGroup(group, {shard_id(nextPlain++)});
    }
    std::sort(asked.begin(), asked.end());
    if (nextPlain - firstPlainShard == m_groups.size())
        m_version.reset();
    m_merger.emplace(m_version, std::move(asked));
    return true;
}

void relayed_query::addGroup(const relay_group &group, std::vector<shard_id> shards)
{
    group_state g;
    g.group = &group;
    g.shards = std::move(shards);
    m_groups.push_back(std::move(g));
}

void relayed_query::start()
{
    m_isStarting = true;
    m_state.count.queries.add();
    group_list all(m_groups.size());
    for (std::size_t i = 0; i < all.size(); ++i)
        all[i] = i;
    dispatch(all, part_kind::First);
    finishOrArmTimer();
    m_isStarting = false;
}

void relayed_query::endWithoutAnswer()
{
    m_finished = true;
    m_timer.cancel();
    m_openParts.clear();
}

void relayed_query::finishOrArmTimer()
{
    if (m_finished)
        return;
    const bool late = m_state.loop.now() >= m_answerDeadline;
    const bool open = std::any_of(m_groups.begin(), m_groups.end(),
                                  [](const group_state &g) { return g.isOpen(); });
    if (late || m_merger->complete() || !open) {
        finish(late);
        return;
    }
    armTimer();
}

void relayed_query::armTimer()
{
    m_timer.wakeAt(nextWakeTime(m_groups, m_answerDeadline));
}

void relayed_query::onTimer()
{
    const auto self = shared_from_this();
    const time_point now = m_state.loop.now();
    if (now >= m_answerDeadline) {
        finish(true);
        return;
    }
    sendDueHedges(now);
    group_list due = takeDueRetries(m_groups, now);
    const auto isAsked = [this](std::size_t i) { return m_groups[i].outstanding > 0; };
    due.erase(std::remove_if(due.begin(), due.end(), isAsked), due.end());
    retry(due);
    finishOrArmTimer();
}

void relayed_query::finish(bool atDeadline)
{
    const auto self = shared_from_this();
    query_answer answer = makeAnswer(atDeadline);
    m_state.queryTime.add(m_state.loop.now() - m_startedAt);
    m_finished = true;
    m_timer.cancel();
    const auto open = std::move(m_openParts);
    m_openParts.clear();
    for (const auto &p : open)
        cancel(*p);
    m_state.active.erase(self);
    if (!m_isStarting) {
        m_done(std::move(answer));
        return;
    }
    m_state.loop.post(
            [self, answer = std::move(answer)]() mutable { self->m_done(std::move(answer)); });
}

query_answer relayed_query::makeAnswer(bool atDeadline)
{
    query_answer answer;
    answer.version = m_version.value_or(index_version());
    answer.covered = m_merger->covered();
    query_facts facts;
    facts.isRepeatable = m_request.repeatable;
    facts.coverageTarget = m_request.spec.coverageTarget;
    facts.isAtDeadline = atDeadline;
    facts.anySent = m_anySent;
    facts.ranSomewhere = m_ranSomewhere;
    facts.anyOutcomeUnknown =
            std::any_of(m_groups.begin(), m_groups.end(), [](const group_state &g) {
                return g.outcomeUnknown || (!g.done && g.outstanding > 0);
            });
    classifyAnswer(answer, facts);
    answer.results = m_merger->takeResults();
    m_state.report(event_kind::Answer, m_request,
                   "merged answered=" + std::to_string(answer.covered.answered) + "/" +
                           std::to_string(answer.covered.total));
    return answer;
}

} // namespace peridotwheel
