#include "engine_state.h"
#include "peridotwheel/query/answer_verdict.h"
#include "running_query.h"

#include <algorithm>

namespace peridotwheel {

bool running_query::anyAttemptSent() const
{
    return m_anySent || std::any_of(m_attempts.begin(), m_attempts.end(),
                                    [](const auto &a) { return a->sent(); });
}

void running_query::finish(bool atDeadline)
{
    query_answer answer = makeAnswer(atDeadline);
    if (answer.kind != answer_kind::Complete)
        m_state.count.partial.add();
    m_state.queryLatency.add(m_state.loop.now() - m_startedAt);
    deliver(std::move(answer));
}

query_answer running_query::makeAnswer(bool atDeadline)
{
    query_answer answer;
    answer.version = version();
    answer.versionLost = m_versionLost;
    answer.covered = m_merger->covered();
    query_facts facts;
    facts.isRepeatable = m_request.repeatable;
    facts.coverageTarget = m_request.spec.coverageTarget;
    facts.isAtDeadline = atDeadline;
    facts.anySent = anyAttemptSent();
    facts.ranSomewhere = m_ranSomewhere;
    facts.anyOutcomeUnknown = std::any_of(m_groups.begin(), m_groups.end(),
                                          [](const group_state &g) { return g.outcomeUnknown; }) ||
                              std::any_of(m_attempts.begin(), m_attempts.end(),
                                          [](const auto &a) { return a->sent() && a->pending(); });
    classifyAnswer(answer, facts);
    answer.results = m_merger->takeResults();
    return answer;
}

void running_query::refuse(answer_kind kind, std::string detail)
{
    query_answer answer;
    answer.kind = kind;
    answer.ran = anyAttemptSent() ? ran_state::Unknown : ran_state::No;
    answer.version = version();
    answer.versionLost = m_versionLost;
    answer.detail = std::move(detail);
    deliver(std::move(answer));
}

void running_query::deliver(query_answer answer)
{
    const auto self = shared_from_this();
    m_finished = true;
    m_timer.cancel();
    releaseAttempts();
    releaseSlots();
    m_state.active.erase(self);
    m_state.report(event_kind::Answer, &m_request,
                   "answered=" + std::to_string(answer.covered.answered) + "/" +
                           std::to_string(answer.covered.total));
    if (!m_isStarting) {
        m_done(std::move(answer));
        return;
    }
    m_state.loop.post(
            [self, answer = std::move(answer)]() mutable { self->m_done(std::move(answer)); });
}

void running_query::releaseAttempts()
{
    const auto attempts = std::move(m_attempts);
    m_attempts.clear();
    for (const auto &a : attempts)
        a->discard();
}

void running_query::releaseSlots()
{
    for (group_state &g : m_groups)
        g.slot.release();
}

void running_query::endWithoutAnswer()
{
    releaseSlots();
    m_finished = true;
    m_timer.cancel();
    for (const auto &a : m_attempts)
        a->detach();
    m_attempts.clear();
}

} // namespace peridotwheel
