#include "relay_fixture.h"

namespace peridotwheel {

namespace {

class recording_responder : public http_responder
{
public:
    void reply(const http_reply &r) override
    {
        if (!got)
            got = r;
    }
    void onClientDisconnected(std::function<void()> hook) override { gone = std::move(hook); }
    void drop() override {}

    relay_answer decoded() const
    {
        EXPECT_TRUE(got) << "no reply";
        auto a = decodeRelayAnswer(got->body);
        EXPECT_TRUE(a);
        return a.value();
    }

    std::optional<http_reply> got;
    std::function<void()> gone;
};

class relay_service_test : public relay_fixture
{
protected:
    std::shared_ptr<recording_responder> post(const std::string &path, const std::string &body)
    {
        auto out = std::make_shared<recording_responder>();
        service.handle({http_method::Post, path, {}, body}, out);
        return out;
    }

    relay_query part(std::uint64_t id, std::uint64_t version = 1)
    {
        relay_query q;
        q.key = {instance_id("i9"), start_id(3), id};
        q.request = request();
        q.request.pinnedVersion = index_version(version);
        q.request.shards = {shard_id(1), shard_id(2)};
        return q;
    }

    std::shared_ptr<recording_responder> ask(const relay_query &q)
    {
        return post(relayQueryPath, encodeRelayQuery(q, loop.now()));
    }

    relay_service service{loop, board, local, hooks(), counters};
};

// Guards against an owner that relays a part again: while views differ, the part could be relayed
// in a loop.
TEST_F(relay_service_test, notOwnedShardsAreReportedAndNeverRelayedAgain)
{
    ownServers = {server_id("n2")};
    const auto out = ask(part(1));
    ASSERT_EQ(local.calls.size(), 1U);
    EXPECT_EQ(local.calls[0].request.shards, std::vector<shard_id>{shard_id(2)});
    query_answer a;
    a.kind = answer_kind::Complete;
    a.ran = ran_state::Yes;
    a.version = index_version(1);
    a.results.push_back({shard_id(2), "2"});
    local.calls[0].done(a);
    const relay_answer got = out->decoded();
    EXPECT_EQ(got.notOwned, std::vector<shard_id>{shard_id(1)});
    EXPECT_EQ(got.answer.covered.missing, std::vector<shard_id>{shard_id(1)});
    EXPECT_EQ(got.answer.results.size(), 1U);
    EXPECT_TRUE(http.queries.empty());
    EXPECT_EQ(service.inProgress(), 0U);
}

// Guards against an owner that runs a part on another version than the pinned one, or does not
// report that it no longer has the version.
TEST_F(relay_service_test, unknownVersionDoesNotRun)
{
    ownServers = {server_id("n1"), server_id("n2")};
    const auto out = ask(part(1, 7));
    EXPECT_TRUE(local.calls.empty());
    EXPECT_TRUE(out->decoded().answer.versionLost);
    EXPECT_EQ(out->decoded().answer.ran, ran_state::No);
}

// Guards against work that continues at the owner after the origin's query has ended, and against
// the loss of deadline, rank and targets in the message.
TEST_F(relay_service_test, cancelEndsTheRunningPartOfTheSameStart)
{
    ownServers = {server_id("n1"), server_id("n2")};
    const relay_query q = part(1);
    ask(q);
    ASSERT_EQ(local.calls.size(), 1U);
    const query_request &r = local.calls[0].request;
    EXPECT_EQ(r.deadline, q.request.deadline);
    EXPECT_EQ(r.spec, q.request.spec);
    int cancelled = 0;
    r.cancellation->hook = [&] { ++cancelled; };
    relay_key other = q.key;
    other.start = start_id(4);
    post(relayCancelPath, encodeRelayCancel(other));
    EXPECT_EQ(cancelled, 0) << "another start of the origin";
    post(relayCancelPath, encodeRelayCancel(q.key));
    EXPECT_EQ(cancelled, 1);
}

// Guards against a part that keeps running after the origin has closed its connection.
TEST_F(relay_service_test, closedConnectionEndsThePart)
{
    ownServers = {server_id("n1"), server_id("n2")};
    const auto out = ask(part(1));
    bool cancelled = false;
    local.calls.at(0).request.cancellation->hook = [&] { cancelled = true; };
    out->gone();
    EXPECT_TRUE(cancelled);
}

// Guards against malformed messages that reach the engine.
TEST_F(relay_service_test, malformedMessagesAreRefused)
{
    const std::string good = encodeRelayQuery(part(1), loop.now());
    for (std::size_t length = 0; length < good.size(); ++length)
        EXPECT_EQ(post(relayQueryPath, good.substr(0, length))->got->status, 400) << length;
    relay_query unordered = part(2);
    unordered.request.shards = {shard_id(2), shard_id(1)};
    EXPECT_EQ(ask(unordered)->got->status, 400);
    EXPECT_TRUE(local.calls.empty());
}

} // namespace

} // namespace peridotwheel
