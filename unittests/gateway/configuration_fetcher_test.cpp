#include "lib/gateway/configuration_fetcher.h"
#include "lib/gateway/configuration_source.h"
#include "peridotwheel/gateway/decision_log.h"
#include "peridotwheel/support/manual_loop.h"

#include <gtest/gtest.h>
#include <map>

using namespace peridotwheel;

namespace {

constexpr byte_rate fastLink = byte_rate::fromMegabits(10000);

platform_object largeObject(unsigned version)
{
    constexpr std::size_t textBytes = 400 * 1024;
    random_source random(version);
    std::string text;
    while (text.size() < textBytes)
        text += static_cast<char>('0' + random.below(64));
    return {{"config", "main"}, object_version(100 + version), text};
}

/// Connects a fetcher to sources; a source can be made to fail after some chunks.
class fetcher_test : public testing::Test, public http_client
{
protected:
    fetcher_test()
        : log(loop, "test",
              [this](std::string_view text) {
                  lines += text;
                  return text.size();
              })
        , fetcher(loop, *this, log, "config", at(9), 1,
                  {[this] { return known; },
                   [this](const configuration_document &document, const platform_object &object,
                          const endpoint &source) {
                       known = document.version;
                       fetched.push_back(object);
                       from.push_back(source);
                   }})
    {
    }

    static endpoint at(std::uint16_t port) { return {"10.0.0.1", port}; }

    configuration_source &addSource(std::uint16_t port, unsigned version)
    {
        auto &source =
                sources.emplace(at(port), configuration_source(fastLink, loop.now())).first->second;
        EXPECT_TRUE(source.setNewest(configuration_version(version), largeObject(version)));
        return source;
    }

    void send(const endpoint &to, const http_request &request, duration timeout,
              outcome_hook done) override
    {
        ++requests[to];
        http_outcome outcome;
        const bool isDown = requests[to] > chunksUntilFailure[to];
        if (isDown) {
            outcome.failure = transport_failure::MayHaveRun;
        } else {
            const auto wanted = decodeConfigurationRequest(request.body);
            configuration_reply reply = sources.at(to).answer(wanted.value(), loop.now());
            chunkBytes += reply.chunk.size();
            if (damagesChunks && !reply.chunk.empty())
                reply.chunk[0] = static_cast<char>(~reply.chunk[0]);
            outcome.reply = {200, {}, encodeConfigurationReply(reply)};
        }
        pending.push_back(loop.schedule(isDown ? timeout : duration(milliseconds(1)),
                                        [done, outcome] { done(outcome); }));
    }

    manual_loop loop;
    std::string lines;
    decision_log log;
    configuration_version known{5};
    std::vector<platform_object> fetched;
    std::vector<endpoint> from;
    std::map<endpoint, configuration_source> sources;
    std::map<endpoint, int> requests;
    std::map<endpoint, int> chunksUntilFailure{{at(1), 1000}, {at(2), 1000}};
    std::size_t chunkBytes = 0;
    bool damagesChunks = false;
    std::vector<timer> pending;
    configuration_fetcher fetcher;
};

} // namespace

TEST_F(fetcher_test, fetchesANewerConfigurationOnce)
{
    addSource(1, 6);
    fetcher.announce(configuration_version(5), at(1));
    loop.advance(seconds(1));
    EXPECT_TRUE(fetched.empty());
    for (int i = 0; i < 20; ++i)
        fetcher.announce(configuration_version(6), at(1));
    loop.advance(seconds(1));
    ASSERT_EQ(fetched.size(), 1U);
    EXPECT_EQ(fetched[0].value, largeObject(6).value);
    EXPECT_EQ(fetched[0].version, largeObject(6).version);
    EXPECT_EQ(fetcher.behindFor(), duration::zero());
}

