#include "relay_fixture.h"

namespace peridotwheel {

namespace {

class relayed_query_test : public relay_fixture
{
};

// Guards against relaying, which costs time and messages, while every server can be called
// directly.
TEST_F(relayed_query_test, queryRunsOnTheEngineWhenItOwnsAllServers)
{
    for (const auto &entry : board.servers.value())
        ownServers.insert(entry.first);
    run(request());
    ASSERT_EQ(local.calls.size(), 1U);
    EXPECT_FALSE(local.calls[0].request.pinnedVersion);
    EXPECT_EQ(local.calls[0].request.cancellation, nullptr);
    EXPECT_TRUE(http.queries.empty());
}

// Guards against parts that are lost, duplicated or not pinned to a version when a query is split.
TEST_F(relayed_query_test, partsOfOnePinnedVersionAreMerged)
{
    ownServers = {server_id("n1")};
    run(request());
    ASSERT_EQ(local.calls.size(), 1U);
    EXPECT_EQ(local.calls[0].request.shards, std::vector<shard_id>{shard_id(1)});
    ASSERT_EQ(http.queries.size(), 1U) << "one message per owner";
    EXPECT_EQ(sentQuery(0).request.pinnedVersion, index_version(1));
    EXPECT_EQ(sentQuery(0).request.shards.size(), 3U);
    reply(0, fullAnswer(sentQuery(0)));
    query_answer a;
    a.kind = answer_kind::Complete;
    a.ran = ran_state::Yes;
    a.version = index_version(1);
    a.results.push_back({shard_id(1), "1"});
    local.calls[0].done(a);
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->kind, answer_kind::Complete);
    ASSERT_EQ(answer->results.size(), shardCount);
    EXPECT_EQ(answer->results[0].json, "1");
    EXPECT_TRUE(http.cancels.empty());
}

// Guards against results of another version, of shards not asked for, or of shards already answered
// in the merged answer.
TEST_F(relayed_query_test, resultsOfWrongVersionUnrequestedOrDuplicateShardsAreDropped)
{
    run(request());
    relay_answer wrongVersion = fullAnswer(sentQuery(0));
    wrongVersion.answer.version = index_version(2);
    reply(0, wrongVersion);
    EXPECT_FALSE(answer);
    EXPECT_EQ(counterValue("relay.results-dropped"), shardCount);
    ASSERT_EQ(http.queries.size(), 2U) << "the missing shards go to the other owner";
    relay_answer second = fullAnswer(sentQuery(1));
    second.answer.results.pop_back();
    second.answer.results.push_back({shard_id(99), "99"});
    second.answer.results.push_back({shard_id(1), "\"repeated\""});
    second.answer.covered.missing = {shard_id(4)};
    reply(1, second);
    loop.advance(milliseconds(200));
    ASSERT_TRUE(answer);
    EXPECT_EQ(counterValue("relay.results-dropped"), shardCount + 2U);
    EXPECT_EQ(answer->covered.missing, std::vector<shard_id>{shard_id(4)});
    ASSERT_EQ(answer->results.size(), 3U);
    EXPECT_EQ(answer->results[0].json, "\"r1\"");
}

// Guards against missing shards in the answer when an owner dies while its part is running.
TEST_F(relayed_query_test, shardsOfDeadOwnerAreRetriedAtAnotherOwner)
{
    run(request());
    const std::string first = http.queries[0].to.address;
    setMembers(first == "i1" ? std::vector<std::string>{"i0", "i2"}
                             : std::vector<std::string>{"i0", "i1"});
    ASSERT_EQ(http.queries.size(), 2U);
    EXPECT_NE(http.queries[1].to.address, first);
    reply(1, fullAnswer(sentQuery(1)));
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->kind, answer_kind::Complete);
    fail(0, transport_failure::MayHaveRun);
}

// Guards against an unresponsive owner that delays the query up to its deadline, and against
// counting its late reply as well as that of the hedge.
TEST_F(relayed_query_test, unresponsiveOwnerIsHedgedAndCancelled)
{
    run(request());
    loop.advance(milliseconds(120));
    ASSERT_EQ(http.queries.size(), 2U);
    EXPECT_EQ(counterValue("relay.hedges"), 1U);
    reply(1, fullAnswer(sentQuery(1)));
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->kind, answer_kind::Complete);
    ASSERT_EQ(http.cancels.size(), 1U);
    EXPECT_EQ(http.cancels[0].to, http.queries[0].to);
    reply(0, fullAnswer(sentQuery(0)));
}

