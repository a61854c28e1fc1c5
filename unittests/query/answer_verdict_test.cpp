#include "peridotwheel/query/answer_verdict.h"

#include <gtest/gtest.h>

using namespace peridotwheel;

namespace {

query_answer classified(std::uint32_t answered, const query_facts &facts)
{
    constexpr std::uint32_t total = 4;
    query_answer answer;
    answer.covered.answered = answered;
    answer.covered.total = total;
    for (std::uint32_t s = answered; s < total; ++s)
        answer.covered.missing.emplace_back(s);
    classifyAnswer(answer, facts);
    return answer;
}

} // namespace

// Failure: an answer says "not run" although an attempt may have run, and the caller sends a
// booking a second time.
TEST(classifyAnswer, saysNotRunOnlyIfThatIsCertain)
{
    for (const bool isRepeatable : {false, true}) {
        for (const bool isAtDeadline : {false, true}) {
            query_facts facts;
            facts.isRepeatable = isRepeatable;
            facts.isAtDeadline = isAtDeadline;
            EXPECT_EQ(classified(0, facts).ran, ran_state::No);
            facts.anySent = true;
            facts.anyOutcomeUnknown = true;
            EXPECT_EQ(classified(0, facts).ran, ran_state::Unknown);
            facts.ranSomewhere = true;
            EXPECT_NE(classified(1, facts).ran, ran_state::No);
        }
    }
}

// Failure: an unknown outcome is reported as a failure or as a partial answer, which hides that the
// rest may have run.
TEST(classifyAnswer, tellsAnUnknownOutcomeFromAPartialOne)
{
    query_facts facts;
    facts.isRepeatable = false;
    facts.anySent = true;
    facts.ranSomewhere = true;
    EXPECT_EQ(classified(2, facts).kind, answer_kind::Partial);
    facts.anyOutcomeUnknown = true;
    EXPECT_EQ(classified(2, facts).kind, answer_kind::OutcomeUnknown);
    EXPECT_EQ(classified(4, facts).kind, answer_kind::Complete);
}

// Failure: an answer below the coverage target of the class is reported as a partial one.
TEST(classifyAnswer, isPartialFromTheCoverageTargetOn)
{
    query_facts facts;
    facts.coverageTarget = 0.5;
    facts.anySent = true;
    facts.ranSomewhere = true;
    EXPECT_EQ(classified(2, facts).kind, answer_kind::Partial);
    EXPECT_EQ(classified(1, facts).kind, answer_kind::Failed);
    facts.isAtDeadline = true;
    EXPECT_EQ(classified(1, facts).kind, answer_kind::Expired);
    facts.coverageTarget = 0;
    EXPECT_EQ(classified(0, facts).kind, answer_kind::Expired);
}