// A transfer that started anew after each failure could last forever on a lossy network.
TEST_F(fetcher_test, continuesAtAnotherSourceWithoutRequestingChunksAgain)
{
    addSource(1, 6);
    addSource(2, 6);
    chunksUntilFailure[at(1)] = 4;
    fetcher.announce(configuration_version(6), at(1));
    fetcher.announce(configuration_version(6), at(2));
    loop.advance(seconds(2));
    ASSERT_EQ(fetched.size(), 1U);
    EXPECT_EQ(from[0], at(2));
    const auto document = makeDocument(configuration_version(6), largeObject(6));
    EXPECT_EQ(chunkBytes, document.value().compressed.size());
}

TEST_F(fetcher_test, refusesADamagedDocument)
{
    addSource(1, 6);
    damagesChunks = true;
    fetcher.announce(configuration_version(6), at(1));
    loop.advance(seconds(2));
    EXPECT_TRUE(fetched.empty());
    log.flush();
    EXPECT_NE(lines.find("peer_configuration_refused"), std::string::npos);
    EXPECT_GT(fetcher.behindFor(), seconds(1));
    damagesChunks = false;
    fetcher.announce(configuration_version(6), at(1));
    loop.advance(seconds(1));
    EXPECT_EQ(fetched.size(), 1U);
}

// Changes in quick succession made the transfer of each version start anew.
TEST_F(fetcher_test, finishesAVersionThatIsReplacedMeanwhile)
{
    configuration_source &source = addSource(1, 6);
    fetcher.announce(configuration_version(6), at(1));
    loop.advance(milliseconds(3));
    ASSERT_TRUE(source.setNewest(configuration_version(7), largeObject(7)));
    fetcher.announce(configuration_version(7), at(1));
    loop.advance(seconds(1));
    ASSERT_EQ(fetched.size(), 2U);
    EXPECT_EQ(fetched[0].value, largeObject(6).value);
    EXPECT_EQ(fetched[1].value, largeObject(7).value);
}

// The links of the instances that watch the store carry callers' requests as well.
TEST(configuration_source, takesAtMostHalfOfTheLink)
{
    constexpr byte_rate link = byte_rate::fromMegabits(20);
    time_point now(seconds(1000));
    configuration_source source(link, now);
    ASSERT_TRUE(source.setNewest(configuration_version(6), largeObject(6)));
    double sent = 0;
    constexpr duration step = milliseconds(1);
    constexpr duration total = seconds(4);
    for (duration elapsed{}; elapsed < total; elapsed += step) {
        for (int requester = 0; requester < 100; ++requester)
            sent += static_cast<double>(source.answer({}, now).chunk.size());
        now += step;
    }
    EXPECT_LE(sent, link.bytesIn(total) / 2 + link.bytesIn(milliseconds(100)));
    EXPECT_GE(sent, link.bytesIn(total) / 4);
}

// In a large data centre the watchers alone would need minutes to send a document to all.
TEST(configuration_source, refersRequestersToOtherHolders)
{
    const time_point now(seconds(1000));
    configuration_source source(byte_rate::fromMegabits(20), now);
    ASSERT_TRUE(source.setNewest(configuration_version(6), largeObject(6)));
    source.recordHolder({"10.0.0.2", 1}, configuration_version(6));
    source.recordHolder({"10.0.0.3", 1}, configuration_version(5));
    const auto reply = source.answer({}, now);
    EXPECT_EQ(reply.holders, std::vector<endpoint>({endpoint{"10.0.0.2", 1}}));
}

TEST(configuration_reply, refusesSizesThatContradictEachOther)
{
    configuration_reply reply;
    reply.chunk = "0123456789";
    reply.documentBytes = 9;
    EXPECT_FALSE(decodeConfigurationReply(encodeConfigurationReply(reply)));
    reply.documentBytes = 10;
    EXPECT_TRUE(decodeConfigurationReply(encodeConfigurationReply(reply)));
    reply.document.textBytes = maxConfigurationBytes + 1;
    EXPECT_FALSE(decodeConfigurationReply(encodeConfigurationReply(reply)));
    EXPECT_FALSE(decodeConfigurationReply("no message"));
}
