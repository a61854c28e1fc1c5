#include "engine_fixture.h"

using namespace peridotwheel;

// Failure: a query asks a service more than once, or loses or misplaces the result of a shard.
TEST_F(engine_fixture, answersFromAllServicesWithOneRequestEach)
{
    build(4);
    const auto got = run(request());
    m_loop.advance(milliseconds(50));
    ASSERT_TRUE(got->has_value());
    EXPECT_EQ((*got)->kind, answer_kind::Complete);
    EXPECT_EQ((*got)->ran, ran_state::Yes);
    ASSERT_EQ((*got)->results.size(), 4U);
    EXPECT_EQ((*got)->results[2].json, "\"v1s3\"");
    EXPECT_EQ(counted("query.attempts.first"), 4U);
    EXPECT_EQ(counted("query.attempts.hedge"), 0U);
}

// Failure: the answer hook is called from within run(), before its caller is ready for it.
TEST_F(engine_fixture, refusesAnUnknownServiceLater)
{
    build(1);
    query_request r = request();
    r.services = {service_name("absent")};
    const auto got = run(std::move(r));
    EXPECT_FALSE(got->has_value());
    m_loop.runPosted();
    ASSERT_TRUE(got->has_value());
    EXPECT_EQ((*got)->kind, answer_kind::RefusedInput);
    EXPECT_EQ((*got)->ran, ran_state::No);
}

// Failure: a straggler is hedged too late for the latency target, or more than once.
TEST_F(engine_fixture, hedgesAStragglerInTimeForTheTarget)
{
    build(2);
    warmUp();
    m_connector.at(100).latency = milliseconds(310);
    const auto got = run(request());
    m_connector.at(100).latency = milliseconds(10);
    m_loop.advance(milliseconds(140));
    ASSERT_TRUE(got->has_value());
    EXPECT_EQ((*got)->kind, answer_kind::Complete);
    EXPECT_EQ(counted("query.attempts.hedge") + counted("query.attempts.retry"), 1U);
    // The reply of the straggler arrives later and must neither change the answer nor cause a
    // second one.
    m_loop.advance(milliseconds(400));
}

// Failure: silent servers are not detected, and every query that is sent to one has to be hedged.
TEST_F(engine_fixture, silentServersCostOnlyTheFirstQueries)
{
    build(8);
    for (std::uint16_t k = 0; k < 8; ++k) {
        m_connector.at(static_cast<std::uint16_t>(100 * k + 1)).latency = milliseconds(30);
        m_connector.at(static_cast<std::uint16_t>(100 * k + 2)).latency = milliseconds(30);
    }
    warmUp();
    for (std::uint16_t k = 0; k < 8; ++k)
        m_connector.at(static_cast<std::uint16_t>(100 * k)).silent = true;
    const auto during = load(100, milliseconds(10));
    m_loop.advance(milliseconds(200));
    for (const auto &answer : during) {
        ASSERT_TRUE(answer->has_value());
        EXPECT_EQ((*answer)->kind, answer_kind::Complete);
    }
    const std::size_t before = requestsTo(0);
    const std::uint64_t retriesBefore = counted("query.attempts.retry");
    load(100, milliseconds(10));
    EXPECT_EQ(counted("query.attempts.retry"), retriesBefore) << "probes are not retried";
    // Probes of a suspect server back off to one per 1.6 s.
    EXPECT_LE(requestsTo(0) - before, 2U);
    m_connector.at(0).silent = false;
    load(400, milliseconds(10));
    EXPECT_GT(requestsTo(0), before + 20);
}

// Failure: errors come fast, so that a failing server looks like the fastest one.
TEST_F(engine_fixture, fastErrorsAreNotPreferred)
{
    build(1);
    warmUp();
    m_connector.at(0).latency = milliseconds(1);
    m_connector.at(0).status = 500;
    const std::size_t before = requestsTo(0);
    const auto answers = load(100, milliseconds(10));
    m_loop.advance(milliseconds(200));
    for (const auto &answer : answers)
        EXPECT_EQ((*answer)->kind, answer_kind::Complete);
    EXPECT_LE(requestsTo(0) - before, 10U);
}

