#include "gateway_fixture.h"

#include <gmock/gmock.h>

using namespace peridotwheel;
using testing::HasSubstr;

namespace {

using gateway_requests = gateway_fixture;

} // namespace

// A gathered answer must hold the greatest records of all parts, and one seal for each.
TEST_F(gateway_requests, gathersTheGreatestRecordsOfAllShards)
{
    warmUp();
    const auto client = send("/all/", "q");
    loop.advance(milliseconds(100));
    ASSERT_EQ(client->replies.size(), 1U);
    EXPECT_EQ(statusOf(client), 200);
    EXPECT_EQ(missingIn(client), "0");
    EXPECT_EQ(client->replies[0].body,
              std::string(16, 'e') + std::string(16, 'd') + std::string(16, 'c'));
}

// Before the first configuration it is unknown whether a route exists, so a 404 would be wrong.
TEST_F(gateway_requests, refusesAsNotRunWithoutAConfiguration)
{
    const auto client = send("/all/", "q");
    EXPECT_EQ(statusOf(client), 503);
    EXPECT_NE(client->replies[0].header("Retry-After-Ms"), nullptr);
}

TEST_F(gateway_requests, answersUnknownPathsWithNoRoute)
{
    start();
    EXPECT_EQ(statusOf(send("/nowhere/", "lost-17")), 404);
    loop.advance(seconds(1));
    EXPECT_THAT(logText, HasSubstr("event=request_refused request=lost-17 reason=no_route"));
}

// A second attempt must meet the latency target while the first server is in a pause.
TEST_F(gateway_requests, sendsASecondAttemptWhileTheFirstServerIsSilent)
{
    warmUp();
    shardServer(2, 0).behaviour = server_behaviour::Silent;
    const auto client = send("/all/", "q");
    loop.advance(milliseconds(130));
    EXPECT_EQ(statusOf(client), 200);
    EXPECT_EQ(missingIn(client), "0");
    EXPECT_EQ(backends.runs("q"), shardCount + 1);
}

// After one request got no answer in time, later ones must not be sent to the silent server.
TEST_F(gateway_requests, avoidsASilentServerForLaterRequests)
{
    warmUp();
    shardServer(2, 0).behaviour = server_behaviour::Silent;
    send("/all/", "first");
    loop.advance(milliseconds(60));
    send("/all/", "second");
    loop.advance(milliseconds(200));
    EXPECT_EQ(shardServer(2, 0).arrived.back(), "first");
    EXPECT_EQ(backends.runs("second"), shardCount);
}

// At the end of the target a partial answer is worth more than a late complete one.
TEST_F(gateway_requests, leavesAShardOutAtTheTarget)
{
    warmUp();
    for (std::size_t r = 0; r < replicas; ++r)
        shardServer(4, r).behaviour = server_behaviour::Silent;
    const auto client = send("/all/", "q");
    loop.advance(milliseconds(150));
    EXPECT_EQ(statusOf(client), 200);
    EXPECT_EQ(missingIn(client), "1");
    loop.advance(seconds(1));
    EXPECT_THAT(logText, HasSubstr("event=part_missing request=q at_ms="));
}

// Two missing shards of five are below the minimum coverage, so the answer must not be a success.
TEST_F(gateway_requests, failsBelowTheLeastCoverage)
{
    warmUp();
    for (std::size_t r = 0; r < replicas; ++r) {
        shardServer(3, r).behaviour = server_behaviour::Silent;
        shardServer(4, r).behaviour = server_behaviour::Silent;
    }
    const auto client = send("/all/", "q");
    loop.advance(milliseconds(1100));
    EXPECT_EQ(statusOf(client), 504);
}

// When too few shards are known to be reachable, the request must be refused at once and nothing be
// sent.
TEST_F(gateway_requests, refusesAtOnceWhenTooFewShardsCanBeReached)
{
    warmUp();
    for (std::size_t r = 0; r < replicas; ++r) {
        shardServer(3, r).behaviour = server_behaviour::Silent;
        shardServer(4, r).behaviour = server_behaviour::Silent;
    }
    // Each query tries two of the three replicas.
    for (const char *id : {"stuck", "stuck-again"}) {
        send("/all/", id);
        loop.advance(seconds(2));
    }
    const std::size_t before = backends.arrivals();
    const auto client = send("/all/", "refused");
    EXPECT_EQ(statusOf(client), 503);
    EXPECT_EQ(backends.arrivals(), before);
}

