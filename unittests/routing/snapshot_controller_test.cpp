#include "peridotwheel/routing/snapshot_controller.h"

#include "fixtures/fake_platform.h"
#include "peridotwheel/support/manual_loop.h"

#include <gtest/gtest.h>

using namespace peridotwheel;

namespace {

struct snapshot_controller_fixture : testing::Test
{
    manual_loop loop;
    fake_platform platform{loop, 5};
    fake_platform_client client{platform, loop};
    blackboard board;
    counter_set counters;
    std::vector<std::uint64_t> seen;
    subscription watch;
    std::optional<snapshot_controller> controller;

    void SetUp() override
    {
        watch = board.snapshots.subscribe(
                [this](const auto &set) { seen.push_back(set->current->version.value()); });
        member self;
        self.id = instance_id("entry-1");
        controller.emplace(loop, board, client, counters, nullptr, 6, self);
        controller->start();
    }
    static std::string map(std::uint64_t version)
    {
        return toJson(shard_map{index_version(version),
                                {{shard_id(1), service_name("cards"), {server_id("cards-1")}}}});
    }
    void publish(std::uint64_t version)
    {
        platform.store("snapshots", std::to_string(version), map(version));
    }
    void setCurrent(std::uint64_t version)
    {
        platform.store("snapshots", "current", R"({"version":)" + std::to_string(version) + "}");
    }
};

} // namespace

// Guards against a map that is adopted before the platform names it as current, and against a
// return to a lower version.
TEST_F(snapshot_controller_fixture, followsTheCurrentObjectToHigherVersionsOnly)
{
    publish(1);
    publish(2);
    loop.advance(seconds(5));
    EXPECT_TRUE(seen.empty());
    setCurrent(1);
    loop.advance(seconds(5));
    setCurrent(2);
    loop.advance(seconds(5));
    setCurrent(1);
    loop.advance(seconds(5));
    EXPECT_EQ(seen, (std::vector<std::uint64_t>{1, 2}));
    EXPECT_EQ(board.snapshots.value().retained.size(), 2U);
}

// Guards against a version that is named as current before its map is published, and never adopted.
TEST_F(snapshot_controller_fixture, fetchesAMapThatIsPublishedAfterItIsNamedCurrent)
{
    setCurrent(3);
    loop.advance(seconds(5));
    publish(3);
    loop.advance(seconds(5));
    EXPECT_EQ(seen, (std::vector<std::uint64_t>{3}));
}

// Guards against a map that is never read again after one failed read: more maps are published than
// the controller keeps, so that the one that becomes current has to be fetched.
TEST_F(snapshot_controller_fixture, repeatsAFailedFetch)
{
    for (std::uint64_t v = 1; v <= 10; ++v)
        publish(v);
    loop.advance(seconds(5));
    client.remainingGetFailures = 2;
    setCurrent(10);
    loop.advance(seconds(5));
    EXPECT_EQ(seen, (std::vector<std::uint64_t>{10}));
}

// Guards against retained maps that accumulate, and against discarding a map that is still in use.
TEST_F(snapshot_controller_fixture, keepsTheLatestMaps)
{
    for (std::uint64_t v = 1; v <= 9; ++v) {
        publish(v);
        setCurrent(v);
        loop.advance(seconds(2));
    }
    const auto &set = board.snapshots.value();
    EXPECT_EQ(set.current->version, index_version(9));
    EXPECT_EQ(set.retained.size(), snapshot_controller::maxRetainedMaps);
    EXPECT_EQ(set.retained.begin()->first, index_version(6));
}

// Guards against adopting a malformed or mislabelled map of a peer.
TEST_F(snapshot_controller_fixture, refusesMapsOfPeersThatDoNotMatch)
{
    EXPECT_FALSE(controller->offer("{}", index_version(5), version_source::SameDataCentre));
    EXPECT_FALSE(controller->offer(map(4), index_version(5), version_source::SameDataCentre));
    EXPECT_TRUE(controller->offer(map(5), index_version(5), version_source::SameDataCentre));
    EXPECT_FALSE(controller->offer(map(5), index_version(5), version_source::SameDataCentre));
    EXPECT_FALSE(shardMapFromJson(R"({"version":1,"shards":[{"id":1,"service":"s","replicas":["a"]},
                                      {"id":1,"service":"t","replicas":["b"]}]})"));
}
