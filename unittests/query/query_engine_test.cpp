#include "fake_servers.h"
#include "peridotwheel/counters/counter_set.h"
#include "peridotwheel/query/query_engine.h"
#include "peridotwheel/state/blackboard.h"

#include <gtest/gtest.h>

using namespace peridotwheel;

namespace {

constexpr std::uint64_t seed = 7;
constexpr std::uint16_t replicaCount = 3;

/// Services s0, s1, ... with one shard and three servers each; server r of service k has port
/// 100 * k + r and is in data centre r.
class engine_fixture : public testing::Test
{
protected:
    void build(std::uint16_t services, query_engine_options options = {})
    {
        RecordProperty("seed", std::to_string(seed));
        server_map servers;
        shard_map map;
        map.version = index_version(1);
        for (std::uint16_t k = 0; k < services; ++k) {
            shard s{shard_id(k + 1U), service_name("s" + std::to_string(k)), {}};
            for (std::uint16_t r = 0; r < replicaCount; ++r) {
                const server_record record = recordOf(k, r);
                servers[record.id] = record;
                s.replicas.push_back(record.id);
            }
            map.shards.push_back(s);
        }
        m_board.servers.set(servers);
        publish(map);
        options.connectionHold = duration::zero();
        m_engine = std::make_unique<query_engine>(m_loop, m_board, m_connector, m_counters,
                                                  event_sink(), seed, instance_id("i1"),
                                                  data_centre_id("d0"), options);
        m_loop.advance(milliseconds(200));
    }

    static server_record recordOf(std::uint16_t service, std::uint16_t replica)
    {
        const auto port = static_cast<std::uint16_t>(100 * service + replica);
        server_record record;
        record.id = server_id("n" + std::to_string(port));
        record.start = start_id(port);
        record.service = service_name("s" + std::to_string(service));
        record.dataCentre = data_centre_id("d" + std::to_string(replica));
        record.address = {"127.0.0.1", port};
        record.connectionLimit = 4;
        return record;
    }

    void publish(const shard_map &map)
    {
        snapshot_set set = m_board.snapshots.value();
        set.current = std::make_shared<shard_map>(map);
        set.retained[map.version] = set.current;
        m_board.snapshots.set(set);
    }

    void publishVersion(std::uint64_t version)
    {
        shard_map map = *m_board.snapshots.value().current;
        map.version = index_version(version);
        publish(map);
    }

    query_request request(duration deadline = milliseconds(140))
    {
        query_request r;
        r.id = request_id("q" + std::to_string(++m_queries));
        r.spec = {class_name("urgent"), deadline, 0.99, 0.99, class_rank(0)};
        r.text = "text";
        r.arrival = m_loop.now();
        r.deadline = m_loop.now() + deadline;
        return r;
    }

    query_request booking()
    {
        query_request r = request();
        r.repeatable = false;
        r.services = {service_name("s0")};
        return r;
    }

    std::shared_ptr<std::optional<query_answer>> run(query_request r)
    {
        auto got = std::make_shared<std::optional<query_answer>>();
        m_engine->run(std::move(r), [got](query_answer a) {
            EXPECT_FALSE(got->has_value()) << "answered twice";
            *got = std::move(a);
        });
        return got;
    }

    /// Runs \p count queries one after the other with \p gap between their starts.
    std::vector<std::shared_ptr<std::optional<query_answer>>> load(int count, duration gap)
    {
        std::vector<std::shared_ptr<std::optional<query_answer>>> answers;
        for (int i = 0; i < count; ++i) {
            answers.push_back(run(request()));
            m_loop.advance(gap);
        }
        return answers;
    }

    std::size_t requestsTo(std::uint16_t port) { return m_connector.at(port).requests.size(); }
    std::uint64_t counted(const std::string &name) { return m_counters.at(name).value(); }
    void warmUp() { load(60, milliseconds(15)); }