// Failure: shed replies come fast, so that a server that sheds everything looks like the fastest
// one.
TEST_F(engine_fixture, sheddingServerIsNotPreferred)
{
    build(1);
    warmUp();
    m_connector.at(0).latency = milliseconds(1);
    m_connector.at(0).status = 503;
    m_connector.at(0).notRun = true;
    const std::size_t before = requestsTo(0);
    const auto answers = load(100, milliseconds(10));
    m_loop.advance(milliseconds(200));
    for (const auto &answer : answers)
        EXPECT_EQ((*answer)->kind, answer_kind::Complete);
    EXPECT_LE(requestsTo(0) - before, 10U);
}

// Servers load a new version one after the other. Failure: a query fails although one of the
// replicas holds its version.
TEST_F(engine_fixture, serversWithoutTheVersionAreSkipped)
{
    build(2);
    m_connector.at(0).versions = m_connector.at(1).versions = {7};
    const auto got = run(request());
    m_loop.advance(milliseconds(140));
    ASSERT_TRUE(got->has_value());
    EXPECT_EQ((*got)->kind, answer_kind::Complete);
    EXPECT_EQ(counted("query.restarts"), 0U);
}

// Failure: a partial answer does not say which shard is missing, or the query is answered a second
// time by later replies.
TEST_F(engine_fixture, partialAnswerAtTheDeadlineNamesTheMissingShard)
{
    build(3);
    warmUp();
    for (std::uint16_t r = 0; r < replicaCount; ++r)
        m_connector.at(static_cast<std::uint16_t>(100 + r)).silent = true;
    query_request r = request();
    r.spec.coverageTarget = 0.5;
    const auto got = run(std::move(r));
    m_loop.advance(milliseconds(140));
    ASSERT_TRUE(got->has_value());
    EXPECT_EQ((*got)->kind, answer_kind::Partial);
    EXPECT_EQ((*got)->covered.missing, std::vector<shard_id>{shard_id(2)});
    m_loop.advance(seconds(2));
}

// Failure: a hedge reaches a server that already holds only a newer version, and its reply is mixed
// into the answer.
TEST_F(engine_fixture, replyOfAnotherVersionIsNotMixedIn)
{
    build(2);
    m_connector.at(0).statedVersion = 2;
    const auto got = run(request());
    m_loop.advance(milliseconds(140));
    ASSERT_TRUE(got->has_value());
    EXPECT_EQ((*got)->kind, answer_kind::Complete);
    EXPECT_GE(counted("query.replies.dropped"), 1U);
    EXPECT_EQ((*got)->results[0].json, "\"v1s1\"");
    EXPECT_EQ(requestsTo(0), 1U);
}

// Failure: all replicas have dropped the pinned version, and the query fails instead of restarting
// on the current version.
TEST_F(engine_fixture, restartsOnceOnTheCurrentVersion)
{
    build(2);
    for (std::uint16_t r = 0; r < replicaCount; ++r)
        m_connector.at(r).versions = {2};
    const auto got = run(request());
    publishVersion(2);
    m_loop.advance(milliseconds(140));
    ASSERT_TRUE(got->has_value());
    EXPECT_EQ((*got)->kind, answer_kind::Complete);
    EXPECT_EQ((*got)->version, index_version(2));
    EXPECT_EQ((*got)->results[1].json, "\"v2s2\"");
    EXPECT_EQ(counted("query.restarts"), 1U);
}

// The pinned map determines the coverage of an answer. Failure: a repartition during the query
// changes it.
TEST_F(engine_fixture, repartitionDoesNotChangeARunningQuery)
{
    build(2);
    const auto got = run(request());
    shard_map map = *m_board.snapshots.value().current;
    map.version = index_version(2);
    map.shards.push_back({shard_id(9), service_name("s1"), map.shards[1].replicas});
    publish(map);
    m_loop.advance(milliseconds(140));
    EXPECT_EQ((*got)->covered.total, 2U);
    const auto next = run(request());
    m_loop.advance(milliseconds(140));
    EXPECT_EQ((*next)->covered.total, 3U);
    EXPECT_EQ((*next)->results[2].json, "\"v2s9\"");
}

