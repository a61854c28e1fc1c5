#include "shared_shards.h"

#include <gtest/gtest.h>

using namespace peridotwheel;

namespace {

const class_rank urgentRank(0);
const class_rank lowRank(1);

/// Two classes over the same shards; three quarters of the queries are of the low rank, whose
/// service time is \p workMs, and the urgent ones take a third of it.
std::vector<simulated_class> twoClasses(double workMs, duration urgentTarget, duration lowTarget)
{
    return {{urgentRank, workMs / 3, urgentTarget, 0.25}, {lowRank, workMs, lowTarget, 0.75}};
}

constexpr duration length = seconds(20);

shards_spec someShards(int instances, double workMs, double spread)
{
    shards_spec spec;
    spec.instances = instances;
    spec.spread = spread;
    constexpr double longWorkMs = 50;
    spec.classes = workMs > longWorkMs ? twoClasses(workMs, milliseconds(400), milliseconds(800))
                                       : twoClasses(workMs, milliseconds(100), milliseconds(200));
    return spec;
}

/// Plays \p load for a while and returns the share of the queries that were refused.
double refusedAt(const shards_spec &spec, double load)
{
    shared_shards shards(spec);
    shards.play(load, length);
    shards.finish();
    return shards.refusedShare();
}

/// At most one query in 1,000 may be refused at up to 60% of the capacity.
constexpr double tolerated = 0.001;

} // namespace

// On a day without any fault 23% of the queries were refused, at a fifth to a third of the
// capacity, because queries with more work than usual were taken for queued ones.
TEST(admission_variation, refusesNothingWhereServiceTimesVaryByQuery)
{
    for (const double spread : {0.0, 0.35, 0.6}) {
        for (const double load : {0.1, 0.3, 0.6}) {
            SCOPED_TRACE(testing::Message() << "spread " << spread << ", load " << load);
            EXPECT_LE(refusedAt(someShards(7, 20, spread), load), tolerated);
        }
    }
}

TEST(admission_variation, refusesNothingWhereServiceTimesVaryByPart)
{
    for (const double load : {0.3, 0.6}) {
        SCOPED_TRACE(testing::Message() << "load " << load);
        shards_spec spec = someShards(7, 20, 0.6);
        spec.variesByQuery = false;
        EXPECT_LE(refusedAt(spec, load), tolerated);
    }
}

TEST(admission_variation, refusesNothingWithShortServiceTimes)
{
    for (const double load : {0.3, 0.6}) {
        SCOPED_TRACE(testing::Message() << "load " << load);
        EXPECT_LE(refusedAt(someShards(9, 2, 0.35), load), tolerated);
    }
}

// With long service times, the variation alone exceeds the tolerated queueing delay many times.
TEST(admission_variation, refusesNothingWithLongServiceTimes)
{
    EXPECT_LE(refusedAt(someShards(9, 100, 0.35), 0.3), tolerated);
}

TEST(admission_variation, refusesNothingWithLongServiceTimesAtMediumLoad)
{
    EXPECT_LE(refusedAt(someShards(9, 100, 0.35), 0.6), tolerated);
}

// A fault of some servers is no overload: placement avoids them.
TEST(admission_variation, refusesNothingWhileSomeServersAreSlow)
{
    constexpr double slowShare = 0.15;
    constexpr double slowness = 11;
    shared_shards shards(someShards(9, 20, 0.35));
    shards.play(0.3, seconds(4));
    shards.slowDown(slowShare, slowness);
    shards.play(0.3, seconds(8));
    shards.finish();
    EXPECT_LE(shards.refusedShare(), tolerated);
}

TEST(admission_variation, refusesNothingOnUnevenServers)
{
    for (const double load : {0.1, 0.3, 0.6}) {
        SCOPED_TRACE(testing::Message() << "load " << load);
        shards_spec spec = someShards(7, 20, 0.35);
        spec.hasUnevenServers = true;
        EXPECT_LE(refusedAt(spec, load), tolerated);
    }
}

// An instance of a large fleet sees only a few queries a second.
TEST(admission_variation, refusesNothingOnInstancesWithFewQueries)
{
    for (const int instances : {84, 300}) {
        for (const double load : {0.1, 0.6}) {
            SCOPED_TRACE(testing::Message() << instances << " instances, load " << load);
            EXPECT_LE(refusedAt(someShards(instances, 20, 0.35), load), tolerated);
        }
    }
}

namespace {

/// Plays a flood after the usual load. Returns the work that is answered in time from half a second
/// after its start on, as a share of the capacity.
double usefulInFlood(const shards_spec &spec, double load)
{
    constexpr duration floodLength = seconds(8);
    shared_shards shards(spec);
    shards.play(0.3, seconds(4));
    shards.play(load, milliseconds(500));
    shards.resetCounts();
    shards.play(load, floodLength);
    shards.finish();
    return shards.usefulShare(floodLength);
}

/// Useful work in a flood, as a share of the capacity.
constexpr double requiredWork = 0.9;

} // namespace

TEST(admission_flood, keepsTheShardsBusy)
{
    for (const int instances : {9, 84}) {
        for (const double load : {2.0, 3.0, 6.0}) {
            SCOPED_TRACE(testing::Message() << instances << " instances, load " << load);
            EXPECT_GE(usefulInFlood(someShards(instances, 20, 0.35), load), requiredWork);
        }
    }
}

TEST(admission_flood, refusesNothingASecondAfterItsEnd)
{
    shared_shards shards(someShards(9, 20, 0.35));
    shards.play(3, seconds(5));
    shards.play(0.3, seconds(1));
    shards.resetCounts();
    shards.play(0.3, seconds(4));
    shards.finish();
    EXPECT_LE(shards.refusedShare(), tolerated);
}
