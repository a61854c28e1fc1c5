#include "peridotwheel/entry/caller_service.h"
#include "peridotwheel/support/manual_loop.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

using namespace peridotwheel;
using nlohmann::json;

namespace {

struct recorded_reply : http_responder
{
    void reply(const http_reply &r) override
    {
        if (!got)
            got = r;
    }
    void onClientDisconnected(std::function<void()>) override {}
    void drop() override {}

    std::optional<http_reply> got;
};

struct deferred_executor : query_executor
{
    void run(query_request request, answer_hook done) override
    {
        requests.push_back(std::move(request));
        hooks.push_back(std::move(done));
    }

    std::vector<query_request> requests;
    std::vector<answer_hook> hooks;
};

query_answer answerOf(answer_kind kind, ran_state ran)
{
    query_answer answer;
    answer.kind = kind;
    answer.ran = ran;
    return answer;
}

class caller_fixture : public testing::Test
{
protected:
    caller_fixture()
    {
        configuration_document document;
        document.version = object_version(3);
        class_spec urgent;
        urgent.name = class_name("safety-cards");
        urgent.latencyTarget = milliseconds(140);
        document.classes[urgent.name] = urgent;
        board.configuration.set(document);
        snapshot_set snapshots;
        snapshots.current = std::make_shared<shard_map>(shard_map{
                index_version(7), {{shard_id(1), service_name("cards"), {server_id("cards-1")}}}});
        board.snapshots.set(snapshots);
        board.phase.set({lifecycle_phase::Serving});
        board.platformHealth.set({true, {}});
    }

    http_reply replyTo(http_method method, const std::string &path, const std::string &body = {})
    {
        const auto out = send(method, path, body);
        return out->got.value_or(http_reply{});
    }

    std::shared_ptr<recorded_reply> send(http_method method, const std::string &path,
                                         const std::string &body = {})
    {
        auto out = std::make_shared<recorded_reply>();
        service.handle({method, path, {}, body}, out);
        return out;
    }

    std::shared_ptr<recorded_reply> book(const std::string &id)
    {
        const auto issued = std::to_string(loop.wallNow().time_since_epoch().count());
        return send(http_method::Post, "/query",
                    R"({"class":"safety-cards","query":"book","repeatable":false,"requestId":")" +
                            id + R"(","issuedAt":)" + issued + "}");
    }

    /// Returns the first line of the status page; a lookup in the claim store returns \p found.
    std::string firstLine(const std::string &path, const claim_lookup_result &found = {})
    {
        const auto out = send(http_method::Get, path);
        if (!out->got)
            completeLookup(found);
        const std::string body = out->got->body;
        return body.substr(0, body.find('\n'));
    }

    manual_loop loop;
    blackboard board;
    deferred_executor executor;
    counter_set counters;
    claim_lookup_request lastLookup;
    std::function<void(claim_lookup_result)> completeLookup;
    bool isInitialSyncDone = true;
    caller_service service{loop,
                           board,
                           executor,
                           {[this](const claim_lookup_request &question, auto hook) {
                                lastLookup = question;
                                completeLookup = hook;
                            },
                            {},
                            {},
                            {},
                            [this] { return isInitialSyncDone; }},
                           counters,
                           {},
                           {}};
};

} // namespace

TEST_F(caller_fixture, answersCarryResultsCoverageAndStatus)
{
    const auto out = send(http_method::Post, "/query",
                          R"({"class":"safety-cards","query":"crew 4","deadlineMs":90})");
    ASSERT_EQ(executor.requests.size(), 1u);
    EXPECT_EQ(executor.requests[0].deadline - loop.now(), milliseconds(90));
    query_answer answer = answerOf(answer_kind::Partial, ran_state::Yes);
    answer.version = index_version(7);
    answer.covered = {1, 2, {shard_id(2)}};
    answer.results = {{shard_id(1), R"({"a":[1]})"}};
    executor.hooks[0](answer);
    const json body = json::parse(out->got->body);
    EXPECT_EQ(out->got->status, 200);
    EXPECT_EQ(body["requestId"], executor.requests[0].id.value());
    EXPECT_EQ(body["results"][0]["value"]["a"][0], 1);
    EXPECT_EQ(body["coverage"]["missing"][0], 2);
    EXPECT_EQ(body["snapshotVersion"], 7);
    EXPECT_EQ(body["ran"], "yes");
    EXPECT_EQ(body["status"].get<std::string>().rfind("retry after 1 s\nformat: 1\n", 0), 0u);
}