// Failure: a server whose reply says that it drains still gets requests, or its leaving is not
// reported exactly once.
TEST_F(engine_fixture, drainingServerGetsNoNewRequests)
{
    build(1);
    warmUp();
    m_connector.at(0).draining = true;
    std::vector<server_id> signs;
    m_engine->onServerLeaving = [&](const server_id &id, start_id) { signs.push_back(id); };
    run(request());
    m_loop.advance(milliseconds(100));
    const std::size_t before = requestsTo(0);
    load(20, milliseconds(20));
    EXPECT_EQ(requestsTo(0), before);
    EXPECT_EQ(signs, std::vector<server_id>{server_id("n0")});
}

// Failure: hedging continues while all servers are slow, which adds load exactly when there is no
// capacity.
TEST_F(engine_fixture, extraAttemptsShrinkWhenAllServersAreSlow)
{
    build(4);
    load(400, milliseconds(12));
    for (std::uint16_t k = 0; k < 4; ++k) {
        for (std::uint16_t r = 0; r < replicaCount; ++r)
            m_connector.at(static_cast<std::uint16_t>(100 * k + r)).latency = milliseconds(135);
    }
    load(100, milliseconds(12));
    const auto extra = [this] {
        return counted("query.attempts.hedge") + counted("query.attempts.retry");
    };
    const std::uint64_t before = extra();
    const std::uint64_t firstBefore = counted("query.attempts.first");
    load(100, milliseconds(12));
    const double first = static_cast<double>(counted("query.attempts.first") - firstBefore);
    EXPECT_LE(static_cast<double>(extra() - before), 0.02 * first);
}

// After a local stall replies are late through no fault of the servers. Failure: these become
// suspect.
TEST_F(engine_fixture, localStallMakesNoServerSuspect)
{
    build(2);
    warmUp();
    const auto got = run(request());
    m_loop.pause(seconds(30));
    m_loop.advance(milliseconds(10));
    EXPECT_TRUE(got->has_value());
    EXPECT_EQ(counted("query.servers.suspected"), 0U);
    const auto next = run(request());
    m_loop.advance(milliseconds(60));
    EXPECT_EQ((*next)->kind, answer_kind::Complete);
    EXPECT_EQ(counted("query.attempts.hedge"), 0U);
}

// Failure: connections that a server refuses by its limit count as failures of the server.
TEST_F(engine_fixture, refusedConnectionsLowerTheShareNotTheHealth)
{
    for (std::uint16_t r = 0; r < replicaCount; ++r)
        m_connector.at(r).connectionLimit = 1;
    build(1);
    const auto answers = load(30, milliseconds(12));
    m_loop.advance(milliseconds(200));
    for (const auto &answer : answers)
        EXPECT_EQ((*answer)->kind, answer_kind::Complete);
    EXPECT_EQ(counted("query.replies.failed"), 0U);
    EXPECT_EQ(m_engine->concurrencyLimit(), 3U);
}

// Failure: a restarted server starts with the limit of its previous run and gets many requests
// while it is slow.
TEST_F(engine_fixture, restartedServerStartsWithASmallShare)
{
    build(1);
    load(200, milliseconds(3));
    server_map servers = m_board.servers.value();
    servers[server_id("n0")].start = start_id(999);
    m_board.servers.set(servers);
    m_loop.advance(milliseconds(20));
    m_connector.at(0).latency = milliseconds(100);
    const std::size_t before = requestsTo(0);
    load(10, milliseconds(3));
    EXPECT_LE(requestsTo(0) - before, 2U);
}