// After a lost answer it is unknown whether a booking ran; a retry could book twice.
TEST_F(gateway_requests, neverRepeatsANonIdempotentRequestThatMayHaveRun)
{
    warmUp();
    for (std::size_t r = 0; r < replicas; ++r)
        plainServer(r).behaviour = server_behaviour::Reset;
    const auto client = send("/once/", "booking");
    loop.advance(seconds(2));
    EXPECT_EQ(statusOf(client), 502);
    EXPECT_EQ(backends.runs("booking"), 1U);
}

TEST_F(gateway_requests, reportsASilentServerOfANonIdempotentRequestAsUnknown)
{
    warmUp();
    for (std::size_t r = 0; r < replicas; ++r)
        plainServer(r).behaviour = server_behaviour::Silent;
    const auto client = send("/once/", "booking");
    loop.advance(seconds(2));
    EXPECT_EQ(statusOf(client), 504);
    EXPECT_EQ(backends.runs("booking"), 1U);
}

// If a server states that it did not run the request, a retry at another server is safe.
TEST_F(gateway_requests, repeatsANonIdempotentRequestThatWasRejected)
{
    warmUp();
    plainServer(0).behaviour = server_behaviour::Reject;
    const auto client = send("/once/", "booking");
    loop.advance(seconds(1));
    EXPECT_EQ(statusOf(client), 200);
    EXPECT_EQ(backends.runs("booking"), 1U);
}

// Guards against taking a late second copy of a rejection for the reply to the next attempt of the
// same request: the request then ran twice, or ran and was refused as not run.
TEST_F(gateway_requests, lateCopyOfARejectionDoesNotHideTheRunOfTheNextAttempt)
{
    warmUp();
    for (std::size_t r = 0; r < replicas; ++r) {
        plainServer(r).behaviour = server_behaviour::Reject;
        plainServer(r).repeatsRejectionsLate = true;
    }
    const auto client = send("/once/", "q");
    for (int i = 0; i < 300; ++i) {
        loop.advance(milliseconds(1));
        if (backends.arrivals() > 0 && plainServer(0).arrived.back() == "q")
            plainServer(0).behaviour = server_behaviour::Answer;
    }
    ASSERT_EQ(client->replies.size(), 1U);
    EXPECT_EQ(backends.runs("q"), 1U);
    EXPECT_EQ(statusOf(client), 200);
}

// The same where the limit of the server leaves room for a single connection.
TEST_F(gateway_requests, replacesItsOnlyConnectionForTheNextAttemptAtTheSameServer)
{
    servers.erase(server_id("server-2001"));
    servers.erase(server_id("server-2002"));
    start();
    auto limited = configuration(2);
    limited.services[service_name("plain")].maxConnections = 1;
    gate.setRoutes(std::make_shared<route_table>(limited));
    warmUpPlain();
    plainServer(0).behaviour = server_behaviour::Reject;
    plainServer(0).repeatsRejectionsLate = true;
    const auto client = send("/once/", "q");
    for (int i = 0; i < 900; ++i) {
        loop.advance(milliseconds(1));
        if (plainServer(0).arrived.back() == "q")
            plainServer(0).behaviour = server_behaviour::Answer;
    }
    ASSERT_EQ(client->replies.size(), 1U);
    EXPECT_EQ(backends.runs("q"), 1U);
    EXPECT_EQ(statusOf(client), 200);
    EXPECT_EQ(plainServer(0).openConnections, 1U);
}

// A refusal may state "not run" only if no server ran the request.
TEST_F(gateway_requests, saysNotRunWhenEveryServerRejects)
{
    warmUp();
    for (std::size_t r = 0; r < replicas; ++r)
        plainServer(r).behaviour = server_behaviour::Reject;
    const auto client = send("/once/", "booking");
    loop.advance(seconds(2));
    EXPECT_EQ(statusOf(client), 503);
    EXPECT_EQ(backends.runs("booking"), 0U);
}

