#include "peridotwheel/standin/backend_standin.h"

#include "standin_fixture.h"

#include <nlohmann/json.hpp>

using namespace peridotwheel;

namespace {

class backend_fixture : public standin_fixture
{
protected:
    void serve(backend_config config = {})
    {
        config.id = server_id("lessons-1");
        config.dataCentre = data_centre_id("dc1");
        config.address = {"127.0.0.1", 0};
        config.versions = {{index_version(7), {shard_id(1), shard_id(2)}}};
        m_server = std::make_unique<backend_standin>(m_loop, config);
        ASSERT_TRUE(m_server->start().has_value());
    }

    static backend_config instant()
    {
        backend_config config;
        config.serviceTimeMean = duration::zero();
        return config;
    }

    /// One worker that is busy until it is cancelled.
    static backend_config neverEnding()
    {
        backend_config config;
        config.workers = 1;
        config.serviceTimeMean = seconds(36000);
        return config;
    }

    void fault(const std::string &json)
    {
        fault_plan plan;
        ASSERT_TRUE(applyFaultJson(json, plan).has_value());
        m_server->setFaults(plan);
    }

    static http_request search(const std::string &query, http_headers more = {})
    {
        http_headers headers = {{"X-Index-Version", "7"}, {"X-Shards", "1,2"}};
        headers.insert(headers.end(), more.begin(), more.end());
        return {http_method::Post, "/search", headers, query};
    }

    static http_request run(const std::string &id)
    {
        return {http_method::Post, "/run", {{"X-Request-Id", id}}, "book"};
    }

    static http_request cancel(const std::string &attempt)
    {
        return {http_method::Post, "/cancel", {{"X-Attempt", attempt}}, ""};
    }

    http_outcome ask(const http_request &request, duration timeout = seconds(20))
    {
        return exchange(m_server->address(), request, timeout);
    }

    std::unique_ptr<backend_standin> m_server;
};

} // namespace

// Mixed versions and crossed answers must be visible in the body.
TEST_F(backend_fixture, resultsNameVersionShardServerAndQuery)
{
    serve();
    const auto got = ask(search("knots \"a\""));
    ASSERT_EQ(got.reply.status, 200);
    EXPECT_EQ(*got.reply.header("X-Shards"), "1,2");
    EXPECT_EQ(*got.reply.header("X-Index-Version"), "7");
    const auto body = nlohmann::json::parse(got.reply.body);
    ASSERT_EQ(body.size(), 2U);
    EXPECT_EQ(body[1]["shard"], 2);
    EXPECT_EQ(body[1]["version"], 7);
    EXPECT_EQ(body[1]["server"], "lessons-1");
    EXPECT_EQ(body[1]["query"], "knots \"a\"");
}

TEST_F(backend_fixture, unknownVersionShardOrPastDeadlineIsNotRun)
{
    serve();
    auto other = search("q");
    other.headers[0].second = "8";
    EXPECT_EQ(ask(other).reply.status, 410);
    auto stranger = search("q");
    stranger.headers[1].second = "1,9";
    EXPECT_EQ(ask(stranger).reply.status, 400);
    const auto late = ask(search("q", {{"X-Deadline-Ms", "0"}}));
    EXPECT_EQ(late.reply.status, 504);
    EXPECT_NE(late.reply.header("X-Not-Run"), nullptr);
    EXPECT_EQ(m_server->counters().executed, 0U);
}

// A server that held all versions would hide a query that mixes them.
TEST_F(backend_fixture, holdsTheTwoLatestVersions)
{
    serve(instant());
    m_server->addVersion(index_version(8), {shard_id(1), shard_id(2)});
    EXPECT_EQ(ask(search("q")).reply.status, 200);
    m_server->addVersion(index_version(9), {shard_id(1)});
    EXPECT_EQ(ask(search("q")).reply.status, 410);
}

