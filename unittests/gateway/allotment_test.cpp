#include "lib/gateway/allotment_bucket.h"
#include "lib/gateway/allotment_client.h"
#include "lib/gateway/allotment_codec.h"
#include "lib/gateway/allotment_exchange.h"

#include "exchange_fixture.h"
#include "gateway_fixture.h"

#include <gmock/gmock.h>

namespace peridotwheel {

namespace {

const allotment_tolerance tolerance{seconds(5), 0.1, 20};
const rate_allotment tenPerSecond{request_rate(10), 10};
constexpr const char *key = "key-of-gold";

team_ptr makeTeam(std::optional<rate_allotment> allotment)
{
    auto team = std::make_shared<team_spec>();
    team->name = team_name("gold");
    team->keys = {key};
    team->allotment = allotment;
    return team;
}

allotment_sender sender(const std::string &name, std::uint64_t sequence)
{
    return {instance_id(name), start_id(1), sequence};
}

} // namespace

class allotment_bucket_test : public testing::Test
{
protected:
    allotment_grant ask(const std::string &from, std::uint64_t sequence, std::int64_t used,
                        std::int32_t unused, std::int32_t waiting)
    {
        return bucket.handle(sender(from, sequence), {team_name("gold"), used, unused, waiting, 0},
                             now);
    }

    time_point now{seconds(1000)};
    allotment_bounds bounds{tenPerSecond, tolerance};
    allotment_bucket bucket{bounds, bucket_id(1), now};
};

// Guards against an owner that lends more than the rule leaves room for.
TEST_F(allotment_bucket_test, lendsNoMoreThanLevelAndTolerance)
{
    const auto first = ask("a", 1, 0, 0, 1000);
    EXPECT_EQ(first.tokens, static_cast<int>(bounds.atStart));
    EXPECT_TRUE(first.capacityIn);
    now += seconds(100);
    EXPECT_EQ(ask("b", 1, 0, 0, 1000).tokens,
              static_cast<int>(bounds.capacity + bounds.lendable - first.tokens));
}

// Guards against tokens that are lost when a message is delivered twice or its reply is not.
TEST_F(allotment_bucket_test, accountsForLostAndRepeatedMessages)
{
    now += seconds(100);
    EXPECT_EQ(ask("a", 1, 0, 0, 5).tokens, 5);
    EXPECT_EQ(ask("a", 1, 0, 0, 5).tokens, 0);
    // The reply to the first message was lost, so the instance has no tokens.
    EXPECT_EQ(ask("a", 2, 0, 0, 2).tokens, 2);
    EXPECT_DOUBLE_EQ(bucket.tokensOut(), 2);
    ask("a", 3, 2, 0, 0);
    EXPECT_DOUBLE_EQ(bucket.tokensOut(), 0);
}

// Guards against tokens of a dead process that stay out, and against ones that are forgotten.
TEST_F(allotment_bucket_test, takesExpiredTokensForUsed)
{
    now += seconds(100);
    const int all = ask("a", 1, 0, 0, 1000).tokens;
    now += tokenValidity;
    EXPECT_LE(ask("b", 1, 0, 0, 1000).tokens, 1);
    now += seconds(100);
    EXPECT_EQ(ask("b", 2, 0, 0, 1000).tokens, all);
    EXPECT_DOUBLE_EQ(bucket.tokensOut(), all);
    // The first instance is back and has used none.
    EXPECT_EQ(ask("a", 2, 0, 0, 1000).tokens, 0);
}

// Guards against messages that other instances cannot read, and against numbers that overflow.
TEST(allotment_codec, keepsMessagesAndRefusesInvalidOnes)
{
    const allotment_request request{sender("a", 7), {{team_name("gold"), 5, 1, 2, 3}}};
    const auto read = decodeAllotmentRequest(encodeAllotmentRequest(request));
    ASSERT_TRUE(read);
    EXPECT_EQ(read.value().sender.sequence, 7U);
    EXPECT_EQ(read.value().reports.at(0).waiting, 2);
    allotment_reply reply{{{team_name("gold"), 4, milliseconds(3), true}}};
    EXPECT_EQ(decodeAllotmentReply(encodeAllotmentReply(reply)).value().grants.at(0).capacityIn,
              milliseconds(3));
    reply.grants[0].tokens = -1;
    EXPECT_FALSE(decodeAllotmentReply(encodeAllotmentReply(reply)));
    EXPECT_FALSE(decodeAllotmentRequest("?"));
}

/// An instance whose messages are answered by the test.
class allotment_exchange_test : public testing::Test, public http_client
{
protected:
    allotment_exchange_test()
        : log(loop, "a", [](std::string_view text) { return text.size(); })
        , exchange(loop, *this, counters, log,
                   {instance_id("a"), start_id(1), tolerance,
                    [this]() -> const member_map & { return members; }})
    {
        for (int i = 0; i < 5; ++i) {
            const std::string name(1, static_cast<char>('a' + i));
            members[instance_id(name)] = memberAt(name, static_cast<std::uint16_t>(i));
        }
    }