// If another server answers at an address, the view is out of date, and no further request may be
// sent there.
TEST_F(gateway_requests, avoidsAServerWhoseAddressBelongsToAnother)
{
    bool outdated = false;
    gate.setOutdatedViewHook([&outdated] { outdated = true; });
    warmUp();
    plainServer(0).behaviour = server_behaviour::WrongServer;
    const auto client = send("/one/", "q");
    loop.advance(milliseconds(200));
    EXPECT_EQ(statusOf(client), 200);
    EXPECT_TRUE(outdated);
    send("/one/", "next");
    loop.advance(milliseconds(200));
    EXPECT_EQ(plainServer(0).arrived.back(), "q");
}

// More attempts than the route allows would load servers that may already be failing.
TEST_F(gateway_requests, keepsTheLimitOfAttempts)
{
    warmUp();
    for (std::size_t r = 0; r < replicas; ++r)
        plainServer(r).behaviour = server_behaviour::Fail;
    const auto client = send("/one/", "q");
    loop.advance(seconds(1));
    EXPECT_EQ(statusOf(client), 500);
    EXPECT_EQ(backends.runs("q"), 2U);
}

// A server must get no new work as soon as its entry marks it as draining.
TEST_F(gateway_requests, sendsNothingToADrainingServer)
{
    warmUp();
    servers[server_id("server-" + std::to_string(port(0, 0)))].draining = true;
    gate.setServers(servers);
    const std::size_t before = shardServer(0, 0).arrived.size();
    for (int i = 0; i < 5; ++i) {
        send("/all/", "q" + std::to_string(i));
        loop.advance(milliseconds(50));
    }
    EXPECT_EQ(shardServer(0, 0).arrived.size(), before);
}

// Attempts that wait for a connection to a removed server must be sent to another one.
TEST_F(gateway_requests, sendsWaitingWorkElsewhereWhenAServerLeaves)
{
    start();
    plainServer(0).distance = milliseconds(300);
    const auto client = send("/one/", "q");
    servers.erase(server_id("server-" + std::to_string(plainPort(0))));
    gate.setServers(servers);
    loop.advance(seconds(1));
    EXPECT_EQ(statusOf(client), 200);
}

// After the caller has disconnected, long work must be ended by closing its connection.
TEST_F(gateway_requests, endsLongWorkOfACallerThatDisconnected)
{
    warmUp();
    plainServer(0).work = milliseconds(900);
    const auto client = send("/one/", "q");
    loop.advance(milliseconds(20));
    const unsigned before = plainServer(0).aborted;
    client->onDisconnect();
    loop.advance(milliseconds(450));
    EXPECT_EQ(plainServer(0).aborted, before + 1);
    EXPECT_TRUE(client->replies.empty());
}

// A version of the configuration that arrives late must not replace a newer one.
TEST_F(gateway_requests, neverReturnsToAnOlderConfiguration)
{
    start();
    route_configuration newer = configuration(5);
    newer.routes.pop_back();
    gate.setRoutes(std::make_shared<route_table>(std::move(newer)));
    gate.setRoutes(std::make_shared<route_table>(configuration(4)));
    EXPECT_EQ(statusOf(send("/once/", "q")), 404);
}

// All parts of an answer must come from the set of shards in force when the request arrived.
TEST_F(gateway_requests, keepsItsShardsWhenTheSetChanges)
{
    warmUp();
    const auto client = send("/all/", "q");
    route_configuration next = configuration(2);
    auto all = std::make_shared<route>(*next.routes[0]);
    all->gather->shards = {service_name("plain")};
    next.routes[0] = all;
    gate.setRoutes(std::make_shared<route_table>(std::move(next)));
    loop.advance(milliseconds(100));
    EXPECT_EQ(statusOf(client), 200);
    EXPECT_EQ(backends.runs("q"), shardCount);
    EXPECT_EQ(plainServer(0).arrived.back().substr(0, 4), "warm");
}