// Guards against invalid input that reaches the executor, or is refused without the right error
// name and verdict.
TEST_F(caller_fixture, wrongInputIsRefusedAndDoesNotRun)
{
    const std::string head = R"({"class":"safety-cards","query":"q")";
    const std::string booking = head + R"(,"repeatable":false)";
    const std::pair<std::string, const char *> cases[] = {
            {"", "malformed"},
            {"[1]", "malformed"},
            {"{\"class\":\"x\"", "malformed"},
            {R"({"query":"q"})", "missing-class"},
            {R"({"class":"none","query":"q"})", "unknown-class"},
            {R"({"class":"safety-cards"})", "missing-query"},
            {R"({"class":"safety-cards","query":")" + std::string(maxQueryBytes + 1, 'x') + "\"}",
             "too-long"},
            {head + R"(,"repeatble":false})", "unknown-field"},
            {head + R"(,"repeatable":"no"})", "bad-repeatable"},
            {head + R"(,"services":[]})", "bad-services"},
            {head + R"(,"services":[1]})", "bad-services"},
            {head + R"(,"services":["none"]})", "unknown-service"},
            {head + R"(,"deadlineMs":0})", "expired"},
            {head + R"(,"deadlineMs":-9223372036854775808})", "expired"},
            {head + R"(,"deadlineMs":18446744073709551615})", "bad-deadline"},
            {head + R"(,"deadlineMs":1.5})", "bad-deadline"},
            {head + R"(,"requestId":".."})", "bad-id"},
            {head + R"(,"requestId":"a/b"})", "bad-id"},
            {head + R"(,"requestId":")" + std::string(65, 'x') + "\"}", "bad-id"},
            {booking + "}", "missing-id"},
            {booking + R"(,"requestId":"b-1"})", "missing-issued-at"},
            {booking + R"(,"requestId":"b-1","issuedAt":-1})", "bad-issued-at"},
            {booking + R"(,"requestId":"b-1","issuedAt":99999999999})", "bad-issued-at"},
    };
    for (const auto &[body, kind] : cases) {
        const auto reply = replyTo(http_method::Post, "/query", body);
        EXPECT_GE(reply.status, 400) << body.substr(0, 80);
        const json parsed = json::parse(reply.body);
        EXPECT_EQ(parsed["error"], kind) << body.substr(0, 80);
        // Another instance may have accepted a copy while its clock or configuration differed.
        const bool certain = std::string(kind) != "bad-issued-at";
        EXPECT_EQ(parsed["ran"], certain ? "no" : "unknown");
        EXPECT_EQ(parsed["status"].get<std::string>().rfind("give up\n", 0), 0u);
    }
    loop.advance(std::chrono::hours(24));
    const json old = json::parse(replyTo(http_method::Post, "/query",
                                         booking + R"(,"requestId":"b-1","issuedAt":1000000})")
                                         .body);
    EXPECT_EQ(old["error"], "too-old");
    EXPECT_EQ(old["ran"], "unknown");
    EXPECT_TRUE(executor.requests.empty());
}

// Guards against a second run of a booking that is resent while it is in progress.
TEST_F(caller_fixture, bookingInProgressIsNotRunAgain)
{
    const auto first = book("b-1");
    const auto second = book("b-1");
    EXPECT_EQ(executor.requests.size(), 1u);
    EXPECT_EQ(second->got->status, 409);
    EXPECT_EQ(firstLine("/status/b-1"), "wait 1 s");
    executor.hooks[0](answerOf(answer_kind::Complete, ran_state::Yes));
    EXPECT_EQ(firstLine("/status/b-1"), "done");
}

// Guards against the advice "retry" for a booking with unknown outcome, once a later try of it was
// refused as not run because the platform was down.
TEST_F(caller_fixture, refusedLaterTryDoesNotHideThatABookingMayHaveRun)
{
    book("b-1");
    executor.hooks[0](answerOf(answer_kind::OutcomeUnknown, ran_state::Unknown));
    const auto second = book("b-1");
    executor.hooks[1](answerOf(answer_kind::RefusedClaim, ran_state::No));
    EXPECT_EQ(json::parse(second->got->body)["ran"], "unknown");
    EXPECT_EQ(firstLine("/status/b-1"), "give up");
    const auto asQuery = replyTo(http_method::Post, "/query",
                                 R"({"class":"safety-cards","query":"q","requestId":"b-1"})");
    EXPECT_EQ(json::parse(asQuery.body)["error"], "id-in-use");
}

