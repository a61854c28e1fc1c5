#include "gateway_fixture.h"
#include "peridotwheel/gateway/server_limit.h"
#include "peridotwheel/support/random_source.h"
#include "report_exchange.h"

#include <algorithm>
#include <gtest/gtest.h>

using namespace peridotwheel;

namespace {

/// Several gateways in front of the same servers, under uneven load.
class gateway_fleet_test : public gateway_fixture
{
protected:
    struct instance
    {
        instance(gateway_fleet_test &fleet, const std::string &name, const char *dataCentreName)
            : dataCentre(dataCentreName)
            , gate(fleet.loop, fleet.backends, fleet.dialect, counters, fleet.log,
                   optionsOf(name, dataCentreName))
        {
        }

        static gateway_options optionsOf(const std::string &name, const char *dataCentre)
        {
            gateway_options o;
            o.self = instance_id(name);
            o.dataCentre = data_centre_id(dataCentre);
            o.extraAttempts.constant = 100;
            return o;
        }

        data_centre_id dataCentre;
        counter_set counters;
        gateway gate;
    };

    void startFleet(int count)
    {
        const char *const dataCentres[] = {"near", "far", "farther"};
        for (int i = 0; i < count; ++i) {
            const std::string name = "gateway-" + std::to_string(i);
            fleet.push_back(std::make_unique<instance>(*this, name, dataCentres[i % 3]));
            member m;
            m.id = instance_id(name);
            m.dataCentre = data_centre_id(dataCentres[i % 3]);
            members[m.id] = m;
        }
        for (const auto &each : fleet) {
            each->gate.setInstances(members);
            each->gate.setServers(servers);
            each->gate.setRoutes(std::make_shared<route_table>(configuration(1)));
        }
        loop.advance(seconds(2));
    }

    /// Sends \p queriesPerSecond in all for \p d, half of them to a third of the gateways.
    void run(duration d, double queriesPerSecond, const std::string &target = "/all/")
    {
        constexpr duration step = milliseconds(5);
        for (duration elapsed{}; elapsed < d; elapsed += step) {
            const double expected = queriesPerSecond * toMilliseconds(step) / 1000;
            if (random.fraction() < expected) {
                const std::size_t third = std::max<std::size_t>(fleet.size() / 3, 1);
                const std::size_t among = random.fraction() < 0.5 ? third : fleet.size();
                sendThrough(*fleet[random.below(among)], target);
            }
            reports.run(fleet, loop.now());
            loop.advance(step);
        }
    }

    void sendThrough(instance &from, const std::string &target)
    {
        auto client = std::make_shared<fake_client>();
        opaque_request request;
        request.method = "GET";
        request.target = target;
        request.headers = {{"Host", "host.example"}, {"Id", "q-" + std::to_string(sent++)}};
        clients.push_back(client);
        from.gate.handle(request, client);
    }

    /// Returns the most requests that reached a server within some 4 s from \p from on.
    static std::size_t mostInWindow(const fake_backends::server &server, time_point from)
    {
        constexpr duration window = seconds(4);
        const auto &at = server.arrivedAt;
        auto first = std::lower_bound(at.begin(), at.end(), from);
        std::size_t most = 0;
        for (auto last = first; last != at.end(); ++last) {
            while (*last - *first >= window)
                ++first;
            most = std::max(most, static_cast<std::size_t>(last - first) + 1);
        }
        return most;
    }

    /// Requests that a server with a limit takes within 4 s by the operators' rule.
    static std::size_t allowedInWindow(double limit)
    {
        return static_cast<std::size_t>(1.5 * 4 * limit) + 5;
    }

    /// Returns the share of answered queries among those sent from \p first on.
    double servedShare(std::size_t first) const
    {
        std::size_t served = 0;
        for (std::size_t i = first; i < clients.size(); ++i)
            served += !clients[i]->replies.empty() && clients[i]->replies[0].status == 200 ? 1 : 0;
        return static_cast<double>(served) / static_cast<double>(clients.size() - first);
    }

    /// Returns the share of queries answered with all parts among those sent from \p first on.
    double completeShare(std::size_t first) const
    {
        std::size_t complete = 0;
        for (std::size_t i = first; i < clients.size(); ++i) {
            const std::string *missing = clients[i]->replies.at(0).header("Missing");
            complete += missing != nullptr && *missing == "0" ? 1 : 0;
        }
        return static_cast<double>(complete) / static_cast<double>(clients.size() - first);
    }

