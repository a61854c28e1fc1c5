#include "peridotwheel/gateway/connection_allowance.h"

#include "lib/gateway/standing_connections.h"

#include <gtest/gtest.h>

using namespace peridotwheel;

namespace {

const time_point start(seconds(1000));

/// Opens a connection for \p each whenever \p allowance lets it, for \p length, and returns the
/// time for which one was open.
duration heldIn(connection_allowance &allowance, duration each, duration length)
{
    duration held{};
    time_point now = start;
    while (now < start + length) {
        if (!allowance.mayOpen(now)) {
            now += milliseconds(1);
            continue;
        }
        now += each;
        held += each;
        allowance.onClosed(each, now);
    }
    return held;
}

} // namespace

TEST(connection_allowance, keepsToItsPartOnAverage)
{
    for (const duration each : {milliseconds(20), milliseconds(200), milliseconds(2500)}) {
        connection_allowance allowance;
        allowance.setPart(0.15, start);
        const duration held = heldIn(allowance, each, seconds(200));
        EXPECT_LE(held, seconds(30) + each);
        EXPECT_GE(held, seconds(27) - each);
    }
}

// After a loss of power, all instances would open further connections at the same moment.
TEST(connection_allowance, savesNothingUpAcrossARestart)
{
    connection_allowance allowance;
    allowance.setPart(0.15, start);
    EXPECT_FALSE(allowance.mayOpen(start));
    EXPECT_TRUE(allowance.mayOpen(start + seconds(1)));
}

TEST(connection_allowance, savesUpForAShortWhileOnly)
{
    connection_allowance allowance;
    allowance.setPart(0.15, start);
    const time_point later = start + seconds(3600);
    allowance.onClosed(milliseconds(1450), later);
    EXPECT_FALSE(allowance.mayOpen(later));
}

// At 5,300 instances and 25 connections a server, the part is never enough for an attempt, and
// connections that are set aside for it would be lost.
TEST(connection_allowance, setsNoConnectionsAsideIfInstancesFarOutnumberThem)
{
    const connection_division huge = divideConnections(22, 5300);
    EXPECT_EQ(huge.shared, 22U);
    EXPECT_EQ(huge.onDemandPart, 0);
    connection_allowance allowance;
    allowance.setPart(0.25 * 22 / 5300, start);
    EXPECT_FALSE(allowance.mayOpen(start + seconds(3600)));
    const connection_division large = divideConnections(175, 295);
    EXPECT_EQ(large.shared, 132U);
    EXPECT_NEAR(large.onDemandPart, 43.0 / 295, 1e-9);
    const connection_division small = divideConnections(23, 9);
    EXPECT_EQ(small.shared, 23U);
    EXPECT_EQ(small.onDemandPart, 0);
}