// The connections of all instances together must stay below a server's limit.
TEST_F(gateway_requests, keepsItsShareOfAServersConnections)
{
    member_map members;
    for (int i = 0; i < 9; ++i) {
        member m;
        m.id = instance_id(i == 0 ? "self" : "other-" + std::to_string(i));
        members.emplace(m.id, m);
    }
    start();
    gate.setInstances(members);
    loop.advance(seconds(1));
    plainServer(0).work = milliseconds(500);
    for (int i = 0; i < 40; ++i)
        send("/one/", "q" + std::to_string(i));
    loop.advance(milliseconds(100));
    constexpr unsigned limit = 26;
    EXPECT_LE(9 * plainServer(0).openConnections, limit);
}

// A server over its limit resets a connection right after accepting it. A request sent on it would
// count as one that may have run, and use up its attempts.
TEST_F(gateway_requests, losesNoRequestOnConnectionsBeyondAServersLimit)
{
    for (std::size_t r = 0; r < replicas; ++r)
        plainServer(r).maxConnections = r == 0 ? 0 : 26;
    start();
    const auto client = send("/once/", "booking");
    loop.advance(seconds(1));
    EXPECT_EQ(statusOf(client), 200);
    EXPECT_TRUE(plainServer(0).arrived.empty());
    for (int i = 0; i < 20; ++i) {
        const auto next = send("/one/", "q" + std::to_string(i));
        loop.advance(milliseconds(100));
        EXPECT_EQ(statusOf(next), 200);
    }
    EXPECT_EQ(counters.at("gateway.repeated_attempts").value(), 0U);
}

// A request that was written before a reset that is probably a refusal may have run and must not be
// reported as "not run".
TEST_F(gateway_requests, doesNotCallAWrittenRequestNotRun)
{
    for (std::size_t r = 0; r < replicas; ++r) {
        plainServer(r).maxConnections = 0;
        plainServer(r).resetAfter = milliseconds(20);
        plainServer(r).work = milliseconds(50);
    }
    gate.setServers(servers);
    member self;
    self.id = instance_id("self");
    gate.setInstances({{self.id, self}});
    gate.setRoutes(std::make_shared<route_table>(configuration(1)));
    loop.advance(milliseconds(9));
    const auto client = send("/one/", "q");
    loop.advance(seconds(2));
    ASSERT_GT(backends.runs("q"), 0U);
    EXPECT_NE(statusOf(client), 503);
}

// Guards against requests that run on more servers than `maxAttempts`, because an answer that was
// lost on a new connection was taken for a connection that the server had refused.
TEST_F(gateway_requests, countsALostAnswerOnANewConnectionAsARun)
{
    constexpr std::size_t count = 8;
    for (std::size_t r = replicas; r < count; ++r)
        addServer("plain", plainPort(r), "near");
    for (std::size_t r = 0; r < count; ++r) {
        plainServer(r).behaviour = server_behaviour::Reset;
        plainServer(r).distance = milliseconds(2);
    }
    gate.setServers(servers);
    member self;
    self.id = instance_id("self");
    gate.setInstances({{self.id, self}});
    gate.setRoutes(std::make_shared<route_table>(configuration(1)));
    loop.advance(milliseconds(60));
    constexpr int burst = 4;
    std::map<std::string, std::shared_ptr<fake_client>> clients;
    for (int i = 0; i < burst; ++i) {
        const std::string id = "q" + std::to_string(i);
        clients[id] = send("/one/", id);
    }
    loop.advance(seconds(2));
    for (const auto &[id, client] : clients) {
        EXPECT_LE(backends.runs(id), 2U) << id;
        EXPECT_TRUE(backends.runs(id) == 0 || statusOf(client) != 503);
    }
    EXPECT_GT(backends.arrivals(), 0U);
}

// On-call engineers must find the decisions on a failed request in the log by its id.
TEST_F(gateway_requests, logsTheDecisionsOnAFailedRequest)
{
    warmUp();
    for (std::size_t r = 0; r < replicas; ++r)
        plainServer(r).behaviour = server_behaviour::Reset;
    send("/once/", "booking-17");
    loop.advance(seconds(2));
    EXPECT_THAT(logText, HasSubstr("event=attempt_lost request=booking-17"));
    EXPECT_THAT(logText, HasSubstr("outcome=failed"));
}

