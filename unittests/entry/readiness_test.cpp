#include "fleet_fixture.h"

using namespace peridotwheel;

// Guards against a restarted instance that serves with an older configuration than the one it had
// in force before, because of a stale read of the platform.
TEST(controlPlane, restartedInstanceCompletesInitialSyncOnlyWithThePeersVersion)
{
    fleet f(9);
    f.storeConfiguration(150);
    const auto v = f.storeConfiguration(140);
    f.run(10);
    f.kill(5);
    f.platform.staleReadRate = 1.0;
    f.start(5, 2);
    const fleet_instance &restarted = *f.instances[5];
    EXPECT_FALSE(restarted.plane->isInitialSyncDone());
    const duration step = milliseconds(1);
    for (int i = 0; i < 1900 && !restarted.plane->isInitialSyncDone(); ++i)
        f.loop.advance(step);
    EXPECT_TRUE(restarted.plane->isInitialSyncDone());
    EXPECT_EQ(restarted.highest, v);
}

// Guards against an instance that waits indefinitely for peers that it cannot reach.
TEST(controlPlane, instanceWithoutPeersCompletesInitialSyncAfterTheTimeout)
{
    fleet f(1);
    f.loop.advance(milliseconds(1999));
    EXPECT_FALSE(f.instances[0]->plane->isInitialSyncDone());
    f.loop.advance(milliseconds(1));
    EXPECT_TRUE(f.instances[0]->plane->isInitialSyncDone());
}
