#include "gateway_fixture.h"

#include <gtest/gtest.h>

using namespace peridotwheel;

namespace {

/// A gateway whose process ends soon.
class gateway_stop : public gateway_fixture
{
protected:
    gateway_stop() { warmUp(); }

    void makePlainServers(server_behaviour behaviour)
    {
        for (std::size_t r = 0; r < replicas; ++r)
            plainServer(r).behaviour = behaviour;
    }

    void makePlainServersWork(duration work)
    {
        for (std::size_t r = 0; r < replicas; ++r)
            plainServer(r).work = work;
    }
};

} // namespace

// At the end of a planned stop, requests in flight were cut off without an answer.
TEST_F(gateway_stop, answersRequestsInFlightBeforeTheEnd)
{
    makePlainServers(server_behaviour::Silent);
    const auto booking = send("/once/", "booking");
    loop.advance(milliseconds(20));
    gate.finishBy(loop.now() + milliseconds(300));
    loop.advance(milliseconds(300));
    EXPECT_EQ(statusOf(booking), 504);
    EXPECT_EQ(gate.requestsInFlight(), 0U);
}

TEST_F(gateway_stop, answersRequestsThatArriveLate)
{
    makePlainServers(server_behaviour::Silent);
    gate.finishBy(loop.now() + milliseconds(300));
    const auto client = send("/one/", "late");
    loop.advance(milliseconds(300));
    EXPECT_GE(statusOf(client), 500);
    EXPECT_EQ(gate.requestsInFlight(), 0U);
}

// A gather that has enough of its parts is answered with them, and not given up.
TEST_F(gateway_stop, answersAGatherWithThePartsThatItHas)
{
    shardServer(0, 0).behaviour = server_behaviour::Silent;
    shardServer(0, 1).behaviour = server_behaviour::Silent;
    const auto client = send("/all/", "q");
    loop.advance(milliseconds(30));
    gate.finishBy(loop.now() + milliseconds(20));
    loop.advance(milliseconds(20));
    EXPECT_EQ(statusOf(client), 200);
    EXPECT_EQ(missingIn(client), "1");
}

// A request that may not be repeated must not be sent if its answer might come after the end: its
// caller could not tell whether it ran.
TEST_F(gateway_stop, refusesANonIdempotentRequestThatMayNotFinish)
{
    makePlainServersWork(milliseconds(40));
    for (int i = 0; i < 100; ++i) {
        send("/once/", "before-" + std::to_string(i));
        loop.advance(milliseconds(50));
    }
    gate.finishBy(loop.now() + milliseconds(80));
    const auto client = send("/once/", "booking");
    EXPECT_EQ(statusOf(client), 503);
    loop.advance(seconds(1));
    EXPECT_EQ(backends.runs("booking"), 0U);
}

// With enough time left, requests are served until the end.
TEST_F(gateway_stop, servesRequestsThatFinishInTime)
{
    gate.finishBy(loop.now() + seconds(2));
    const auto booking = send("/once/", "booking");
    const auto query = send("/all/", "q");
    loop.advance(milliseconds(200));
    EXPECT_EQ(statusOf(booking), 200);
    EXPECT_EQ(statusOf(query), 200);
}