    manual_loop m_loop;
    blackboard m_board;
    counter_set m_counters;
    fake_connector m_connector{m_loop};
    std::unique_ptr<query_engine> m_engine;
    int m_queries = 0;
};

} // namespace

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

// Guards against hooks that run before the caller of run() is ready for them.
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
    // The straggler's own reply arrives later and must change nothing.
    m_loop.advance(milliseconds(400));
}

// Without detection, every query that meets the silent server would have to be hedged.
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
    load(100, milliseconds(10));
    // Probes back off to one per 1.6 s.
    EXPECT_LE(requestsTo(0) - before, 2U);
    m_connector.at(0).silent = false;
    load(400, milliseconds(10));
    EXPECT_GT(requestsTo(0), before + 20);
}

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

// A hedge may reach a server that already holds a newer version only.
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

// The pinned map decides what an answer covers, even if the shards are cut anew meanwhile.
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

TEST_F(engine_fixture, leavingServerGetsNothingAfterItsFirstSign)
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

TEST_F(engine_fixture, bookingThatMayHaveRunIsNotSentAgain)
{
    build(1);
    for (std::uint16_t r = 0; r < replicaCount; ++r)
        m_connector.at(r).reset = true;
    const auto got = run(booking());
    m_loop.advance(milliseconds(200));
    ASSERT_TRUE(got->has_value());
    EXPECT_EQ((*got)->kind, answer_kind::OutcomeUnknown);
    EXPECT_EQ((*got)->ran, ran_state::Unknown);
    EXPECT_EQ(requestsTo(0) + requestsTo(1) + requestsTo(2), 1U);
}

TEST_F(engine_fixture, silentServerLeavesABookingUnknownAndAloneAtTheDeadline)
{
    build(1);
    for (std::uint16_t r = 0; r < replicaCount; ++r)
        m_connector.at(r).silent = true;
    const auto got = run(booking());
    m_loop.advance(seconds(2));
    EXPECT_EQ((*got)->ran, ran_state::Unknown);
    EXPECT_EQ(requestsTo(0) + requestsTo(1) + requestsTo(2), 1U);
}

TEST_F(engine_fixture, bookingThatWasShedIsTriedElsewhere)
{
    build(1);
    m_connector.at(0).status = 503;
    m_connector.at(0).notRun = true;
    const auto got = run(booking());
    m_loop.advance(milliseconds(200));
    EXPECT_EQ((*got)->kind, answer_kind::Complete);
    EXPECT_EQ(requestsTo(0), 1U);
    EXPECT_EQ(requestsTo(1) + requestsTo(2), 1U);
}

TEST_F(engine_fixture, bookingShedByAllDidNotRun)
{
    build(1);
    for (std::uint16_t r = 0; r < replicaCount; ++r) {
        m_connector.at(r).status = 503;
        m_connector.at(r).notRun = true;
    }
    const auto got = run(booking());
    m_loop.advance(milliseconds(200));
    EXPECT_EQ((*got)->ran, ran_state::No);
    const std::size_t sent = requestsTo(0) + requestsTo(1) + requestsTo(2);
    for (std::uint16_t r = 0; r < replicaCount; ++r)
        m_connector.at(r).status = 200;
    m_loop.advance(seconds(2));
    EXPECT_EQ(requestsTo(0) + requestsTo(1) + requestsTo(2), sent) << "ran after its refusal";
}

// Hedging while everything is slow would add load exactly when there is no capacity.
TEST_F(engine_fixture, extraAttemptsFadeWhenAllServersAreSlow)
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

// After a pause of this process the replies are late through no fault of the servers.
TEST_F(engine_fixture, pauseOfTheProcessMakesNoServerSuspect)
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
    EXPECT_EQ(m_connector.at(500).requests[0].path, "/run");
    EXPECT_EQ(m_connector.at(500).requests[0].header("X-Index-Version"), nullptr);
}