// The metrics must count answers by rank and latency.
TEST_F(gateway_requests, countsLatenciesByRank)
{
    start();
    send("/one/", "q");
    loop.advance(milliseconds(100));
    EXPECT_EQ(counters.at("gateway.latency.rank_0.le_5_ms").value(), 0U);
    EXPECT_EQ(counters.at("gateway.latency.rank_0.le_50_ms").value(), 1U);
    EXPECT_EQ(counters.at("gateway.latency.rank_0.all").value(), 1U);
}

// When a stopped process resumes, all deadlines have passed. It must answer the waiting requests
// and must not suspect the servers because of its own pause.
TEST_F(gateway_requests, survivesBeingStoppedForSeconds)
{
    warmUp();
    const auto client = send("/once/", "q");
    loop.pause(seconds(4));
    loop.advance(milliseconds(300));
    EXPECT_EQ(client->replies.size(), 1U);
    const auto next = send("/all/", "next");
    loop.advance(milliseconds(150));
    EXPECT_EQ(statusOf(next), 200);
    EXPECT_EQ(missingIn(next), "0");
}

// The log must show when callers are refused for overload, and refusals must carry a retry delay.
TEST_F(gateway_requests, refusesCallersWhileAllShardsQueueAndLogsIt)
{
    warmUp();
    for (std::size_t s = 0; s < shardCount; ++s) {
        for (std::size_t r = 0; r < replicas; ++r)
            shardServer(s, r).work = milliseconds(90);
    }
    int refused = 0;
    for (int i = 0; i < 200; ++i) {
        const auto client = send("/all/", "crowd-" + std::to_string(i));
        if (statusOf(client) == 503) {
            ++refused;
            EXPECT_NE(client->replies[0].header("Retry-After-Ms"), nullptr);
        }
        loop.advance(milliseconds(10));
    }
    EXPECT_GT(refused, 20);
    EXPECT_LT(gate.lowestAdmissionShare(), 1);
    EXPECT_THAT(logText, HasSubstr("event=admission_restricted first_shard=s0"));
    for (std::size_t s = 0; s < shardCount; ++s) {
        for (std::size_t r = 0; r < replicas; ++r)
            shardServer(s, r).work = milliseconds(5);
    }
    for (int i = 0; i < 300; ++i) {
        send("/all/", "later-" + std::to_string(i));
        loop.advance(milliseconds(10));
    }
    EXPECT_EQ(gate.lowestAdmissionShare(), 1);
    EXPECT_THAT(logText, HasSubstr("event=admission_open first_shard=s0"));
}

// After a repartition no query goes to the former shards. If their admission state were kept, the
// gauge and the log would go on reporting that callers are refused.
TEST_F(gateway_requests, dropsTheAdmissionOfShardsThatNoRouteNames)
{
    warmUp();
    for (std::size_t s = 0; s < shardCount; ++s) {
        for (std::size_t r = 0; r < replicas; ++r)
            shardServer(s, r).work = milliseconds(90);
    }
    for (int i = 0; i < 200; ++i) {
        send("/all/", "crowd-" + std::to_string(i));
        loop.advance(milliseconds(10));
    }
    ASSERT_LT(gate.lowestAdmissionShare(), 1);
    ASSERT_THAT(logText, HasSubstr("event=admission_restricted first_shard=s0"));
    route_configuration next = configuration(2);
    auto all = std::make_shared<route>(*next.routes.front());
    all->gather->shards.erase(all->gather->shards.begin());
    next.routes.front() = all;
    // Queries to the former shards are still running.
    gate.setRoutes(std::make_shared<route_table>(next));
    loop.advance(seconds(2));
    EXPECT_EQ(gate.lowestAdmissionShare(), 1);
    EXPECT_THAT(logText, HasSubstr("event=admission_open first_shard=s0"));
}

// If servers hang while requests keep arriving, the instance must not run out of memory.
TEST_F(gateway_requests, boundsTheRequestsThatItHolds)
{
    warmUp();
    for (std::size_t r = 0; r < replicas; ++r)
        plainServer(r).work = milliseconds(900);
    std::vector<std::shared_ptr<fake_client>> clients;
    clients.reserve(400);
    for (int i = 0; i < 400; ++i)
        clients.push_back(send("/one/", "held-" + std::to_string(i)));
    EXPECT_LE(gate.requestsInFlight(), 300U);
    EXPECT_EQ(statusOf(clients.back()), 503);
    EXPECT_NE(clients.back()->replies[0].header("Retry-After-Ms"), nullptr);
    loop.advance(seconds(5));
    EXPECT_EQ(gate.requestsInFlight(), 0U);
}