    member_map members;
    std::vector<std::unique_ptr<instance>> fleet;
    report_exchange reports{milliseconds(500)};
    std::vector<std::shared_ptr<fake_client>> clients;
    random_source random{5};
    int sent = 0;
};

/// Time after which the operators count the requests to a server that named a limit.
constexpr duration settledAfter = seconds(5);

} // namespace

// A server that named a limit got one and a half times as many requests as the tolerance allows.
TEST_F(gateway_fleet_test, staysWithinTheLimitThatAServerNames)
{
    startFleet(9);
    run(seconds(5), 120);
    for (const std::size_t replica : {0U, 1U})
        shardServer(0, replica).notices = {{"Limit", "20"}};
    const time_point named = loop.now();
    const std::size_t first = clients.size();
    run(seconds(20), 120);
    for (const std::size_t replica : {0U, 1U}) {
        EXPECT_LE(mostInWindow(shardServer(0, replica), named + settledAfter), allowedInWindow(20));
    }
    EXPECT_GE(servedShare(first), 0.99);
}

// With more instances than requests a second, each instance alone would stay within its share.
TEST_F(gateway_fleet_test, staysWithinALimitBelowTheNumberOfInstances)
{
    startFleet(71);
    run(seconds(5), 120);
    for (std::size_t replica = 0; replica < replicas; ++replica)
        shardServer(0, replica).notices = {{"Limit", "8"}};
    const time_point named = loop.now();
    run(seconds(20), 120);
    for (std::size_t replica = 0; replica < replicas; ++replica) {
        EXPECT_LE(mostInWindow(shardServer(0, replica), named + settledAfter), allowedInWindow(8));
    }
}

// While all servers of a shard are limited, its part must not delay each query to its target.
TEST_F(gateway_fleet_test, answersWithoutAPartThatMayNotBeSentInTime)
{
    startFleet(9);
    run(seconds(5), 120);
    for (std::size_t replica = 0; replica < replicas; ++replica)
        shardServer(0, replica).notices = {{"Limit", "5"}};
    run(seconds(5), 120);
    const std::size_t first = clients.size();
    run(seconds(5), 120);
    loop.advance(milliseconds(60));
    EXPECT_GE(servedShare(first), 0.99);
}

// A cold server that all instances used at once got many times what it bears.
TEST_F(gateway_fleet_test, keepsAllInstancesWithinTheLimitOfColdServers)
{
    constexpr double coldLimit = 10;
    startFleet(9);
    run(seconds(5), 120);
    route_configuration limited = configuration(2);
    limited.services[service_name("s0")].coldLimit = request_rate(coldLimit);
    for (const auto &each : fleet)
        each->gate.setRoutes(std::make_shared<route_table>(limited));
    // All servers of the shard are replaced by cold ones at once.
    for (std::size_t replica = 0; replica < replicas; ++replica) {
        backend_record &record =
                servers.at(server_id("server-" + std::to_string(port(0, replica))));
        record.start = start_id(2);
        record.coldRemaining = seconds(6);
    }
    const time_point cold = loop.now();
    for (const auto &each : fleet)
        each->gate.setServers(servers);
    run(seconds(5), 120);
    for (std::size_t replica = 0; replica < replicas; ++replica) {
        const auto &at = shardServer(0, replica).arrivedAt;
        for (auto first = std::lower_bound(at.begin(), at.end(), cold); first != at.end();
             ++first) {
            const auto end = std::lower_bound(first, at.end(), *first + seconds(1));
            ASSERT_LE(end - first, static_cast<std::ptrdiff_t>(1.5 * coldLimit + 5)) << replica;
        }
    }
    run(seconds(3), 120);
    const std::size_t warm = clients.size();
    run(seconds(5), 120);
    loop.advance(seconds(1));
    EXPECT_GE(completeShare(warm), 0.95);
}