// Failure: a service that no query waits for limits all others. With one of its servers left in a
// data centre that was cut off, an instance ran one query at a time and refused the least urgent
// class.
TEST_F(engine_fixture, anUnusedPlainServiceDoesNotLimitTheOthers)
{
    build(1);
    server_map servers = m_board.servers.value();
    server_record record = recordOf(50, 0);
    record.service = service_name("records");
    record.sharded = false;
    servers[record.id] = record;
    m_board.servers.set(servers);
    load(200, milliseconds(3));
    m_loop.advance(milliseconds(200));
    EXPECT_GE(m_engine->concurrencyLimit(), 6U);
}

// Failure: a plain service is called on the path or with the headers of a sharded service.
TEST_F(engine_fixture, plainServiceIsCalledWithoutVersion)
{
    build(1);
    server_map servers = m_board.servers.value();
    server_record record = recordOf(5, 0);
    record.service = service_name("printing");
    record.sharded = false;
    servers[record.id] = record;
    m_board.servers.set(servers);
    m_loop.advance(milliseconds(200));
    query_request r = booking();
    r.services = {service_name("printing")};
    const auto got = run(std::move(r));
    m_loop.advance(milliseconds(50));
    ASSERT_TRUE(got->has_value());
    EXPECT_EQ((*got)->kind, answer_kind::Complete);
    ASSERT_EQ(requestsTo(500), 1U);
    ASSERT_EQ((*got)->results.size(), 1U);
    EXPECT_EQ((*got)->results[0].json, "{\"plain\":true}");
    EXPECT_EQ(m_connector.at(500).requests[0].path, "/run");
    EXPECT_EQ(m_connector.at(500).requests[0].header("X-Index-Version"), nullptr);
}

// Failure: a busy server has no idle connection, so that its health is never checked, and a drain
// that only the health endpoint shows is missed.
TEST_F(engine_fixture, busyServerIsHealthChecked)
{
    build(1);
    warmUp();
    m_connector.at(0).drainingInHealth = true;
    for (int i = 0; i < 250; ++i) {
        run(request());
        m_loop.advance(milliseconds(10));
    }
    const std::size_t before = requestsTo(0);
    for (int i = 0; i < 50; ++i) {
        run(request());
        m_loop.advance(milliseconds(10));
    }
    EXPECT_EQ(requestsTo(0), before);
}

// Failure: attempts that wait for a connection when a reply says that the server drains are still
// sent to it.
TEST_F(engine_fixture, waitingAttemptsLeaveADrainingServer)
{
    build(1);
    m_connector.at(1).latency = m_connector.at(2).latency = milliseconds(30);
    warmUp();
    m_connector.at(0).draining = true;
    const std::size_t before = requestsTo(0);
    const auto answers = load(12, duration::zero());
    EXPECT_GT(requestsTo(0), before);
    const std::size_t sent = requestsTo(0);
    m_loop.advance(milliseconds(140));
    EXPECT_EQ(requestsTo(0), sent);
    for (const auto &answer : answers)
        EXPECT_EQ((*answer)->kind, answer_kind::Complete);
}

// Failure: replies that arrive after the engine was destroyed access it.
TEST_F(engine_fixture, canBeDestroyedWithAttemptsInFlight)
{
    build(2);
    const auto got = run(request());
    m_loop.advance(milliseconds(1));
    server_map servers = m_board.servers.value();
    servers.erase(server_id("n0"));
    m_board.servers.set(servers);
    m_engine.reset();
    m_loop.advance(seconds(1));
    EXPECT_FALSE(got->has_value());
}

// Failure: a server that refuses every connection holds back the attempts that wait for one.
TEST_F(engine_fixture, serverWithoutAnyConnectionIsAvoided)
{
    m_connector.at(0).connectionLimit = 0;
    build(1);
    for (const auto &answer : load(50, milliseconds(20))) {
        ASSERT_TRUE(answer->has_value()) << "took longer than 20 ms";
        EXPECT_EQ((*answer)->kind, answer_kind::Complete);
    }
}