// In an overload, second attempts delay all other queries: without them the overload of all classes
// was served better on the users' bench.
TEST_F(gateway_requests, sendsNoSecondAttemptsWhileQueriesAreRefused)
{
    warmUp();
    for (std::size_t s = 0; s < shardCount; ++s) {
        for (std::size_t r = 0; r < replicas; ++r)
            shardServer(s, r).work = milliseconds(60);
    }
    // Without these two parts no answer reaches the minimum coverage.
    shardServer(0, 0).work = milliseconds(400);
    shardServer(1, 0).work = milliseconds(400);
    for (int i = 0; i < 100; ++i) {
        send("/all/", "crowd-" + std::to_string(i));
        loop.advance(milliseconds(10));
    }
    ASSERT_LT(gate.lowestAdmissionShare(), 1);
    const auto before = counters.at("gateway.second_attempts").value();
    for (int i = 0; i < 20; ++i) {
        send("/all/", "more-" + std::to_string(i));
        loop.advance(milliseconds(10));
        ASSERT_LT(gate.lowestAdmissionShare(), 1);
    }
    EXPECT_EQ(counters.at("gateway.second_attempts").value(), before);
}

// A service that appeared after a repartition could not use its constant share of extra attempts
// for a whole window, as if this process had just started, so that lost parts were not retried.
TEST_F(gateway_requests, repeatsAtOnceAtServicesThatAreNew)
{
    warmUp();
    loop.advance(seconds(20));
    route_configuration next = configuration(2);
    auto one = std::make_shared<route>(*next.routes[1]);
    one->services = {{service_name("fresh"), 1}};
    next.routes[1] = one;
    next.services[service_name("fresh")].maxConnections = 26;
    constexpr std::uint16_t nearPort = 3000;
    constexpr std::uint16_t farPort = 3001;
    addServer("fresh", nearPort, "near");
    addServer("fresh", farPort, "far");
    gate.setServers(servers);
    gate.setRoutes(std::make_shared<route_table>(next));
    backends.at(nearPort).behaviour = server_behaviour::Fail;
    backends.at(farPort).distance = milliseconds(24);
    loop.advance(seconds(1));
    const auto client = send("/one/", "first");
    loop.advance(milliseconds(500));
    EXPECT_EQ(statusOf(client), 200);
    EXPECT_EQ(backends.runs("first"), 2U);
}

// Instances must act on the hints of others, and the log must show it to on-call engineers.
TEST_F(gateway_requests, avoidsServersThatOthersFoundSlowAndLogsIt)
{
    warmUp();
    gate.setHints({{server_id("server-" + std::to_string(plainPort(0))), {8, 0}}});
    loop.advance(milliseconds(100));
    EXPECT_THAT(logText, HasSubstr("event=server_hinted server=server-2000 service=plain "
                                   "slowness_permille=8000"));
    const std::size_t before = plainServer(0).arrived.size();
    for (int i = 0; i < 5; ++i) {
        send("/one/", "hinted-" + std::to_string(i));
        loop.advance(milliseconds(100));
    }
    EXPECT_EQ(plainServer(0).arrived.size(), before);
    gate.setHints({});
    loop.advance(milliseconds(100));
    EXPECT_THAT(logText, HasSubstr("event=server_hint_ended server=server-2000"));
    send("/one/", "after");
    loop.advance(milliseconds(100));
    EXPECT_EQ(plainServer(0).arrived.size(), before + 1);
}