// Instances that send in step, some requests of which are delayed on their way, exceeded the limit
// of a cold server by more than the tolerance.
TEST_F(gateway_fleet_test, keepsWithinTheLimitOfAColdServerInBursts)
{
    constexpr double coldLimit = 40;
    startFleet(40);
    route_configuration limited = configuration(2);
    limited.services[service_name("plain")].maxConnections = 200;
    limited.services[service_name("plain")].coldLimit = request_rate(coldLimit);
    for (const auto &each : fleet) {
        each->gate.setRoutes(std::make_shared<route_table>(limited));
        each->gate.setEvacuated({data_centre_id("far"), data_centre_id("farther")});
    }
    run(seconds(5), 120, "/one/");
    servers.at(server_id("server-" + std::to_string(plainPort(0)))).coldRemaining = seconds(20);
    for (const auto &each : fleet)
        each->gate.setServers(servers);
    loop.advance(seconds(4));
    const time_point cold = loop.now();
    for (const duration distance : {milliseconds(60), milliseconds(2)}) {
        plainServer(0).distance = distance;
        for (const auto &each : fleet)
            sendThrough(*each, "/one/");
        loop.advance(milliseconds(1005));
    }
    const auto &at = plainServer(0).arrivedAt;
    const auto first = std::lower_bound(at.begin(), at.end(), cold);
    ASSERT_NE(first, at.end());
    EXPECT_LE(std::lower_bound(first, at.end(), *first + seconds(1)) - first,
              static_cast<std::ptrdiff_t>(1.5 * coldLimit + 5));
}

// Instances without a share of a limit get no answers that tell them of its end.
TEST_F(gateway_fleet_test, usesAServerAgainAfterItsLimitHasEnded)
{
    startFleet(24);
    run(seconds(5), 120);
    const std::size_t beforeLimit = clients.size();
    run(seconds(5), 120);
    loop.advance(seconds(1));
    const double before = completeShare(beforeLimit);
    for (std::size_t replica = 0; replica < replicas; ++replica)
        shardServer(0, replica).notices = {{"Limit", "5"}};
    run(seconds(20), 120);
    for (std::size_t replica = 0; replica < replicas; ++replica)
        shardServer(0, replica).notices.clear();
    run(seconds(15), 120);
    const std::size_t first = clients.size();
    run(seconds(5), 120);
    loop.advance(seconds(1));
    EXPECT_GE(completeShare(first), before - 0.01) << "before: " << before;
}

namespace {

/// One gateway whose nearest servers state something about themselves.
class server_notice_test : public gateway_fixture
{
protected:
    /// Sends \p count requests 20 ms apart; returns how many of them were answered.
    int answered(const std::string &target, int count)
    {
        std::vector<std::shared_ptr<fake_client>> clients;
        for (int i = 0; i < count; ++i) {
            clients.push_back(send(target, "q-" + std::to_string(sent++)));
            loop.advance(milliseconds(20));
        }
        loop.advance(seconds(1));
        return static_cast<int>(std::count_if(clients.begin(), clients.end(), [](const auto &c) {
            return !c->replies.empty() && c->replies[0].status == 200;
        }));
    }

    int sent = 0;
};

} // namespace

// A leaving server got requests until its entry in the store changed, which can be too late.
TEST_F(server_notice_test, sendsNothingMoreToAServerThatSaysThatItLeaves)
{
    warmUp();
    plainServer(0).notices = {{"Leaving", "1"}};
    EXPECT_EQ(answered("/one/", 1), 1);
    plainServer(0).notices.clear();
    const std::size_t before = plainServer(0).arrived.size();
    EXPECT_EQ(answered("/one/", 50), 50);
    loop.advance(seconds(120));
    EXPECT_EQ(answered("/one/", 50), 50);
    EXPECT_EQ(plainServer(0).arrived.size(), before);
}

// Requests that waited for a connection to the leaving server were still sent.
TEST_F(server_notice_test, sendsWaitingRequestsOfALeavingServerElsewhere)
{
    warmUp();
    plainServer(0).work = milliseconds(40);
    for (std::size_t replica = 1; replica < replicas; ++replica)
        plainServer(replica).distance = milliseconds(400);
    plainServer(0).notices = {{"Leaving", "1"}};
    for (int i = 0; i < 40; ++i)
        send("/one/", "burst-" + std::to_string(i));
    loop.advance(milliseconds(60));
    const std::size_t before = plainServer(0).arrived.size();
    loop.advance(seconds(2));
    EXPECT_EQ(plainServer(0).arrived.size(), before);
}

TEST_F(server_notice_test, usesAServerThatLeftAgainAfterItsRestart)
{
    warmUp();
    plainServer(0).notices = {{"Leaving", "1"}};
    EXPECT_EQ(answered("/one/", 1), 1);
    plainServer(0).notices.clear();
    servers.at(server_id("server-" + std::to_string(plainPort(0)))).start = start_id(7);
    gate.setServers(servers);
    loop.advance(seconds(1));
    const std::size_t before = plainServer(0).arrived.size();
    EXPECT_EQ(answered("/one/", 50), 50);
    EXPECT_GT(plainServer(0).arrived.size(), before);
}

