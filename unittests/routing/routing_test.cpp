#include "peridotwheel/routing/latency_distribution.h"
#include "peridotwheel/routing/server_selector.h"
#include "peridotwheel/routing/server_stats.h"
#include "peridotwheel/routing/shard_map.h"

#include <gtest/gtest.h>

using namespace peridotwheel;

namespace {

constexpr time_point start{seconds(100)};

server_stats statsWith(duration latency, int replies)
{
    server_stats stats(milliseconds(10), start);
    for (int i = 0; i < replies; ++i) {
        stats.onSent(start);
        stats.onReply(latency, start);
    }
    return stats;
}

} // namespace

TEST(shard_map, roundTripsThroughJson)
{
    const std::string text =
            R"({"shards":[{"id":4,"replicas":["a","b"],"service":"maps"}],"version":3})";
    const auto map = shardMapFromJson(text);
    ASSERT_TRUE(map.has_value());
    EXPECT_EQ(toJson(map.value()), text);
}

// Guards against adopting a map whose shards cannot be queried: none, without replicas or twice.
TEST(shard_map, refusesMalformedMaps)
{
    EXPECT_FALSE(shardMapFromJson("{").has_value());
    EXPECT_FALSE(shardMapFromJson(R"({"version":1})").has_value());
    EXPECT_FALSE(
            shardMapFromJson(R"({"version":1,"shards":[{"id":1,"service":"s","replicas":[]}]})")
                    .has_value());
    EXPECT_FALSE(shardMapFromJson(R"({"version":1,"shards":[
        {"id":1,"service":"s","replicas":["a"]},{"id":1,"service":"t","replicas":["b"]}]})")
                         .has_value());
}

// Guards against quantiles that still reflect a slow period long after its end.
TEST(latency_distribution, forgetsOldSamples)
{
    latency_distribution d;
    for (int i = 0; i < 5000; ++i)
        d.add(milliseconds(500));
    for (int i = 0; i < 20000; ++i)
        d.add(milliseconds(10));
    EXPECT_LE(d.p99(), milliseconds(12));
    EXPECT_GE(d.p99(), milliseconds(10));
}

// Guards against one straggler that diverts all work from a server, and against a lasting slowdown
// that does not.
TEST(server_stats, stragglersCountLessThanALastingSlowdown)
{
    server_stats stats = statsWith(milliseconds(10), 100);
    stats.onSent(start);
    stats.onReply(milliseconds(310), start);
    EXPECT_LT(stats.expectedLatency(start), milliseconds(13));
    for (int i = 0; i < 50; ++i) {
        stats.onSent(start);
        stats.onReply(milliseconds(60), start);
    }
    EXPECT_GT(stats.expectedLatency(start), milliseconds(50));
    // The average of an unused server decays, so that the server is tried again.
    EXPECT_LT(stats.expectedLatency(start + seconds(5)), milliseconds(15));
}

// Guards against a suspicion that ends with the last attempt in flight: a server whose connections
// break one by one has none, but is still not healthy.
TEST(server_stats, staysSuspectAfterAttemptsAreAbandoned)
{
    server_stats stats = statsWith(milliseconds(10), 10);
    stats.onSent(start);
    EXPECT_FALSE(stats.checkSilence(start + milliseconds(39), milliseconds(40)));
    EXPECT_TRUE(stats.checkSilence(start + milliseconds(40), milliseconds(40)));
    stats.onAbandoned(start + milliseconds(50));
    EXPECT_TRUE(stats.suspect());
    EXPECT_FALSE(stats.probeDue(start + milliseconds(60)));
    EXPECT_TRUE(stats.probeDue(start + milliseconds(140)));
    stats.onProbe(start + milliseconds(140));
    EXPECT_FALSE(stats.probeDue(start + milliseconds(300)));
    stats.onSent(start + milliseconds(400));
    stats.onReply(milliseconds(10), start + milliseconds(410));
    EXPECT_FALSE(stats.suspect());
}

// Guards against a choice by latency alone that ignores queued attempts and unusable servers.
TEST(server_selector, prefersTheLeastWait)
{
    const server_stats near = statsWith(milliseconds(10), 50);
    const server_stats far = statsWith(milliseconds(30), 50);
    server_selector selector(selection_policy::LeastExpectedWait);
    std::vector<selection_candidate> c(2);
    c[0].stats = &far;
    c[1].stats = &near;
    c[0].limit = c[1].limit = 2;
    EXPECT_EQ(selector.choose(c, start), 1U);
    c[1].waiting = 6;
    EXPECT_EQ(selector.choose(c, start), 0U);
    c[0].usable = false;
    EXPECT_EQ(selector.choose(c, start), 1U);
    c[1].usable = false;
    EXPECT_EQ(selector.choose(c, start), std::nullopt);
}

// Guards against a suspect server that is chosen because it was fast before it became suspect.
TEST(server_selector, takesASuspectServerOnlyIfThereIsNoOther)
{
    server_stats suspect = statsWith(milliseconds(1), 50);
    suspect.markSuspect(start);
    const server_stats slow = statsWith(milliseconds(900), 50);
    server_selector selector(selection_policy::LeastExpectedWait);
    std::vector<selection_candidate> c(2);
    c[0].stats = &suspect;
    c[1].stats = &slow;
    EXPECT_EQ(selector.choose(c, start), 1U);
    c[1].usable = false;
    EXPECT_EQ(selector.choose(c, start), 0U);
}
