#include "peridotwheel/peer/exchange.h"

#include "peridotwheel/peer/peer_client.h"
#include "peridotwheel/peer/peer_service.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace peridotwheel;

namespace {

exchange sampleExchange()
{
    exchange e;
    e.sender.id = instance_id("entry-1");
    e.sender.start = start_id(~std::uint64_t{0});
    e.sender.incarnation = 5;
    e.sender.dataCentre = data_centre_id("dc1");
    e.sender.peers = {"127.0.1.1", 7000};
    e.sender.operators = {"127.0.1.1", 65535};
    e.members = {e.sender, e.sender};
    e.members[1].state = member_state::Suspect;
    e.serversLeaving = {{server_id("cards-1"), start_id(3)}};
    e.configurationVersion = object_version(9);
    e.snapshotVersion = index_version(4);
    e.configuration = R"({"classes":[]})";
    return e;
}

struct last_reply : http_responder
{
    void reply(const http_reply &r) override { status = r.status; }
    void onClientDisconnected(std::function<void()>) override {}
    void drop() override {}
    int status = 0;
};

} // namespace

TEST(exchangeCodec, preservesFieldsInARoundTrip)
{
    const auto back = decodeExchange(encodeExchange(sampleExchange()));
    ASSERT_TRUE(back.has_value()) << back.error().message;
    const auto &e = back.value();
    EXPECT_EQ(e.sender.start, start_id(~std::uint64_t{0}));
    EXPECT_EQ(e.sender.operators.port, 65535);
    EXPECT_EQ(e.members.at(1).state, member_state::Suspect);
    EXPECT_EQ(e.serversLeaving.at(0).id, server_id("cards-1"));
    EXPECT_EQ(e.configurationVersion, object_version(9));
    EXPECT_EQ(*e.configuration, R"({"classes":[]})");
    EXPECT_FALSE(e.shardMap.has_value());
}

// Guards against crashes on truncated messages, and against merging only part of a message.
TEST(exchangeCodec, refusesEveryTruncation)
{
    const std::string whole = encodeExchange(sampleExchange());
    for (std::size_t n = 0; n < whole.size(); ++n)
        EXPECT_FALSE(decodeExchange(whole.substr(0, n)).has_value()) << n;
}

// Guards against crashes on corrupted messages.
RC_GTEST_PROP(exchangeCodec, decodesCorruptedBytesWithoutCrashing,
              (const std::vector<std::pair<std::size_t, char>> &edits))
{
    std::string body = encodeExchange(sampleExchange());
    for (const auto &[at, replacement] : edits)
        body[at % body.size()] = replacement;
    (void)decodeExchange(body);
}

// Guards against values out of range, such as an incarnation at which a member could never refute a
// suspicion.
TEST(exchangeCodec, refusesImplausibleValues)
{
    auto e = sampleExchange();
    e.sender.incarnation = ~std::uint64_t{0} >> 1U;
    EXPECT_FALSE(decodeExchange(encodeExchange(e)).has_value());
    e = sampleExchange();
    e.members[0].peers.port = 0;
    EXPECT_FALSE(decodeExchange(encodeExchange(e)).has_value());
    e = sampleExchange();
    e.members.resize(maxPeerListItems + 1, e.sender);
    EXPECT_FALSE(decodeExchange(encodeExchange(e)).has_value());
}

// Guards against malformed requests that reach the controllers.
TEST(peerService, rejectsMalformedRequestsBeforeTheHook)
{
    counter_set counters;
    int reached = 0;
    peer_service service(counters, [&](const exchange &) {
        ++reached;
        return sampleExchange();
    });
    auto status = [&](http_method method, const std::string &path, const std::string &body) {
        auto responder = std::make_shared<last_reply>();
        service.handle({method, path, {}, body}, responder);
        return responder->status;
    };
    EXPECT_EQ(status(http_method::Post, peerExchangePath, "garbage"), 400);
    EXPECT_EQ(status(http_method::Post, peerExchangePath, ""), 400);
    EXPECT_EQ(status(http_method::Get, peerExchangePath, ""), 405);
    EXPECT_EQ(status(http_method::Post, "/query", ""), 404);
    EXPECT_EQ(reached, 0);
    EXPECT_EQ(counters.at("peer.malformed").value(), 2U);
    EXPECT_EQ(status(http_method::Post, peerExchangePath, encodeExchange(sampleExchange())), 200);
    EXPECT_EQ(reached, 1);
}
