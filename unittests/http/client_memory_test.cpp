#include "peridotwheel/http/client_memory.h"

#include <gtest/gtest.h>
#include <list>

using namespace peridotwheel;

namespace {

constexpr std::size_t kilobyte = 1024;

class client_memory_test : public testing::Test
{
protected:
    struct client
    {
        client(client_memory &memory, time_point now)
            : held(std::make_unique<client_memory::holder>(
                      memory,
                      client_memory::holder_hooks{[this] { isReleased = true; },
                                                  [this] {
                                                      if (!hasNewRequest)
                                                          held.reset();
                                                  }},
                      now))
        {
        }

        bool isReleased = false;
        bool hasNewRequest = false;
        std::unique_ptr<client_memory::holder> held;
    };

    client &add(client_phase phase, std::size_t bytes)
    {
        client &c = clients.emplace_back(memory, now);
        c.held->enter(phase, bytes, now);
        return c;
    }

    time_point now = time_point() + seconds(100);
    int dropped = 0;
    int refused = 0;
    client_memory memory{{100 * kilobyte, 3},
                         {[this](auto, client_phase, std::size_t) { ++dropped; },
                          [this](auto, std::size_t) { ++refused; }}};
    std::list<client> clients;
};

} // namespace

// Guards against a busy or prompt client that is cut off in place of one that reads nothing.
TEST_F(client_memory_test, dropsTheClientThatLagsMost)
{
    client &stalled = add(client_phase::Sending, 30 * kilobyte);
    client &steady = add(client_phase::Sending, 40 * kilobyte);
    client &running = add(client_phase::Running, 25 * kilobyte);
    now += seconds(2);
    steady.held->update(40 * kilobyte, 2 * client_memory::minPaceBytesPerSecond, now);
    client &receiving = add(client_phase::Receiving, 10 * kilobyte);
    EXPECT_TRUE(stalled.isReleased);
    EXPECT_FALSE(steady.isReleased || running.isReleased || receiving.isReleased);
    EXPECT_EQ(memory.bytes(), 75 * kilobyte);
    EXPECT_EQ(dropped, 1);
}

// Guards against a client that keeps its reply buffered by reading a little of it now and then.
TEST_F(client_memory_test, takesATrickleForALag)
{
    client &trickling = add(client_phase::Sending, 60 * kilobyte);
    now += seconds(5);
    trickling.held->update(59 * kilobyte, kilobyte, now);
    client &later = add(client_phase::Sending, 60 * kilobyte);
    EXPECT_TRUE(trickling.isReleased);
    EXPECT_FALSE(later.isReleased);
}

// Guards against a single long reply that is never delivered, although nothing else needs memory.
TEST_F(client_memory_test, letsOneClientAloneExceedTheMemory)
{
    client &large = add(client_phase::Sending, 900 * kilobyte);
    now += seconds(50);
    client &other = add(client_phase::Sending, 50 * kilobyte);
    EXPECT_FALSE(large.isReleased || other.isReleased);
    add(client_phase::Receiving, kilobyte);
    EXPECT_TRUE(large.isReleased);
    EXPECT_FALSE(other.isReleased);
}

// Guards against requests in progress that leave no memory for replies, and against a single long
// request that is refused.
TEST_F(client_memory_test, refusesRequestsBeyondHalfOfTheMemory)
{
    EXPECT_TRUE(memory.admit(500 * kilobyte));
    client &first = add(client_phase::Running, 30 * kilobyte);
    EXPECT_TRUE(memory.admit(20 * kilobyte));
    EXPECT_FALSE(memory.admit(21 * kilobyte));
    EXPECT_EQ(refused, 1);
    first.held->enter(client_phase::Idle, 0, now);
    EXPECT_TRUE(memory.admit(500 * kilobyte));
}

// Guards against a client that is cut off although a worse one could make room: first go
// connections without any request, then slow ones, then idle ones.
TEST_F(client_memory_test, makesRoomInOrder)
{
    client &idle = add(client_phase::Idle, 0);
    client &slow = add(client_phase::Receiving, 1);
    client &fresh = add(client_phase::Fresh, 0);
    now += seconds(2);
    for (client *expected : {&fresh, &slow, &idle}) {
        EXPECT_TRUE(memory.makeRoom(now));
        EXPECT_FALSE(expected->held);
        add(client_phase::Running, 1);
    }
    EXPECT_FALSE(memory.makeRoom(now));
    EXPECT_EQ(memory.connections(), 3U);
    EXPECT_EQ(refused, 1);
}

// Guards against a request that is cut off because it arrived when its connection was to be closed.
TEST_F(client_memory_test, keepsAConnectionOnWhichARequestHasJustArrived)
{
    client &first = add(client_phase::Idle, 0);
    first.hasNewRequest = true;
    add(client_phase::Running, 1);
    add(client_phase::Running, 1);
    EXPECT_FALSE(memory.makeRoom(now));
    EXPECT_TRUE(first.held);
    EXPECT_EQ(dropped, 0);
}

// Guards against clients that take the descriptors of servers, the store and other instances.
TEST(client_limits, leaveAQuarterOfTheSockets)
{
    const client_limits limits = client_limits::forProcess(160 * kilobyte * kilobyte, 4100);
    EXPECT_EQ(limits.connections, 2925U);
    EXPECT_GT(limits.bytes, 2 * 8 * kilobyte * kilobyte);
}