    void setAllotment(std::uint64_t version, std::optional<rate_allotment> allotment)
    {
        route_configuration c;
        c.version = configuration_version(version);
        c.teams = {makeTeam(allotment)};
        exchange.setRoutes(route_table(c));
    }

    void send(const endpoint &, const http_request &request, duration, outcome_hook done) override
    {
        EXPECT_EQ(request.path, allotmentPath);
        const auto message = decodeAllotmentRequest(request.body);
        ASSERT_TRUE(message);
        if (areClaimsAnswered && !message.value().claims.empty()) {
            allotment_reply reply;
            for (const auto &team : message.value().claims) {
                reply.answers.emplace_back();
                reply.answers.back().team = team;
            }
            http_outcome outcome;
            outcome.reply = {200, {}, encodeAllotmentReply(reply)};
            answers.push_back(loop.schedule(milliseconds(1), [done, outcome] { done(outcome); }));
            return;
        }
        sent.push_back(std::move(done));
    }

    void take()
    {
        exchange.take(*makeTeam(tenPerSecond), loop.now() + maxAllotmentWait,
                      [this](const allotment_decision &d) { decisions.push_back(d); });
    }

    manual_loop loop;
    counter_set counters;
    decision_log log;
    member_map members;
    bool areClaimsAnswered = true;
    std::vector<timer> answers;
    std::vector<outcome_hook> sent;
    std::vector<allotment_decision> decisions;
    allotment_exchange exchange;
};

// Guards against cost for deployments whose teams have no allotments.
TEST_F(allotment_exchange_test, isIdleWithoutAllotments)
{
    setAllotment(1, std::nullopt);
    exchange.updateMembers();
    loop.advance(seconds(10));
    take();
    EXPECT_TRUE(sent.empty());
    ASSERT_EQ(decisions.size(), 1U);
    EXPECT_EQ(decisions[0].verdict, allotment_verdict::Granted);
}

// Guards against requests that wait for an owner with an earlier build, or that are decided twice.
TEST_F(allotment_exchange_test, usesTheReserveWithoutAnOwnerOnce)
{
    setAllotment(1, tenPerSecond);
    loop.advance(seconds(11));
    exchange.onPeerHeard();
    loop.advance(seconds(1));
    sent.clear();
    take();
    EXPECT_TRUE(decisions.empty());
    ASSERT_EQ(sent.size(), 1U);
    http_outcome outcome;
    outcome.reply = {404, {}, ""};
    sent[0](outcome);
    // The reserve of 13 in five seconds is shared by five instances.
    for (int i = 0; i < 9; ++i)
        take();
    EXPECT_EQ(sent.size(), 1U);
    loop.advance(milliseconds(100));
    ASSERT_EQ(decisions.size(), 10U);
    const auto granted = std::count_if(decisions.begin(), decisions.end(), [](const auto &d) {
        return d.verdict == allotment_verdict::Granted;
    });
    EXPECT_GE(granted, 2);
    EXPECT_LE(granted, 3);
    EXPECT_EQ(decisions.back().verdict, allotment_verdict::Unavailable);
    EXPECT_GT(decisions.back().retryAfter, duration::zero());
}

// Guards against requests that wait longer than they may for an owner that does not reply.
TEST_F(allotment_exchange_test, endsTheWaitAtTheDeadline)
{
    setAllotment(1, tenPerSecond);
    take();
    loop.advance(maxAllotmentWait - milliseconds(1));
    EXPECT_TRUE(decisions.empty());
    loop.advance(milliseconds(1));
    EXPECT_EQ(decisions.size(), 1U);
    take();
    EXPECT_EQ(decisions.size(), 2U);
}

// Guards against an owner that was replaced unnoticed and grants the whole limit a second time.
TEST_F(allotment_exchange_test, usesTheReserveWhileIsolated)
{
    const auto granted = [this] {
        decisions.clear();
        for (int i = 0; i < 20; ++i)
            take();
        return std::count_if(decisions.begin(), decisions.end(),
                             [](const auto &d) { return d.verdict == allotment_verdict::Granted; });
    };
    setAllotment(1, tenPerSecond);
    // The owner follows from the names; this looks for one that makes this instance the owner.
    for (int i = 0; i < 100 && counters.at("allotments.owned_teams").value() == 0; ++i) {
        const std::string name = "other-" + std::to_string(i);
        members = {{instance_id("a"), memberAt("a", 5)}, {instance_id(name), memberAt(name, 1)}};
        exchange.updateMembers();
        loop.advance(milliseconds(10));
    }
    ASSERT_EQ(counters.at("allotments.owned_teams").value(), 1U);
    exchange.onPeerHeard();
    loop.advance(milliseconds(1900));
    EXPECT_GE(granted(), 15);
    // The reserve may be used when the others have surely read the list with this instance.
    loop.advance(seconds(9));
    EXPECT_FALSE(sent.empty()) << "no sign of life was asked for";
    EXPECT_EQ(granted(), 7) << "the larger part of the reserve of 13";
    // A new owner that got no answer meanwhile sends its claim again within a second.
    exchange.onPeerHeard();
    loop.advance(milliseconds(900));
    exchange.onPeerHeard();
    EXPECT_LE(granted(), 7);
    loop.advance(milliseconds(200));
    EXPECT_GE(granted(), 15);
}

// Guards against an owner of a team that another instance may own as well: a new bucket needs the
// answers of all instances, or those of most of them and the silence of the others.
TEST_F(allotment_exchange_test, beginsNoBucketWithoutTheAnswersOfTheOthers)
{
    areClaimsAnswered = false;
    setAllotment(1, tenPerSecond);
    const auto kept = [this] { return counters.at("allotments.owned_teams").value(); };
    for (int i = 0; i < 100 && sent.size() < 2; ++i) {
        const std::string name = "other-" + std::to_string(i);
        members = {{instance_id("a"), memberAt("a", 5)}, {instance_id(name), memberAt(name, 1)}};
        exchange.updateMembers();
    }
    for (int i = 0; i < 100; ++i) {
        loop.advance(milliseconds(200));
        for (const auto &done : std::exchange(sent, {})) {
            http_outcome silent;
            silent.failure = transport_failure::MayHaveRun;
            done(silent);
        }
    }
    EXPECT_EQ(kept(), 0U) << "silence of half of the instances";
    for (const auto &done : std::exchange(sent, {})) {
        http_outcome refused;
        refused.failure = transport_failure::NotSent;
        refused.isRefused = true;
        done(refused);
    }
    loop.advance(seconds(1));
    for (const auto &done : std::exchange(sent, {})) {
        http_outcome refused;
        refused.failure = transport_failure::NotSent;
        refused.isRefused = true;
        done(refused);
    }
    EXPECT_EQ(kept(), 1U) << "the process of the other instance has ended";
}

// Guards against a refusal of the message that is taken for the answer that there is no bucket;
// only an instance of an earlier build, which does not know the message, cannot answer.
TEST_F(allotment_exchange_test, takesNoErrorForTheAnswerToAClaim)
{
    areClaimsAnswered = false;
    setAllotment(1, tenPerSecond);
    const auto kept = [this] { return counters.at("allotments.owned_teams").value(); };
    for (int i = 0; i < 100 && sent.size() < 2; ++i) {
        const std::string name = "other-" + std::to_string(i);
        members = {{instance_id("a"), memberAt("a", 5)}, {instance_id(name), memberAt(name, 1)}};
        exchange.updateMembers();
    }
    const auto answerAll = [this](int status) {
        for (int i = 0; i < 10; ++i) {
            loop.advance(milliseconds(200));
            for (const auto &done : std::exchange(sent, {})) {
                http_outcome outcome;
                outcome.reply.status = status;
                done(outcome);
            }
        }
    };
    for (const int status : {400, 500, 503}) {
        answerAll(status);
        EXPECT_EQ(kept(), 0U) << status;
    }
    answerAll(404);
    EXPECT_EQ(kept(), 1U) << "an earlier build has no such message";
}

// Guards against tokens of an owner that was killed, which would come on top of the bucket that its
// next process begins.
TEST_F(allotment_exchange_test, dropsTheTokensOfAKilledOwner)
{
    setAllotment(1, tenPerSecond);
    sent.clear();
    take();
    ASSERT_EQ(sent.size(), 1U);
    allotment_reply reply;
    reply.grants.emplace_back();
    reply.grants[0].team = team_name("gold");
    reply.grants[0].tokens = 5;
    reply.grants[0].bucket = bucket_id(1);
    http_outcome granting;
    granting.reply = {200, {}, encodeAllotmentReply(reply)};
    sent[0](granting);
    ASSERT_EQ(decisions.size(), 1U);
    loop.advance(milliseconds(1));
    allotment_request claim;
    claim.sender = sender("b", 0);
    claim.address = endpoint{"10.0.0.1", 1};
    claim.claims = {team_name("gold")};
    claim.isFinalClaim = true;
    opaque_request message;
    message.body = encodeAllotmentRequest(claim);
    captured_reply answer;
    exchange.handleRequest(message, answer);
    const auto read = decodeAllotmentReply(answer.value.body);
    ASSERT_TRUE(read);
    ASSERT_EQ(read.value().answers.size(), 1U);
    EXPECT_EQ(read.value().answers[0].result, claim_result::None);
    take();
    EXPECT_EQ(decisions.size(), 1U) << "a token of the former process was used";
}

/// A gateway whose allotments the test decides.
class allotment_gateway_test : public gateway_fixture
{
protected:
    allotment_gateway_test() { startWith(tenPerSecond); }

