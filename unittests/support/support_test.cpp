#include "peridotwheel/support/compression.h"
#include "peridotwheel/support/hash.h"
#include "peridotwheel/support/json_text.h"
#include "peridotwheel/support/libevent_loop.h"
#include "peridotwheel/support/log.h"
#include "peridotwheel/support/manual_loop.h"
#include "peridotwheel/support/uri_text.h"

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

TEST(uriText, percentEncodesAllButUnreservedBytes)
{
    EXPECT_EQ(percentEncoded("aZ09-._~"), "aZ09-._~");
    EXPECT_EQ(percentEncoded("a&b+c#d%e f/?="), "a%26b%2Bc%23d%25e%20f%2F%3F%3D");
    EXPECT_EQ(percentEncoded(std::string("\0\r\n\xff", 4)), "%00%0D%0A%FF");
    EXPECT_EQ(percentEncoded(""), "");
}

TEST(uriText, decodesWhatItEncodes)
{
    std::string all;
    for (int c = 0; c < 256; ++c)
        all += static_cast<char>(c);
    EXPECT_EQ(percentDecoded(percentEncoded(all), uri_part::Path), all);
    EXPECT_EQ(percentDecoded(percentEncoded(all), uri_part::Query), all);
    EXPECT_EQ(percentDecoded("a+b%2b%", uri_part::Path), "a+b+%");
    EXPECT_EQ(percentDecoded("a+b%2b%", uri_part::Query), "a b+%");
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

TEST(json_text, splitsObjectsAndArraysWithoutParsingTheirValues)
{
    const auto members =
            jsonMembers(R"( {"a" : [1,{"x":"]}"}], "b\u0063":"q\"{", "n":1e999 ,"e":{}} )");
    ASSERT_TRUE(members);
    EXPECT_EQ(members->at("a"), R"([1,{"x":"]}"}])");
    EXPECT_EQ(members->at("bc"), R"("q\"{")");
    EXPECT_EQ(members->at("n"), "1e999");
    EXPECT_EQ(members->at("e"), "{}");
    EXPECT_TRUE(jsonMembers("{}")->empty());
    const auto elements = jsonElements(R"([ {"a":1}, "x,y" ,7])");
    ASSERT_TRUE(elements);
    EXPECT_EQ(*elements, (std::vector<std::string_view>{R"({"a":1})", R"("x,y")", "7"}));
    EXPECT_TRUE(jsonElements("[]")->empty());
}

// A reply that was cut short or damaged must not be taken for one with fewer objects.
TEST(json_text, refusesTextThatIsNoObjectOrArray)
{
    const std::string whole = R"({"items":[{"a":"b"},[1]],"n":2})";
    for (std::size_t length = 0; length < whole.size(); ++length)
        EXPECT_FALSE(jsonMembers(whole.substr(0, length))) << length;
    for (const char *text : {"", "7", "[", "[1", "[1,", "[,]", "[1,]", "[1}", "[{]}", "[1]]", "{}"})
        EXPECT_FALSE(jsonElements(text)) << text;
    for (const char *text : {"[]", "{1:2}", R"({"a"})", R"({"a":})", R"({"a":1,})", R"({"a":1}x)"})
        EXPECT_FALSE(jsonMembers(text)) << text;
}

// Nested values must not be able to overflow the stack.
TEST(json_text, skipsDeeplyNestedValues)
{
    constexpr std::size_t depth = 1000000;
    const std::string nested = std::string(depth, '[') + std::string(depth, ']');
    const std::string text = "{\"a\":" + nested + ",\"b\":1}";
    const auto members = jsonMembers(text);
    ASSERT_TRUE(members);
    EXPECT_EQ(members->at("b"), "1");
}