// A server that became cold again got requests at the usual rate.
TEST_F(server_notice_test, limitsAServerThatBecomesColdAgain)
{
    warmUp();
    route_configuration limited = configuration(2);
    limited.services[service_name("plain")].coldLimit = request_rate(5);
    gate.setRoutes(std::make_shared<route_table>(limited));
    plainServer(0).notices = {{"Cold-Ms", "2000"}};
    EXPECT_EQ(answered("/one/", 1), 1);
    plainServer(0).notices.clear();
    const std::size_t before = plainServer(0).arrived.size();
    EXPECT_EQ(answered("/one/", 50), 50);
    EXPECT_LE(plainServer(0).arrived.size() - before, 1.5 * 5 * 2 + 5);
    loop.advance(seconds(2));
    const std::size_t warm = plainServer(0).arrived.size();
    EXPECT_EQ(answered("/one/", 50), 50);
    EXPECT_GE(plainServer(0).arrived.size() - warm, 25U);
}

// A server that turned cold by its entry alone was not limited. An entry that repeated an old time
// ended the limit of a server that had become cold since, or limited a warm one anew.
TEST_F(server_notice_test, followsTheColdTimeOfAnEntryOnce)
{
    warmUp();
    route_configuration limited = configuration(2);
    limited.services[service_name("plain")].coldLimit = request_rate(5);
    gate.setRoutes(std::make_shared<route_table>(limited));
    backend_record &record = servers.at(server_id("server-" + std::to_string(plainPort(0))));
    const auto arrivedDuring = [this](int requests) {
        const std::size_t before = plainServer(0).arrived.size();
        EXPECT_EQ(answered("/one/", requests), requests);
        return plainServer(0).arrived.size() - before;
    };
    const auto write = [&](duration coldRemaining, std::uint32_t slots) {
        record.coldRemaining = coldRemaining;
        record.slots = slots;
        gate.setServers(servers);
    };
    constexpr std::size_t most = 15;
    write(seconds(4), 2);
    EXPECT_LE(arrivedDuring(50), most);
    // The entry is out of date, since the server is still cold.
    write(duration::zero(), 3);
    EXPECT_LE(arrivedDuring(50), most);
    loop.advance(seconds(4));
    write(seconds(4), 3);
    loop.advance(seconds(5));
    write(seconds(4), 2);
    EXPECT_GE(arrivedDuring(50), 25U) << "the server has been warm since";
    plainServer(0).notices = {{"Cold-Ms", "4000"}};
    arrivedDuring(1);
    plainServer(0).notices.clear();
    write(seconds(4), 3);
    EXPECT_LE(arrivedDuring(50), most);
}

// Attempts waited until their deadline for a server that had become cold and takes few requests.
TEST_F(server_notice_test, movesWaitingAttemptsThatAColdServerTakesTooLate)
{
    member_map members;
    for (int i = 0; i < 40; ++i) {
        member m;
        m.id = instance_id(i == 0 ? "self" : "other-" + std::to_string(i));
        m.dataCentre = data_centre_id("far");
        members[m.id] = m;
    }
    warmUp();
    gate.setInstances(members);
    // Each instance has some of the servers' connections, and one of them a server's whole limit.
    route_configuration limited = configuration(2);
    limited.services[service_name("plain")].maxConnections = 100;
    limited.services[service_name("plain")].coldLimit = request_rate(1);
    gate.setRoutes(std::make_shared<route_table>(limited));
    loop.advance(seconds(3));
    plainServer(0).work = milliseconds(200);
    std::vector<std::shared_ptr<fake_client>> clients;
    constexpr int requests = 30;
    clients.reserve(requests);
    for (int i = 0; i < requests; ++i)
        clients.push_back(send("/once/", "r" + std::to_string(i)));
    servers.at(server_id("server-" + std::to_string(plainPort(0)))).coldRemaining = seconds(30);
    gate.setServers(servers);
    loop.advance(milliseconds(700));
    for (const auto &client : clients)
        EXPECT_EQ(statusOf(client), 200);
}

// A server that asked for a pause got the next requests at once, as any server that rejects one.
TEST_F(server_notice_test, leavesAServerAloneForTheTimeThatItAsksFor)
{
    warmUp();
    plainServer(0).behaviour = server_behaviour::Reject;
    plainServer(0).notices = {{"Hold-Off-Ms", "10000"}};
    EXPECT_EQ(answered("/one/", 1), 1);
    plainServer(0).behaviour = server_behaviour::Answer;
    plainServer(0).notices.clear();
    const std::size_t before = plainServer(0).arrived.size();
    EXPECT_EQ(answered("/one/", 300), 300);
    EXPECT_EQ(plainServer(0).arrived.size(), before);
    loop.advance(seconds(5));
    EXPECT_EQ(answered("/one/", 20), 20);
    EXPECT_GT(plainServer(0).arrived.size(), before);
}