// Guards against an answer at the deadline without the shards that did answer, when all owners of
// the others are unresponsive.
TEST_F(relayed_query_test, partialAnswerAtTheDeadlineStatesItsCoverage)
{
    ownServers = {server_id("n1"), server_id("n2"), server_id("n3")};
    run(request());
    query_answer a;
    a.ran = ran_state::Yes;
    a.version = index_version(1);
    for (const shard_id s : local.calls[0].request.shards)
        a.results.push_back({s, "1"});
    local.calls[0].done(a);
    loop.advance(milliseconds(140));
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->kind, answer_kind::Expired) << "below the class's coverage target";
    EXPECT_EQ(answer->covered.missing, std::vector<shard_id>{shard_id(4)});
    EXPECT_EQ(answer->results.size(), 3U);
}

// Guards against a query that ends when an owner has no connection, which happens while the views
// of the instances differ.
TEST_F(relayed_query_test, notOwnedAnswerIsRetriedAtAnotherOwner)
{
    run(request());
    reply(0, notOwnedAnswer(sentQuery(0)));
    ASSERT_EQ(http.queries.size(), 2U);
    EXPECT_NE(http.queries[1].to, http.queries[0].to);
    reply(1, fullAnswer(sentQuery(1)));
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->kind, answer_kind::Complete);
}

// Guards against endless retries when the views of the instances never converge.
TEST_F(relayed_query_test, queryEndsWhenAllOwnersAnswerNotOwned)
{
    run(request());
    for (std::size_t i = 0; i < 100 && !answer; ++i) {
        if (i < http.queries.size())
            reply(i, notOwnedAnswer(sentQuery(i)));
        loop.advance(milliseconds(10));
    }
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->ran, ran_state::No);
    EXPECT_EQ(answer->covered.missing.size(), shardCount);
    EXPECT_LE(http.queries.size(), 8U) << "two owners, in four rounds at most";
}

// Guards against a query that continues with a version that no server holds any more, or mixes
// results of it with those of the next version.
TEST_F(relayed_query_test, lostVersionRestartsOnceOnTheCurrentOne)
{
    ownServers = {server_id("n1")};
    run(request());
    query_answer old;
    old.ran = ran_state::Yes;
    old.version = index_version(1);
    old.results.push_back({shard_id(1), "\"old\""});
    local.calls[0].done(old);
    shard_map next = *board.snapshots.value().current;
    next.version = index_version(2);
    publish(next);
    relay_answer lost = notOwnedAnswer(sentQuery(0));
    lost.notOwned.clear();
    lost.answer.versionLost = true;
    reply(0, lost);
    ASSERT_EQ(http.queries.size(), 2U);
    EXPECT_EQ(sentQuery(1).request.pinnedVersion, index_version(2));
    ASSERT_EQ(local.calls.size(), 2U);
    reply(1, fullAnswer(sentQuery(1)));
    old.version = index_version(2);
    old.results[0].json = "\"new\"";
    local.calls[1].done(old);
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->version, index_version(2));
    EXPECT_EQ(answer->results[0].json, "\"new\"");
}

// Guards against a booking that is sent to another owner although it may have run at the first.
TEST_F(relayed_query_test, nonRepeatableIsNotRelayedAgainAfterItMayHaveRun)
{
    query_request booking = request(false);
    booking.services = {service_name("booking")};
    run(booking);
    ASSERT_EQ(http.queries.size(), 1U);
    loop.advance(milliseconds(100));
    EXPECT_EQ(http.queries.size(), 1U) << "never hedged";
    fail(0, transport_failure::MayHaveRun);
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->kind, answer_kind::OutcomeUnknown);
    EXPECT_EQ(answer->ran, ran_state::Unknown);
    EXPECT_EQ(http.queries.size(), 1U);
}

// Guards against a booking that fails although it certainly has not run anywhere.
TEST_F(relayed_query_test, nonRepeatableIsRetriedIfItWasNotSent)
{
    query_request booking = request(false);
    booking.services = {service_name("booking")};
    run(booking);
    fail(0, transport_failure::NotSent);
    ASSERT_EQ(http.queries.size(), 2U);
    relay_answer done = fullAnswer(sentQuery(1));
    done.answer.results.push_back({shard_id(0x80000000), "\"booked\""});
    reply(1, done);
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->kind, answer_kind::Complete);
    EXPECT_EQ(answer->ran, ran_state::Yes);
}

// Guards against an origin that reports a booking as not run because its owner died.
TEST_F(relayed_query_test, nonRepeatableAtDeadOwnerHasUnknownOutcome)
{
    query_request booking = request(false);
    booking.services = {service_name("booking")};
    run(booking);
    setMembers({"i0"});
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->ran, ran_state::Unknown);
    EXPECT_EQ(http.queries.size(), 1U);
}

} // namespace

} // namespace peridotwheel
