#include "peridotwheel/standin/platform_standin.h"
#include "peridotwheel/standin/standin_control.h"
#include "peridotwheel/standin/standin_fleet.h"

#include "standin_fixture.h"

#include <nlohmann/json.hpp>

using namespace peridotwheel;
using nlohmann::json;

namespace {

class platform_fixture : public standin_fixture
{
protected:
    void serve(const platform_config &config = {})
    {
        m_platform = std::make_unique<platform_standin>(m_loop, config);
        ASSERT_TRUE(m_platform->start().has_value());
    }

    http_outcome ask(http_method method, const std::string &path, const std::string &body = "",
                     const http_headers &headers = {}, duration timeout = seconds(20))
    {
        return exchange(m_platform->address(), {method, path, headers, body}, timeout);
    }

    http_outcome get(const std::string &path) { return ask(http_method::Get, path); }

    std::unique_ptr<platform_standin> m_platform;
};

} // namespace

// Lost updates: of two writers that saw the same version, only one may win.
TEST_F(platform_fixture, conditionalWritesConflictAndShowTheCurrentObject)
{
    serve();
    const http_headers absent = {{"If-None-Match", "*"}};
    const auto first = ask(http_method::Put, "/objects/claims/a%2Fb", R"({"s":1})", absent);
    const auto version = json::parse(first.reply.body)["version"].get<std::uint64_t>();
    EXPECT_EQ(ask(http_method::Put, "/objects/claims/a%2Fb", "2", absent).reply.status, 412);
    const http_headers match = {{"If-Match", std::to_string(version)}};
    EXPECT_EQ(ask(http_method::Put, "/objects/claims/a%2Fb", "3", match).reply.status, 200);
    const auto lost = ask(http_method::Put, "/objects/claims/a%2Fb", "4", match);
    EXPECT_EQ(lost.reply.status, 412);
    EXPECT_EQ(json::parse(lost.reply.body)["value"], 3);
    EXPECT_EQ(ask(http_method::Delete, "/objects/claims/a%2Fb", "", match).reply.status, 412);
    EXPECT_EQ(ask(http_method::Delete, "/objects/claims/a%2Fb").reply.status, 200);
    EXPECT_EQ(get("/objects/claims/a%2Fb").reply.status, 404);
}

TEST_F(platform_fixture, watchWakesForItsKindOnlyAndReportsRemovals)
{
    serve();
    const auto since = m_platform->put("snapshots", "current", "1");
    m_platform->put("claims", "x", "1");
    auto change = m_loop.schedule(milliseconds(20), [&] {
        m_platform->put("claims", "y", "1");
        m_platform->remove("snapshots", "current");
    });
    const auto got = get("/watch/snapshots?since=" + std::to_string(since) + "&timeoutMs=20000");
    const auto body = json::parse(got.reply.body);
    EXPECT_EQ(body["changed"].size(), 0U);
    EXPECT_EQ(body["removed"], json::array({"current"}));
    EXPECT_EQ(body["next"], since + 3);
}

// A watcher that missed changes must learn so, or it would serve a stale document for ever.
TEST_F(platform_fixture, watchBeyondTheHistoryIsGoneButAWaitingOneIsNot)
{
    platform_config config;
    config.maxHistory = 3;
    serve(config);
    auto changes = m_loop.schedule(milliseconds(20), [&] {
        for (int i = 0; i < 5; ++i)
            m_platform->put("claims", std::to_string(i), "1");
        m_platform->put("snapshots", "current", "7");
    });
    const auto waited = get("/watch/snapshots?since=0&timeoutMs=20000");
    EXPECT_EQ(json::parse(waited.reply.body)["changed"][0]["value"], 7);
    EXPECT_EQ(get("/watch/snapshots?since=0").reply.status, 410);
    EXPECT_EQ(get("/watch/snapshots?since=99").reply.status, 410);
}

TEST_F(platform_fixture, listLagsBehindRegistrations)
{
    platform_config config;
    config.listLag = seconds(3600);
    serve(config);
    m_platform->put("instances", "entry-1", R"({"id":"entry-1"})");
    EXPECT_EQ(get("/instances").reply.body, R"({"instances":[],"servers":[]})");
    config.listLag = duration::zero();
    serve(config);
    m_platform->put("instances", "entry-1", R"({"id":"entry-1"})");
    EXPECT_EQ(get("/instances").reply.body, R"({"instances":[{"id":"entry-1"}],"servers":[]})");
}

// A writer without a reply must find its write when it reads back.
TEST_F(platform_fixture, lostReplyOfTheChosenKindLeavesTheWriteInEffect)
{
    serve();
    platform_faults faults;
    ASSERT_TRUE(applyFaultJson(R"({"lostReplyFraction":1,"lostReplyKind":"claims"})", faults)
                        .has_value());
    m_platform->setFaults(faults);
    EXPECT_EQ(ask(http_method::Put, "/objects/claims/a", "1").failure,
              transport_failure::MayHaveRun);
    EXPECT_EQ(get("/objects/claims/a").reply.status, 200);
    EXPECT_EQ(ask(http_method::Put, "/objects/configuration/current", "1").reply.status, 200);
}