// Connections that never sent a request must count, or an instance could exceed its share unseen.
TEST_F(backend_fixture, connectionsBeyondTheLimitAreClosed)
{
    backend_config config;
    config.connectionLimit = 3;
    config.serviceTimeMean = milliseconds(50);
    serve(config);
    // Kept connections stay open, so the slots do not depend on when a request ends.
    const auto got = exchangeAll(m_server->address(), std::vector<http_request>(5, search("q")));
    std::map<int, int> statuses;
    for (const auto &o : got)
        ++statuses[o.ok() ? o.reply.status : 0];
    EXPECT_EQ(statuses[200], 3);
    EXPECT_EQ(statuses[0], 2);
    EXPECT_EQ(m_server->counters().peakConnections, 3U);
    EXPECT_EQ(m_server->counters().refusedConnections, 2U);
    EXPECT_EQ(m_server->counters().executed, 3U);
}

TEST_F(backend_fixture, fullQueueSheds)
{
    auto config = neverEnding();
    config.queueLimit = 1;
    serve(config);
    std::vector<http_outcome> outcomes;
    for (int i = 0; i < 4; ++i)
        sendOnly(m_server->address(), search("q"), outcomes);
    runUntil([&] { return outcomes.size() == 2; });
    for (const auto &o : outcomes) {
        EXPECT_EQ(o.reply.status, 503);
        EXPECT_NE(o.reply.header("X-Not-Run"), nullptr);
    }
    EXPECT_EQ(m_server->counters().shed, 2U);
    EXPECT_EQ(m_server->counters().executed, 1U);
}

TEST_F(backend_fixture, cancelledRequestInTheQueueNeverRuns)
{
    serve(neverEnding());
    std::vector<http_outcome> outcomes;
    sendOnly(m_server->address(), search("q", {{"X-Attempt", "a"}}), outcomes);
    runUntil([&] { return m_server->counters().executed == 1; });
    sendOnly(m_server->address(), search("q", {{"X-Attempt", "b"}}), outcomes);
    runUntil([&] { return m_server->counters().received == 2; });
    EXPECT_EQ(ask(cancel("b")).reply.body, R"({"cancelled":"not run"})");
    EXPECT_EQ(ask(cancel("a")).reply.body, R"({"cancelled":"running"})");
    runUntil([&] { return outcomes.size() == 2; });
    EXPECT_NE(outcomes[0].reply.header("X-Not-Run"), nullptr);
    EXPECT_EQ(outcomes[1].reply.header("X-Not-Run"), nullptr);
    EXPECT_EQ(m_server->counters().executed, 1U);
    EXPECT_EQ(m_server->counters().cancelled, 2U);
}

// A client that gives up must free its place in the queue and its connection.
TEST_F(backend_fixture, abandonedRequestInTheQueueNeverRuns)
{
    auto config = neverEnding();
    config.queueLimit = 1;
    serve(config);
    std::vector<http_outcome> outcomes;
    sendOnly(m_server->address(), search("first", {{"X-Attempt", "a"}}), outcomes);
    runUntil([&] { return m_server->counters().executed == 1; });
    EXPECT_FALSE(ask(search("abandoned"), milliseconds(30)).ok());
    runUntil([&] { return m_server->counters().openConnections == 1; });
    sendOnly(m_server->address(), search("third"), outcomes);
    runUntil([&] { return m_server->counters().received == 3; });
    fault(R"({"slowFactor":0})");
    static_cast<void>(ask(cancel("a")));
    runUntil([&] { return outcomes.size() == 2; });
    EXPECT_EQ(outcomes[1].reply.status, 200);
    EXPECT_EQ(m_server->counters().executed, 2U);
}

TEST_F(backend_fixture, silentServerAndCutOffDataCentreGetNoReply)
{
    serve(instant());
    fault(R"({"silent":true})");
    EXPECT_FALSE(ask(search("q"), milliseconds(50)).ok());
    fault(R"({"dropFrom":["dc2"]})");
    EXPECT_FALSE(ask(search("q", {{"X-Data-Centre", "dc2"}}), milliseconds(50)).ok());
    EXPECT_EQ(ask(search("q", {{"X-Data-Centre", "dc1"}})).reply.status, 200);
    EXPECT_EQ(m_server->counters().executed, 1U);
}

TEST_F(backend_fixture, deadServerRefusesConnectionsUntilRevived)
{
    serve(instant());
    EXPECT_TRUE(ask(search("q")).ok());
    fault(R"({"dead":true})");
    // The kept connection is noticed as closed first.
    static_cast<void>(ask(search("q")));
    EXPECT_EQ(ask(search("q")).failure, transport_failure::NotSent);
    fault("{}");
    EXPECT_TRUE(ask(search("q")).ok());
}

