#include "engine_state.h"
#include "running_query.h"

#include <algorithm>

namespace peridotwheel {

bool running_query::sentSomewhere() const
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
    answer.covered = m_merge->covered();
    if (m_request.repeatable) {
        judgeRepeatable(answer, atDeadline);
    } else {
        judgeNonRepeatable(answer, atDeadline);
    }
    answer.results = m_merge->takeResults();
    return answer;
}

void running_query::judgeRepeatable(query_answer &answer, bool atDeadline) const
{
    answer.ran = ran_state::No;
    if (sentSomewhere())
        answer.ran = ran_state::Unknown;
    if (m_ranSomewhere)
        answer.ran = ran_state::Yes;
    if (answer.covered.missing.empty()) {
        answer.kind = answer_kind::Complete;
        return;
    }
    answer.detail = atDeadline ? "some shards did not answer before the deadline"
                               : "no server could answer some shards";
    if (answer.covered.answered > 0 && answer.covered.share() >= m_request.spec.coverageTarget) {
        answer.kind = answer_kind::Partial;
        return;
    }
    answer.kind = atDeadline ? answer_kind::Expired : answer_kind::Failed;
}

void running_query::judgeNonRepeatable(query_answer &answer, bool atDeadline) const
{
    const bool lost = std::any_of(m_groups.begin(), m_groups.end(),
                                  [](const group_state &g) { return g.unknown; });
    const bool inFlight = std::any_of(m_attempts.begin(), m_attempts.end(),
                                      [](const auto &a) { return a->sent() && a->pending(); });
    if (answer.covered.missing.empty()) {
        answer.kind = answer_kind::Complete;
        answer.ran = ran_state::Yes;
        return;
    }
    if (lost || inFlight) {
        answer.kind = answer_kind::OutcomeUnknown;
        answer.ran = ran_state::Unknown;
        answer.detail = "the request was sent and may have run, but no full reply came; it will "
                        "not be sent again";
        return;
    }
    if (m_ranSomewhere) {
        answer.kind = answer_kind::Partial;
        answer.ran = ran_state::Yes;
        answer.detail = "the request ran on some shards only; the others did not run it";
        return;
    }
    answer.kind = atDeadline ? answer_kind::Expired : answer_kind::Failed;
    answer.ran = ran_state::No;
    answer.detail = "no server accepted the request; it did not run and will not run later";
}

void running_query::refuse(answer_kind kind, std::string detail)
{
    query_answer answer;
    answer.kind = kind;
    answer.ran = sentSomewhere() ? ran_state::Unknown : ran_state::No;
    answer.version = version();
    answer.versionLost = m_versionLost;
    answer.detail = std::move(detail);
    deliver(std::move(answer));
}

void running_query::deliver(query_answer answer)
{
    const auto self = shared_from_this();
    m_over = true;
    m_timer.cancel();
    releaseAttempts();
    releaseSlots();
    m_state.active.erase(self);
    m_state.report(event_kind::Answer, &m_request,
                   "answered=" + std::to_string(answer.covered.answered) + "/" +
                           std::to_string(answer.covered.total));
    if (!m_inRun) {
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
        a->giveUp();
}

void running_query::releaseSlots()
{
    for (group_state &g : m_groups)
        g.slot.release();
}

void running_query::drop()
{
    releaseSlots();
    m_over = true;
    m_timer.cancel();
    for (const auto &a : m_attempts)
        a->detach();
    m_attempts.clear();
}

} // namespace peridotwheel
