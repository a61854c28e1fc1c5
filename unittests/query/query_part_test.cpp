#include "engine_fixture.h"

namespace peridotwheel {

namespace {

class query_part_test : public engine_fixture
{
protected:
    query_request part(std::uint64_t version, std::vector<shard_id> shards)
    {
        query_request r = request();
        r.pinnedVersion = index_version(version);
        r.shards = std::move(shards);
        return r;
    }
};

// Failure: a part of another instance's query asks for other shards than its own, or for the
// current version instead of the pinned one, so that the origin mixes versions.
TEST_F(query_part_test, onlyThePinnedVersionAndTheGivenShardsAreAsked)
{
    build(3);
    publishVersion(2);
    const auto got = run(part(1, {shard_id(1), shard_id(3)}));
    m_loop.advance(milliseconds(100));
    ASSERT_TRUE(got->has_value());
    EXPECT_EQ((*got)->kind, answer_kind::Complete);
    EXPECT_EQ((*got)->version, index_version(1));
    EXPECT_EQ((*got)->covered.total, 2U);
    EXPECT_EQ(requestsTo(100) + requestsTo(101) + requestsTo(102), 0U) << "service of shard 2";
}

// Failure: a part whose version is no longer available restarts on a newer one by itself.
TEST_F(query_part_test, lostVersionIsReportedAndNotReplaced)
{
    build(1);
    publishVersion(2);
    for (std::uint16_t r = 0; r < replicaCount; ++r)
        m_connector.at(r).versions = {2};
    const auto got = run(part(1, {shard_id(1)}));
    m_loop.advance(milliseconds(200));
    ASSERT_TRUE(got->has_value());
    EXPECT_TRUE((*got)->versionLost);
    EXPECT_EQ((*got)->covered.answered, 0U);
    const auto unknown = run(part(9, {shard_id(1)}));
    m_loop.advance(milliseconds(1));
    ASSERT_TRUE(unknown->has_value());
    EXPECT_TRUE((*unknown)->versionLost);
    EXPECT_EQ((*unknown)->ran, ran_state::No);
}

// Failure: a query continues after the origin has cancelled it, or a second cancellation reaches a
// query that has ended.
TEST_F(query_part_test, cancellationEndsTheQueryOnceWithTheResultsSoFar)
{
    build(2);
    for (std::uint16_t r = 0; r < replicaCount; ++r)
        m_connector.at(100 + r).silent = true;
    query_request r = part(1, {shard_id(1), shard_id(2)});
    const auto cancellation = std::make_shared<query_cancellation>();
    r.cancellation = cancellation;
    const auto got = run(r);
    m_loop.advance(milliseconds(20));
    ASSERT_FALSE(got->has_value());
    cancellation->cancel();
    ASSERT_TRUE(got->has_value());
    EXPECT_EQ((*got)->covered.missing, std::vector<shard_id>{shard_id(2)});
    cancellation->cancel();
    m_loop.advance(seconds(1));
}

} // namespace

} // namespace peridotwheel
