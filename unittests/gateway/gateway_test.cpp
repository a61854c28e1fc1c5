#include "gateway_fixture.h"

#include <gmock/gmock.h>

using namespace peridotwheel;
using testing::HasSubstr;

namespace {

using gateway_requests = gateway_fixture;

int statusOf(const std::shared_ptr<fake_client> &client)
{
    return client->replies.empty() ? 0 : client->replies.front().status;
}

std::string missingIn(const std::shared_ptr<fake_client> &client)
{
    const std::string *missing = client->replies.at(0).header("Missing");
    return missing != nullptr ? *missing : "";
}

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

// Before the first configuration nobody knows whether a route exists: a 404 would be untrue.
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

// A query must not wait for a server in its usual pause: the second attempt saves the target.
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

// Requests after the first stuck one must not be sent to the silent server any more.
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

// At the target, an answer without a missing shard is worth more than a late one.
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

// Two missing shards of five are below the least coverage: the answer must not be a success.
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

// When it is known that too few shards can be reached, the caller learns it at once and nothing is
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

// A lost answer leaves it unknown whether a booking ran: sending it again could book twice.
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

// A server that states that it did not run the request leaves the way to another one open.
TEST_F(gateway_requests, repeatsANonIdempotentRequestThatWasRejected)
{
    warmUp();
    plainServer(0).behaviour = server_behaviour::Reject;
    const auto client = send("/once/", "booking");
    loop.advance(seconds(1));
    EXPECT_EQ(statusOf(client), 200);
    EXPECT_EQ(backends.runs("booking"), 1U);
}

// "Not run" must be said only if no server ran the request.
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

// An address with another server means that the view is old: no further request goes there.
TEST_F(gateway_requests, leavesAServerWhoseAddressBelongsToAnother)
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

// A server that is leaving gets no new work from the moment its entry says so.
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

// Work that waits for a connection must leave with the server, not be sent to it later.
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

// After the caller has left, long work is ended by closing its connection.
TEST_F(gateway_requests, endsLongWorkOfACallerWhoLeft)
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

// All parts of an answer belong to the set of shards that was in force at the request's arrival.
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

// A reset that is probably a refusal costs no extra attempt, but the request was written: nobody
// knows for certain that it did not run.
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

// On-call engineers find the cause of a failed request by its id.
TEST_F(gateway_requests, logsTheStoryOfAFailedRequest)
{
    warmUp();
    for (std::size_t r = 0; r < replicas; ++r)
        plainServer(r).behaviour = server_behaviour::Reset;
    send("/once/", "booking-17");
    loop.advance(seconds(2));
    EXPECT_THAT(logText, HasSubstr("event=attempt_lost request=booking-17"));
    EXPECT_THAT(logText, HasSubstr("outcome=failed"));
}

// The metrics must show how many answers were quick, by rank.
TEST_F(gateway_requests, countsLatenciesByRank)
{
    start();
    send("/one/", "q");
    loop.advance(milliseconds(100));
    EXPECT_EQ(counters.at("gateway.latency.rank_0.le_5_ms").value(), 0U);
    EXPECT_EQ(counters.at("gateway.latency.rank_0.le_50_ms").value(), 1U);
    EXPECT_EQ(counters.at("gateway.latency.rank_0.all").value(), 1U);
}

// A process that was stopped wakes with every deadline in the past: it answers, and does not
// suspect the servers of its own silence.
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

// On-call engineers must see when and why callers were turned away, and callers when to come back.
TEST_F(gateway_requests, turnsCallersAwayWhileAllShardsAreQueuedAndSaysSo)
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

// After a repartition no query goes to the former shards any more: without this, the gauge and the
// log go on telling that callers are turned away.
TEST_F(gateway_requests, forgetsTheAdmissionOfShardsThatNoRouteNames)
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

// Servers that hang while callers keep coming must not fill the memory of the instance.
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

// In a flood a second attempt makes all other queries later: without them the flood of all classes
// was served better on the users' bench.
TEST_F(gateway_requests, sendsNoSecondAttemptsWhileQueriesAreTurnedAway)
{
    warmUp();
    for (std::size_t s = 0; s < shardCount; ++s) {
        for (std::size_t r = 0; r < replicas; ++r)
            shardServer(s, r).work = milliseconds(60);
    }
    // Without these two parts no answer covers enough.
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

// A service that appears after a repartition had its constant share of extra attempts withheld for
// a whole window, as if this process had just started: lost parts were not asked for again.
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

// Instances that share measurements must act on them, and on-call engineers must see why.
TEST_F(gateway_requests, avoidsServersThatOthersFoundSlowAndSaysSo)
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

// Servers that join later must get their connections by the number of servers that there are then:
// the first ones of a service had none without need.
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