// Guards against a status page that keeps "unknown" although the claim store has the outcome, and
// against a seal for a request that this instance may still run or has sent.
TEST_F(caller_fixture, theClaimStoreIsAskedAgainAboutAnUnknownOutcome)
{
    const auto open = answerOf(answer_kind::RefusedClaim, ran_state::Unknown);
    const auto notRun = answerOf(answer_kind::RefusedClaim, ran_state::No);
    const auto done = answerOf(answer_kind::Complete, ran_state::Yes);
    const auto sent = answerOf(answer_kind::InProgress, ran_state::Unknown);
    book("b-1");
    EXPECT_EQ(firstLine("/status/b-1", {true, sent}), "wait 1 s");
    EXPECT_FALSE(lastLookup.maySeal);
    EXPECT_EQ(firstLine("/status/b-1", {true, done}), "done");
    executor.hooks[0](open);
    EXPECT_EQ(firstLine("/status/b-1"), "wait 5 s");
    EXPECT_TRUE(lastLookup.maySeal);
    EXPECT_EQ(lastLookup.issuedAt, executor.requests[0].issuedAt);
    EXPECT_EQ(firstLine("/status/b-1", {true, {}}), "wait 5 s");
    EXPECT_EQ(firstLine("/status/b-1", {true, notRun}), "retry after 5 s");
    EXPECT_EQ(firstLine("/status/b-1", {true, done}), "done");
    book("b-2");
    executor.hooks[1](answerOf(answer_kind::OutcomeUnknown, ran_state::Unknown));
    EXPECT_EQ(firstLine("/status/b-2", {true, sent}), "give up");
    EXPECT_FALSE(lastLookup.maySeal);
}

// Guards against reporting an id that this instance never received as "not run", whether the claim
// store has no record, times out or has an unknown outcome.
TEST_F(caller_fixture, unknownRequestListsSourcesNotAsked)
{
    auto out = send(http_method::Get, "/status/b-9");
    completeLookup({true, {}});
    EXPECT_EQ(out->got->body.rfind("give up\n", 0), 0u);
    EXPECT_NE(out->got->body.find("not-asked: other-instances\n"), std::string::npos);

    out = send(http_method::Get, "/status/b-9");
    loop.advance(seconds(3));
    EXPECT_EQ(out->got->body.rfind("wait 5 s\n", 0), 0u);
    EXPECT_NE(out->got->body.find("not-asked: claim-store,other-instances\n"), std::string::npos);
    completeLookup({true, answerOf(answer_kind::Complete, ran_state::Yes)});

    out = send(http_method::Get, "/status/b-9");
    completeLookup({true, answerOf(answer_kind::OutcomeUnknown, ran_state::Unknown)});
    EXPECT_EQ(out->got->body.rfind("give up\n", 0), 0u);
}

TEST_F(caller_fixture, wrongPathsAndNamesGetAnErrorWithARemedy)
{
    const std::tuple<http_method, const char *, int, const char *> cases[] = {
            {http_method::Get, "/status/class/none", 404, "unknown-class"},
            {http_method::Get, "/status/a%2Fb", 400, "bad-id"},
            {http_method::Get, "/status/", 400, "bad-id"},
            {http_method::Get, "/query", 405, "wrong-method"},
            {http_method::Put, "/status", 405, "wrong-method"},
            {http_method::Get, "/peer/exchange", 404, "unknown-path"},
            {http_method::Get, "/operator/where", 404, "unknown-path"},
    };
    for (const auto &[method, path, status, kind] : cases) {
        const auto reply = replyTo(method, path);
        EXPECT_EQ(reply.status, status) << path;
        EXPECT_EQ(json::parse(reply.body)["error"], kind) << path;
    }
    EXPECT_EQ(firstLine("/status"), "done");
    EXPECT_EQ(firstLine("/status/class/safety-cards?x=1"), "done");
}

// Guards against readiness before the initial synchronisation with a peer, and against an instance
// that becomes unready again when its peers fail later.
TEST_F(caller_fixture, readinessWaitsForThePeersOnce)
{
    isInitialSyncDone = false;
    EXPECT_EQ(replyTo(http_method::Get, "/ready").status, 503);
    isInitialSyncDone = true;
    EXPECT_EQ(replyTo(http_method::Get, "/ready").status, 200);
    isInitialSyncDone = false;
    EXPECT_EQ(replyTo(http_method::Get, "/ready").status, 200);
}

TEST_F(caller_fixture, drainFailsReadinessButAcceptsRequests)
{
    EXPECT_EQ(replyTo(http_method::Get, "/ready").status, 200);
    board.phase.set({lifecycle_phase::Draining});
    EXPECT_EQ(replyTo(http_method::Get, "/ready").status, 503);
    send(http_method::Post, "/query", R"({"class":"safety-cards","query":"q"})");
    EXPECT_EQ(executor.requests.size(), 1u);
    board.phase.set({lifecycle_phase::Starting});
    const auto refused =
            replyTo(http_method::Post, "/query", R"({"class":"safety-cards","query":"q"})");
    EXPECT_EQ(json::parse(refused.body)["error"], "refused-state");
    EXPECT_EQ(json::parse(refused.body)["ran"], "no");
    const json unread = json::parse(book("b-1")->got->body);
    EXPECT_EQ(unread["ran"], "unknown");
    EXPECT_EQ(unread["status"].get<std::string>().rfind("wait ", 0), 0u);
    EXPECT_EQ(executor.requests.size(), 1u);
}