    void startWith(std::optional<rate_allotment> allotment)
    {
        route_configuration c = configuration(1);
        c.teams = {makeTeam(allotment)};
        member self;
        self.id = instance_id("self");
        gate.setInstances({{self.id, self}});
        gate.setServers(servers);
        gate.setRoutes(std::make_shared<route_table>(c));
        gate.setAllotments({[this](const team_spec &, time_point, allotment_callback done) {
                                if (now)
                                    return done(*now);
                                pending.push_back(std::move(done));
                            },
                            [this](const allotment_token &) { ++givenBack; }});
        loop.advance(seconds(1));
    }

    std::shared_ptr<fake_client> sendWithKey(const std::string &id)
    {
        auto client = std::make_shared<fake_client>();
        opaque_request request;
        request.method = "GET";
        request.target = "/one/";
        request.headers = {{"Host", "host.example"}, {"Id", id}, {"Key", key}};
        gate.handle(request, client);
        return client;
    }

    const allotment_decision granted{allotment_verdict::Granted, {team_name("gold")}, {}};
    std::optional<allotment_decision> now;
    std::vector<allotment_callback> pending;
    int givenBack = 0;
};

// Guards against requests that run before they have a token, or that do not count while they wait.
TEST_F(allotment_gateway_test, runsARequestWhenItHasAToken)
{
    const auto client = sendWithKey("r1");
    loop.advance(milliseconds(20));
    EXPECT_EQ(backends.runs("r1"), 0U);
    EXPECT_EQ(gate.requestsInFlight(), 1U);
    ASSERT_EQ(pending.size(), 1U);
    pending[0](granted);
    loop.advance(milliseconds(500));
    EXPECT_EQ(statusOf(client), 200);
    EXPECT_EQ(backends.runs("r1"), 1U);
    EXPECT_EQ(givenBack, 0);
}

// Guards against a request that runs for a caller that has left, and against its token being lost.
TEST_F(allotment_gateway_test, returnsTheTokenOfACallerThatLeft)
{
    const auto client = sendWithKey("r1");
    client->onDisconnect();
    EXPECT_EQ(gate.requestsInFlight(), 0U);
    pending.at(0)(granted);
    loop.advance(milliseconds(500));
    EXPECT_EQ(backends.runs("r1"), 0U);
    EXPECT_EQ(givenBack, 1);
}

// Guards against tokens of requests that reached no server.
TEST_F(allotment_gateway_test, returnsTheTokenOfARequestThatWasNotSent)
{
    gate.setServers({});
    now = granted;
    const auto client = sendWithKey("r1");
    loop.advance(seconds(5));
    EXPECT_EQ(statusOf(client), 503);
    EXPECT_EQ(givenBack, 1);
}

// Guards against refusals that state the wrong reason or no delay, whether or not they waited.
TEST_F(allotment_gateway_test, refusesWithoutAToken)
{
    const allotment_decision over{allotment_verdict::OverLimit, {}, milliseconds(700)};
    const allotment_decision unavailable{allotment_verdict::Unavailable, {}, milliseconds(300)};
    const auto waited = sendWithKey("r1");
    pending.at(0)(over);
    EXPECT_EQ(statusOf(waited), 429);
    now = over;
    const auto first = sendWithKey("r2");
    EXPECT_EQ(statusOf(first), 429);
    EXPECT_EQ(*first->replies.at(0).header("Retry-After-Ms"), "700");
    now = unavailable;
    const auto second = sendWithKey("r3");
    EXPECT_EQ(statusOf(second), 503);
    EXPECT_EQ(*second->replies.at(0).header("Retry-After-Ms"), "300");
    loop.advance(seconds(1));
    EXPECT_EQ(backends.arrivals(), 0U);
    EXPECT_EQ(counters.at("gateway.over_allotment").value(), 2U);
    EXPECT_EQ(counters.at("gateway.refused_not_run").value(), 3U);
}

} // namespace peridotwheel
