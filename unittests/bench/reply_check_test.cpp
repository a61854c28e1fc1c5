#include "peridotwheel/bench/reply_check.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

using namespace peridotwheel;
using nlohmann::json;

namespace {

json resultOf(std::uint64_t shard)
{
    return {{"shard", shard}, {"value", {{"shard", shard}, {"version", 7}, {"query", "gauge"}}}};
}

/// Two of three shards, truthfully.
json partialAnswer()
{
    return {{"requestId", "r-1"},
            {"ran", "yes"},
            {"snapshotVersion", 7},
            {"coverage", {{"answered", 2}, {"total", 3}, {"missing", {3}}}},
            {"results", {resultOf(1), resultOf(2)}}};
}

violation_counts violationsOf(const json &answer, observed_reply *seen = nullptr)
{
    http_outcome outcome;
    outcome.reply = {200, {}, answer.dump()};
    violation_counts found;
    const auto reply = checkReply({"r-1", "gauge", true, true}, outcome, found);
    if (seen != nullptr)
        *seen = reply;
    return found;
}

} // namespace

// Guards against a checker that reports truthful partial answers, which would hide real violations
// among false ones.
TEST(replyCheck, aTruthfulPartialAnswerBreaksNothing)
{
    observed_reply seen;
    EXPECT_EQ(violationsOf(partialAnswer(), &seen), violation_counts());
    EXPECT_TRUE(seen.answered);
    EXPECT_DOUBLE_EQ(seen.coverage, 2.0 / 3.0);
}

// Guards against experiments that pass because the checker is blind to what they look for.
TEST(replyCheck, eachKindOfViolationIsFound)
{
    json mixed = partialAnswer();
    mixed["results"][1]["value"]["version"] = 6;
    EXPECT_EQ(violationsOf(mixed), (violation_counts{{"mixed_version", 1}}));

    json overstated = partialAnswer();
    overstated["coverage"] = {{"answered", 3}, {"total", 3}, {"missing", json::array()}};
    EXPECT_EQ(violationsOf(overstated), (violation_counts{{"false_coverage", 1}}));

    json wrongMissing = partialAnswer();
    wrongMissing["coverage"]["missing"] = {2};
    EXPECT_EQ(violationsOf(wrongMissing), (violation_counts{{"false_coverage", 1}}));

    json otherQuery = partialAnswer();
    otherQuery["results"][0]["value"]["query"] = "bolt";
    EXPECT_EQ(violationsOf(otherQuery), (violation_counts{{"crossed_answer", 1}}));

    json otherId = partialAnswer();
    otherId["requestId"] = "r-2";
    EXPECT_EQ(violationsOf(otherId), (violation_counts{{"crossed_answer", 1}}));

    json twice = partialAnswer();
    twice["results"].push_back(resultOf(2));
    EXPECT_EQ(violationsOf(twice), (violation_counts{{"duplicate_shard", 1}}));

    EXPECT_EQ(violationsOf("no object"), (violation_counts{{"malformed_answer", 1}}));
}

// Guards against a lost reply that counts as a refusal, and the other way round.
TEST(replyCheck, aLostReplyIsUnknownAndARefusedConnectionIsNot)
{
    violation_counts found;
    http_outcome lost;
    lost.failure = transport_failure::MayHaveRun;
    EXPECT_TRUE(checkReply({}, lost, found).unknown);
    EXPECT_EQ(found, (violation_counts{{"no_reply", 1}}));
    http_outcome refused;
    refused.failure = transport_failure::NotSent;
    EXPECT_TRUE(checkReply({}, refused, found).refusedNotRun);
}
