#include "peridotwheel/query/answer_verdict.h"

namespace peridotwheel {

namespace {

answer_kind kindOfIncomplete(bool isAtDeadline)
{
    return isAtDeadline ? answer_kind::Expired : answer_kind::Failed;
}

void classifyRepeatable(query_answer &answer, const query_facts &facts)
{
    answer.ran = ran_state::No;
    if (facts.anySent)
        answer.ran = ran_state::Unknown;
    if (facts.ranSomewhere)
        answer.ran = ran_state::Yes;
    if (answer.covered.missing.empty()) {
        answer.kind = answer_kind::Complete;
        return;
    }
    answer.detail = facts.isAtDeadline ? "some shards did not answer before the deadline"
                                       : "no server could answer some shards";
    const bool isEnough =
            answer.covered.answered > 0 && answer.covered.share() >= facts.coverageTarget;
    answer.kind = isEnough ? answer_kind::Partial : kindOfIncomplete(facts.isAtDeadline);
}

void classifyNonRepeatable(query_answer &answer, const query_facts &facts)
{
    if (answer.covered.missing.empty()) {
        answer.kind = answer_kind::Complete;
        answer.ran = ran_state::Yes;
    } else if (facts.anyOutcomeUnknown) {
        answer.kind = answer_kind::OutcomeUnknown;
        answer.ran = ran_state::Unknown;
        answer.detail = "the request was sent and may have run, but no full reply came; it will "
                        "not be sent again";
    } else if (facts.ranSomewhere) {
        answer.kind = answer_kind::Partial;
        answer.ran = ran_state::Yes;
        answer.detail = "the request ran on some shards only; the others did not run it";
    } else {
        answer.kind = kindOfIncomplete(facts.isAtDeadline);
        answer.ran = ran_state::No;
        answer.detail = "no server accepted the request; it did not run and will not run later";
    }
}

} // namespace

void classifyAnswer(query_answer &answer, const query_facts &facts)
{
    if (facts.isRepeatable)
        classifyRepeatable(answer, facts);
    else
        classifyNonRepeatable(answer, facts);
}

} // namespace peridotwheel