TEST_F(platform_fixture, outageAndCutOffAreConfinedAndEnd)
{
    serve();
    platform_faults faults;
    faults.cutOff = {data_centre_id("dc2")};
    m_platform->setFaults(faults);
    const http_headers dc2 = {{"X-Data-Centre", "dc2"}};
    EXPECT_FALSE(ask(http_method::Get, "/instances", "", dc2, milliseconds(50)).ok());
    EXPECT_TRUE(get("/instances").ok());
    faults.outage = outage_mode::Dropped;
    m_platform->setFaults(faults);
    EXPECT_FALSE(get("/instances").ok());
    EXPECT_FALSE(ask(http_method::Put, "/objects/claims/a", "1").ok());
    m_platform->setFaults({});
    EXPECT_TRUE(ask(http_method::Get, "/instances", "", dc2).ok());
    EXPECT_EQ(get("/objects/claims/a").reply.status, 404);
}

// An outage that left waiting watches open would hide itself from the instances.
TEST_F(platform_fixture, outageBreaksWaitingWatches)
{
    serve();
    auto begin = m_loop.schedule(milliseconds(20), [&] {
        platform_faults faults;
        faults.outage = outage_mode::Dropped;
        m_platform->setFaults(faults);
    });
    EXPECT_FALSE(get("/watch/snapshots?since=0&timeoutMs=1000").ok());
}

class fleet_fixture : public standin_fixture
{
protected:
    static fleet_config smallFleet()
    {
        fleet_config config;
        config.shardedServices = 2;
        config.plainServices = {{service_name("booking"), 2}};
        config.serviceTimeMean = duration::zero();
        config.platform.listLag = duration::zero();
        return config;
    }
};

// Servers must hold a version before the platform names it, or queries fail for a moment.
TEST_F(fleet_fixture, repartitionIsServedAndPublished)
{
    standin_fleet fleet(smallFleet());
    ASSERT_TRUE(fleet.start().has_value());
    const auto version = fleet.publishVersion(3);
    const auto got = exchange(fleet.platformAddress(), {http_method::Get, "/objects/snapshots/2"});
    const auto map = json::parse(got.reply.body)["value"];
    EXPECT_EQ(map["version"], version.value());
    ASSERT_EQ(map["shards"].size(), 6U);
    EXPECT_EQ(map["shards"][5]["service"], "service-02");
    const auto server = fleet.server(server_id("service-02-1")).value();
    const http_request search = {
            http_method::Post, "/search", {{"X-Index-Version", "2"}, {"X-Shards", "4,6"}}, "q"};
    EXPECT_EQ(exchange(server.address, search).reply.status, 200);
    EXPECT_EQ(fleet.counters().executed, 1U);
}

TEST_F(fleet_fixture, drainAndRestartShowInTheList)
{
    standin_fleet fleet(smallFleet());
    ASSERT_TRUE(fleet.start().has_value());
    const server_id id("booking-1");
    const auto before = fleet.server(id).value().start;
    const auto object = [&] {
        return exchange(fleet.platformAddress(), {http_method::Get, "/objects/servers/booking-1"})
                .reply;
    };
    ASSERT_TRUE(fleet.startDrain(id).has_value());
    EXPECT_EQ(json::parse(object().body)["value"]["state"], "leaving");
    ASSERT_TRUE(fleet.finishDrain(id).has_value());
    EXPECT_EQ(object().status, 404);
    ASSERT_TRUE(fleet.restartServer(id, 0).has_value());
    EXPECT_EQ(json::parse(object().body)["value"]["state"], "live");
    EXPECT_NE(fleet.server(id).value().start, before);
    const http_request run = {http_method::Post, "/run", {{"X-Request-Id", "r"}}, ""};
    EXPECT_EQ(exchange(fleet.server(id).value().address, run).reply.status, 200);
}

TEST_F(fleet_fixture, controlSelectsServersAndExplainsMistakes)
{
    standin_fleet fleet(smallFleet());
    ASSERT_TRUE(fleet.start().has_value());
    standin_control control(fleet);
    ASSERT_TRUE(control.start({"127.0.0.1", 0}).has_value());
    const auto post = [&](const std::string &path, const std::string &body) {
        return exchange(control.address(), {http_method::Post, path, {}, body}).reply;
    };
    EXPECT_EQ(post("/fault", R"({"service":"service-01","shedAll":true})").body,
              "{\"applied\":3}\n");
    EXPECT_EQ(post("/fault", R"({"shedAll":true})").status, 400);
    EXPECT_EQ(post("/fault", R"({"server":"nobody"})").status, 404);
    EXPECT_EQ(post("/platform-fault", R"({"outage":"maybe"})").status, 400);
    EXPECT_EQ(post("/publish", R"({"shardsPerService":2})").body, "{\"version\":2}\n");
    const auto address = fleet.server(server_id("service-01-2")).value().address;
    EXPECT_EQ(exchange(address, {http_method::Post, "/search"}).reply.status, 503);
}