// The two resets look alike to the sender, but only one of them has run the request.
TEST_F(backend_fixture, resetBeforeAndAfterExecutionDifferInTheRunRecord)
{
    serve(instant());
    fault(R"({"resetBefore":1.0})");
    EXPECT_EQ(ask(run("booking-1")).failure, transport_failure::MayHaveRun);
    fault(R"({"resetAfter":1.0})");
    EXPECT_EQ(ask(run("booking-2")).failure, transport_failure::MayHaveRun);
    fault("{}");
    EXPECT_EQ(ask(run("booking-2")).reply.status, 200);
    const std::map<std::string, std::uint32_t> expected = {{"booking-2", 2}};
    EXPECT_EQ(m_server->counters().runs, expected);
}

TEST_F(backend_fixture, errorsShedsAndLiesAreReported)
{
    serve(instant());
    fault(R"({"errorFraction":1})");
    EXPECT_EQ(ask(search("q")).reply.status, 500);
    fault(R"({"shedAll":true})");
    EXPECT_EQ(ask(search("q")).reply.status, 503);
    fault(R"({"loadLie":9.5,"healthLie":"ok"})");
    EXPECT_EQ(*ask(search("q")).reply.header("X-Load"), "9.500");
    EXPECT_EQ(ask({http_method::Get, "/load", {}, ""}).reply.body, R"({"load":9.5})");
    EXPECT_EQ(m_server->counters().executed, 1U);
}

TEST_F(backend_fixture, drainIsAdmittedOnlyWhereThePlanSaysSoAndLateRequestsAreCounted)
{
    auto config = instant();
    config.reportLag = duration::zero();
    serve(config);
    const http_request health = {http_method::Get, "/health", {}, ""};
    fault(R"({"draining":true,"drainInHealth":false})");
    EXPECT_EQ(*ask(search("q")).reply.header("X-Draining"), "1");
    EXPECT_EQ(*ask(health).reply.header("X-Draining"), "0");
    fault(R"({"draining":true,"drainInReplies":false})");
    EXPECT_EQ(*ask(search("q")).reply.header("X-Draining"), "0");
    EXPECT_EQ(*ask(health).reply.header("X-Draining"), "1");
    const auto counters = m_server->counters();
    EXPECT_EQ(counters.receivedAfterDrain, 2U);
    ASSERT_EQ(counters.receivedAfterDrainAt.size(), 2U);
    EXPECT_GE(counters.receivedAfterDrainAt[0], counters.drainStart);
}

// Lower bounds only, since the machine may add time. libevent's coarse clock takes away up to 4 ms.
TEST_F(backend_fixture, slowColdDelayedAndRemoteRepliesTakeLonger)
{
    backend_config config;
    config.serviceTimeMean = milliseconds(2);
    config.serviceTimeDeviation = 0.0;
    config.remoteDelay = milliseconds(30);
    serve(config);
    const auto elapsed = [this](const http_request &request) {
        const auto start = m_loop.now();
        EXPECT_EQ(ask(request).reply.status, 200);
        return m_loop.now() - start;
    };
    fault(R"({"slowFactor":20})");
    EXPECT_GE(elapsed(search("q")), milliseconds(30));
    fault(R"({"coldReplies":1,"coldFactor":20})");
    EXPECT_GE(elapsed(search("q")), milliseconds(30));
    EXPECT_EQ(m_server->faults().coldReplies, 0U);
    fault(R"({"delayedFraction":1,"delayedByMs":40})");
    EXPECT_GE(elapsed(search("q")), milliseconds(30));
    fault("{}");
    EXPECT_GE(elapsed(search("q", {{"X-Data-Centre", "dc2"}})), milliseconds(50));
}

TEST(fault_plan, malformedFaultNamesTheFieldAndChangesNothing)
{
    fault_plan plan;
    const auto got = applyFaultJson(R"({"silent":true,"resetAfter":2})", plan);
    ASSERT_FALSE(got.has_value());
    EXPECT_NE(got.error().message.find("resetAfter"), std::string::npos);
    EXPECT_FALSE(plan.silent);
}
