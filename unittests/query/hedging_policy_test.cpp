#include "peridotwheel/query/hedging_policy.h"

#include <gtest/gtest.h>

using namespace peridotwheel;

namespace {

constexpr time_point start{seconds(100)};

hedging_input typicalInput()
{
    hedging_input input;
    input.sentAt = start;
    input.target = start + milliseconds(135);
    input.deadline = start + milliseconds(135);
    input.p95 = milliseconds(20);
    input.extraLatency = milliseconds(20);
    return input;
}

} // namespace

TEST(hedging_policy, waitsUntilASecondAttemptJustMeetsTheTarget)
{
    // 135 - (1.5 * 20 + 20 + 5)
    EXPECT_EQ(hedgeTime(typicalInput()), start + milliseconds(80));
}

// Hedging before the p95 would duplicate more than one attempt in twenty.
TEST(hedging_policy, neverComesBeforeTheP95)
{
    hedging_input input = typicalInput();
    input.target = start + milliseconds(30);
    EXPECT_EQ(hedgeTime(input), start + milliseconds(20));
}

TEST(hedging_policy, returnsNothingIfNoSecondReplyFitsBeforeTheDeadline)
{
    hedging_input input = typicalInput();
    input.p95 = milliseconds(120);
    EXPECT_EQ(hedgeTime(input), std::nullopt);
}
