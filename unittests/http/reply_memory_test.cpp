#include "peridotwheel/http/reply_memory.h"

#include <gtest/gtest.h>
#include <memory>
#include <vector>

using namespace peridotwheel;

namespace {

constexpr std::size_t kilobyte = 1024;
constexpr std::size_t megabyte = 1024 * kilobyte;

/// Replies in progress that share one memory. Each grows by pieces while it is read.
class reply_memory_test : public testing::Test
{
protected:
    struct reply
    {
        explicit reply(reply_memory &memory)
            : held(memory, {[this](bool r) { reading = r; }, [this] { givenUp = true; }})
        {
        }

        void grow(std::size_t piece)
        {
            if (!reading || givenUp)
                return;
            bytes += piece;
            held.setBytes(bytes);
        }

        void end()
        {
            bytes = 0;
            held.setBytes(0);
        }

        bool reading = true;
        bool givenUp = false;
        std::size_t bytes = 0;
        reply_memory::holder held;
    };

    reply &add()
    {
        replies.push_back(std::make_unique<reply>(memory));
        return *replies.back();
    }

    std::vector<std::size_t> givenUp;
    reply_memory memory{{2 * megabyte, megabyte},
                        [this](std::size_t bytes) { givenUp.push_back(bytes); }};
    std::vector<std::unique_ptr<reply>> replies;
};

} // namespace

// A limit for one reply did not limit the memory of the replies of many servers at once.
TEST_F(reply_memory_test, boundsAllRepliesWithoutEndTogether)
{
    constexpr std::size_t maxReply = 8 * megabyte;
    constexpr std::size_t piece = 16 * kilobyte;
    for (int i = 0; i < 1000; ++i)
        add();
    std::size_t most = 0;
    for (int round = 0; round < 2000; ++round) {
        for (auto &r : replies) {
            r->grow(piece);
            if (r->bytes >= maxReply)
                r->end();
            // The connection is replaced by one to another server that does the same.
            if (r->givenUp)
                r = std::make_unique<reply>(memory);
            most = std::max(most, memory.bytes());
        }
    }
    EXPECT_LE(most, 3 * megabyte + maxReply + piece);
    EXPECT_FALSE(givenUp.empty());
}

// An ordinary reply must not fail because others never end.
TEST_F(reply_memory_test, neverStopsSmallRepliesForLargeOnes)
{
    for (int i = 0; i < 200; ++i) {
        reply &endless = add();
        for (int piece = 0; piece < 10; ++piece)
            endless.grow(16 * kilobyte);
        reply &ordinary = add();
        ordinary.grow(16 * kilobyte);
        ordinary.grow(2 * kilobyte);
        EXPECT_TRUE(ordinary.reading);
        EXPECT_FALSE(ordinary.givenUp);
        ordinary.end();
    }
}

// Answers of the permitted size that come at the same time must all arrive, one after the other.
TEST_F(reply_memory_test, letsLargeRepliesEndOneAfterTheOther)
{
    constexpr std::size_t size = 8 * megabyte;
    for (int i = 0; i < 8; ++i)
        add();
    std::size_t ended = 0;
    for (int round = 0; round < 10000 && ended < replies.size(); ++round) {
        for (auto &r : replies) {
            if (r->bytes >= size)
                continue;
            r->grow(16 * kilobyte);
            if (r->bytes < size)
                continue;
            ++ended;
            r->held.setBytes(0);
        }
    }
    EXPECT_EQ(ended, replies.size());
    EXPECT_TRUE(givenUp.empty());
}

TEST_F(reply_memory_test, givesUpTheLongestSmallReply)
{
    reply &longest = add();
    longest.grow(60 * kilobyte);
    for (int i = 0; i < 30; ++i)
        add().grow(32 * kilobyte);
    EXPECT_FALSE(longest.givenUp);
    add().grow(16 * kilobyte);
    EXPECT_TRUE(longest.givenUp);
    EXPECT_EQ(givenUp, std::vector<std::size_t>{60 * kilobyte});
    EXPECT_EQ(memory.bytes(), 30 * 32 * kilobyte + 16 * kilobyte);
}

TEST_F(reply_memory_test, freesTheMemoryOfConnectionsThatClose)
{
    add().grow(60 * kilobyte);
    add().grow(500 * kilobyte);
    replies.clear();
    EXPECT_EQ(memory.bytes(), 0U);
}