// Callers must not wait for servers that are known to take nothing.
TEST_F(server_notice_test, refusesAtOnceWhileAllServersAskForAPause)
{
    warmUp();
    for (std::size_t replica = 0; replica < replicas; ++replica) {
        plainServer(replica).behaviour = server_behaviour::Reject;
        plainServer(replica).notices = {{"Hold-Off-Ms", replica == 1 ? "6000" : "10000"}};
    }
    EXPECT_EQ(answered("/one/", 3), 0);
    const std::size_t before = backends.arrivals();
    const auto client = send("/one/", "late");
    loop.advance(milliseconds(1));
    ASSERT_EQ(client->replies.size(), 1U);
    EXPECT_EQ(client->replies[0].status, 503);
    const int retryAfterMs = std::stoi(*client->replies[0].header("Retry-After-Ms"));
    EXPECT_GE(retryAfterMs, 4000);
    EXPECT_LE(retryAfterMs, 9000);
    EXPECT_EQ(backends.arrivals(), before);
}

namespace {

const time_point start(seconds(1000));
constexpr duration lifetime = seconds(4);

/// Counts what \p limit lets through when asked each millisecond for \p d.
int taken(server_limit &limit, time_point from, duration d)
{
    int count = 0;
    for (time_point now = from; now < from + d; now += milliseconds(1)) {
        limit.onAnswer(request_rate(10), now);
        count += limit.take(now) ? 1 : 0;
    }
    return count;
}

} // namespace

TEST(server_limit, letsThroughItsOwnShare)
{
    server_limit limit(lifetime);
    limit.onAnswer(request_rate(10), start);
    limit.setOwnShare(0.5, start);
    EXPECT_EQ(taken(limit, start, seconds(10)), 49);
}

// Shares that were saved up while there was no load came together when a flood began.
TEST(server_limit, savesUpNoMoreThanOneRequest)
{
    server_limit limit(lifetime);
    limit.onAnswer(request_rate(10), start);
    limit.setOwnShare(1, start);
    const time_point later = start + seconds(3);
    EXPECT_TRUE(limit.take(later));
    EXPECT_FALSE(limit.take(later));
}

TEST(server_limit, endsWithAnAnswerThatNamesNone)
{
    server_limit limit(lifetime);
    EXPECT_TRUE(limit.onAnswer(request_rate(10), start));
    EXPECT_FALSE(limit.onAnswer(request_rate(10), start));
    EXPECT_FALSE(limit.take(start));
    EXPECT_TRUE(limit.onAnswer(std::nullopt, start));
    EXPECT_TRUE(limit.take(start));
}

// A hint that was under way while the server lifted its limit brought the limit back.
TEST(server_limit, ignoresHintsOlderThanItsOwnAnswer)
{
    server_limit limit(lifetime);
    limit.onAnswer(request_rate(10), start);
    limit.onAnswer(std::nullopt, start + seconds(1));
    EXPECT_FALSE(limit.onHint(request_rate(10), start + milliseconds(1400)));
    EXPECT_TRUE(limit.take(start + milliseconds(1400)));
    EXPECT_TRUE(limit.onHint(request_rate(10), start + seconds(4)));
}

TEST(server_limit, isUnusableWithoutAShareUntilItLapses)
{
    server_limit limit(lifetime);
    limit.onHint(request_rate(3), start);
    limit.setOwnShare(0, start);
    EXPECT_EQ(limit.delay(0, start + seconds(1)), server_limit::unavailable);
    EXPECT_FALSE(limit.take(start + seconds(3)));
    EXPECT_EQ(limit.delay(0, start + lifetime), duration::zero());
    EXPECT_TRUE(limit.take(start + lifetime));
    EXPECT_FALSE(limit.namedHere(start));
}

// A timer that fired a little early found no permission, and the attempt waited for ever.
TEST(server_limit, allowsARequestAfterItsDelay)
{
    server_limit limit(lifetime);
    limit.onAnswer(request_rate(7), start);
    limit.setOwnShare(1.0 / 3, start);
    time_point now = start;
    for (int i = 0; i < 1000; ++i) {
        now += limit.delay(0, now);
        limit.onAnswer(request_rate(7), now);
        EXPECT_TRUE(limit.take(now));
    }
}