// When servers join, the number of standing connections must follow from the number of servers
// after the join: the first servers of a service had none.
TEST_F(gateway_requests, keepsConnectionsToAllServersThatJoinTogether)
{
    route_configuration next = configuration(2);
    next.services[service_name("fresh")].maxConnections = 26;
    start();
    gate.setRoutes(std::make_shared<route_table>(next));
    constexpr std::uint16_t firstPort = 3000;
    for (std::uint16_t i = 0; i < 3; ++i)
        addServer("fresh", firstPort + i, "near");
    gate.setServers(servers);
    loop.advance(seconds(1));
    for (std::uint16_t i = 0; i < 3; ++i)
        EXPECT_EQ(backends.at(firstPort + i).openConnections, 1U) << i;
}

// A late answer must show whether its attempts were sent late or answered late.
TEST_F(gateway_requests, logsWhenTheLastAttemptWasSent)
{
    warmUp();
    for (std::size_t r = 0; r < replicas; ++r)
        shardServer(4, r).behaviour = server_behaviour::Silent;
    send("/all/", "q");
    loop.advance(seconds(2));
    EXPECT_THAT(logText, HasSubstr("event=request_ended request=q"));
    EXPECT_THAT(logText, HasSubstr(" waited_for_connection=0 "));
    EXPECT_THAT(logText, testing::ContainsRegex(" last_sent_ms=[1-9]"));
}

// Connections are dear, so their number is shown by the reason for which they were opened.
TEST_F(gateway_requests, countsConnectionsByReason)
{
    warmUp();
    EXPECT_GT(counters.at("gateway.connections_opened.in_advance").value(), 0U);
    EXPECT_EQ(counters.at("gateway.connections_opened.attempts").value(), 0U);
    for (int i = 0; i < 8; ++i)
        send("/one/", "q" + std::to_string(i));
    loop.advance(milliseconds(100));
    EXPECT_GT(counters.at("gateway.connections_opened.attempts").value(), 0U);
}

// The story of a query over hundreds of shards takes milliseconds to write on a small instance, by
// which its answer would miss the target.
TEST_F(gateway_requests, answersBeforeItLogsTheStory)
{
    warmUp();
    for (std::size_t r = 0; r < replicas; ++r)
        shardServer(4, r).behaviour = server_behaviour::Silent;
    const auto client = send("/all/", "q");
    std::string textAtReply;
    client->onReply = [&] {
        log.flush();
        textAtReply = logText;
    };
    loop.advance(seconds(2));
    EXPECT_EQ(statusOf(client), 200);
    EXPECT_THAT(textAtReply, testing::Not(HasSubstr(" request=q ")));
    EXPECT_THAT(logText, HasSubstr("event=request_ended request=q "));
}

namespace {

/// A gateway whose answers take longer to send than the margin allows for.
class slow_link : public gateway_fixture
{
protected:
    slow_link()
        : gateway_fixture(options())
    {
    }

    static gateway_options options()
    {
        gateway_options o = defaultOptions();
        o.link = byte_rate(bytesPerSecond);
        return o;
    }

    /// Sends a query that is answered without one shard; returns the time at which its answer has
    /// left this instance.
    duration timeOfPartialAnswer(const std::string &id)
    {
        const time_point sentAt = loop.now();
        duration took{};
        const auto client = send("/all/", id);
        client->onReply = [&] {
            std::size_t bytes = client->replies.front().body.size();
            for (const auto &[name, value] : client->replies.front().headers)
                bytes += name.size() + value.size();
            took = loop.now() - sentAt +
                   fromMilliseconds(1000.0 * static_cast<double>(bytes) / bytesPerSecond);
        };
        loop.advance(seconds(1));
        EXPECT_EQ(statusOf(client), 200);
        EXPECT_EQ(missingIn(client), "1");
        return took;
    }

    static constexpr double bytesPerSecond = 4000;
};

} // namespace

// Answers that wait for a missing shard until the target must not miss it by the time that this
// instance needs to send them.
TEST_F(slow_link, answersEarlierByTheTimeThatAnswersTakeToLeave)
{
    warmUp();
    // Too slow for the target, but not silent.
    for (std::size_t r = 0; r < replicas; ++r)
        shardServer(4, r).work = milliseconds(300);
    for (int i = 0; i < 30; ++i)
        timeOfPartialAnswer("q" + std::to_string(i));
    constexpr duration target = milliseconds(150);
    EXPECT_LE(timeOfPartialAnswer("last"),
              target - defaultOptions().answerMargin + milliseconds(2));
}
