#include "peridotwheel/support/compression.h"
#include "peridotwheel/support/hash.h"
#include "peridotwheel/support/libevent_loop.h"
#include "peridotwheel/support/log.h"
#include "peridotwheel/support/manual_loop.h"

#include <gtest/gtest.h>
#include <thread>

using namespace peridotwheel;

TEST(manualLoop, runsTimersInOrderAndHonoursCancel)
{
    manual_loop loop;
    std::string order;
    auto a = loop.schedule(milliseconds(20), [&] { order += 'a'; });
    auto b = loop.schedule(milliseconds(10), [&] { order += 'b'; });
    auto c = loop.schedule(milliseconds(15), [&] { order += 'c'; });
    c.cancel();
    loop.advance(milliseconds(30));
    EXPECT_EQ(order, "ba");
}

// Guards against a wake-up that is lost when another thread posts while the loop is idle.
TEST(libeventLoop, runsTasksPostedByOtherThreads)
{
    libevent_loop loop;
    int ran = 0;
    std::thread poster([&] {
        for (int i = 0; i < 100; ++i)
            loop.post([&] { ++ran; });
        loop.stop();
    });
    loop.run();
    poster.join();
    EXPECT_EQ(ran, 100);
}

TEST(libeventLoop, aTimerMayDestroyItself)
{
    libevent_loop loop;
    timer t;
    t = loop.schedule(milliseconds(1), [&] {
        t.cancel();
        loop.stop();
    });
    loop.run();
    EXPECT_FALSE(t);
}

TEST(hash, rendezvousMovesOnlyKeysOfTheNodeThatLeft)
{
    const std::string nodes[] = {"a", "b", "c", "d"};
    auto owner = [&](const std::string &key, std::size_t count) {
        std::size_t best = 0;
        for (std::size_t i = 1; i < count; ++i) {
            if (rendezvousWeight(key, nodes[i]) > rendezvousWeight(key, nodes[best]))
                best = i;
        }
        return best;
    };
    for (int i = 0; i < 500; ++i) {
        const std::string key = "key" + std::to_string(i);
        const auto before = owner(key, 4);
        if (before != 3) {
            EXPECT_EQ(owner(key, 3), before);
        }
    }
}

TEST(log, quotesValuesThatWouldBreakALine)
{
    EXPECT_EQ(logValue("plain"), "plain");
    EXPECT_EQ(logValue("two words"), "\"two words\"");
    EXPECT_EQ(logValue("a\nb"), "\"a b\"");
    EXPECT_FALSE(configureLogging("loud").has_value());
}

// A size or content that another process states wrongly must not be taken for the text.
TEST(compression, refusesDamagedDataAndWrongSizes)
{
    const std::string text(100000, 'x');
    const auto compressed = compress(text);
    ASSERT_TRUE(compressed);
    EXPECT_LT(compressed.value().size(), text.size() / 10);
    EXPECT_EQ(decompress(compressed.value(), text.size()).value(), text);
    EXPECT_FALSE(decompress(compressed.value(), text.size() - 1));
    EXPECT_FALSE(decompress(compressed.value(), text.size() + 1));
    std::string damaged = compressed.value();
    damaged.back() = static_cast<char>(~damaged.back());
    EXPECT_FALSE(decompress(damaged, text.size()));
}
