#include "gateway_fixture.h"
#include "peridotwheel/gateway/placement.h"
#include "peridotwheel/gateway/server_health.h"
#include "peridotwheel/gateway/server_pace.h"
#include "peridotwheel/support/random_source.h"
#include "report_exchange.h"

#include <algorithm>
#include <array>
#include <gtest/gtest.h>

using namespace peridotwheel;

namespace {

const time_point start(seconds(1000));

/// How a server behaves after it has joined, and who uses it.
struct pace_scenario
{
    const char *name;
    std::size_t instances;
    /// Factor of the work while the server warms up.
    double factor;
    duration warmAfter;
    /// When the server falls back, for 3 s; never if zero.
    duration relapsesAt{};
    /// Whether its entry states that it is cold.
    bool saysSo = false;
    /// Round trip to the other servers; the one that joins has 2 ms.
    duration othersDistance = milliseconds(2);
    double queriesPerSecond = 600;
};

/// What callers and the server got after the join.
struct pace_outcome
{
    std::size_t offered = 0;
    std::size_t late = 0;
    std::size_t lost = 0;
    std::size_t longestQueue = 0;
    duration mean{};
    /// Time until the server gets 0.6 of an equal share in a second, as of the end of that second.
    duration untilUsed = duration::max();
};

/// Gateways in three data centres in front of three servers of one service, of which one joins
/// late.
class paced_fleet
{
public:
    paced_fleet(const pace_scenario &scenario, bool isPaced, std::uint64_t seed)
        : m_scenario(scenario)
        , m_random(seed)
    {
        for (std::size_t i = 0; i < scenario.instances; ++i) {
            gateway_options o;
            o.self = instance_id("gateway-" + std::to_string(i));
            o.dataCentre = dataCentre(i);
            o.extraAttempts.constant = 100;
            o.pacesServers = isPaced;
            m_fleet.push_back(std::make_unique<instance>(*this, o));
            m_members[o.self].id = o.self;
            m_members[o.self].dataCentre = o.dataCentre;
        }
        addServer(0);
        addServer(1);
        for (const auto &each : m_fleet) {
            each->gate.setInstances(m_members);
            each->gate.setServers(m_records);
            each->gate.setRoutes(std::make_shared<route_table>(configuration()));
        }
        run(seconds(8));
    }

    pace_outcome play()
    {
        const time_point joined = m_loop.now();
        m_sent.clear();
        addServer(2);
        if (m_scenario.saysSo)
            m_records.rbegin()->second.coldRemaining = m_scenario.warmAfter;
        fake_backends::server &server = m_backends.at(2);
        server.slowness = [this, joined](time_point at) {
            const duration age = at - joined;
            const bool isBack = m_scenario.relapsesAt > duration::zero() &&
                                age >= m_scenario.relapsesAt &&
                                age < m_scenario.relapsesAt + seconds(3);
            return age < m_scenario.warmAfter || isBack ? m_scenario.factor : 1;
        };
        for (const auto &each : m_fleet)
            each->gate.setServers(m_records);
        run(seconds(16));
        m_loop.advance(seconds(1));
        pace_outcome out = summary();
        out.longestQueue = server.longestQueue;
        const auto &at = server.arrivedAt;
        const auto wanted = static_cast<std::ptrdiff_t>(0.6 * m_scenario.queriesPerSecond / 3);
        for (time_point t = joined; t < joined + seconds(15); t += milliseconds(50)) {
            const auto first = std::lower_bound(at.begin(), at.end(), t);
            if (t < joined + m_scenario.warmAfter ||
                std::lower_bound(first, at.end(), t + seconds(1)) - first < wanted)
                continue;
            out.untilUsed = t + seconds(1) - joined;
            break;
        }
        return out;
    }

private:
    struct instance
    {
        instance(paced_fleet &fleet, const gateway_options &o)
            : dataCentre(o.dataCentre)
            , gate(fleet.m_loop, fleet.m_backends, fleet.m_dialect, counters, fleet.m_log, o)
        {
        }

        data_centre_id dataCentre;
        counter_set counters;
        gateway gate;
    };

    struct sent_query
    {
        fake_client client;
        time_point sentAt;
        time_point repliedAt;
    };

    static data_centre_id dataCentre(std::size_t index)
    {
        return data_centre_id(std::to_string(index % 3));
    }

    static route_configuration configuration()
    {
        route_configuration c;
        c.version = configuration_version(1);
        auto r = std::make_shared<route>();
        r->name = route_name("one");
        r->host = "host.example";
        r->prefix = "/";
        r->kind = request_kind::Idempotent;
        r->timeout = milliseconds(1000);
        r->target = milliseconds(150);
        r->maxAttempts = 2;
        r->services = {{service_name("s"), 1}};
        c.routes = {r};
        c.services[service_name("s")].maxConnections = 1000;
        return c;
    }

    /// A server that takes 400 requests a second once it is warm.
    void addServer(std::uint16_t port)
    {
        backend_record record;
        record.id = server_id("server-" + std::to_string(port));
        record.service = service_name("s");
        record.address = {"10.0.0.1", port};
        record.dataCentre = dataCentre(port);
        record.slots = 4;
        m_records[record.id] = record;
        fake_backends::server &server = m_backends.at(port);
        server.slots = 4;
        server.work = milliseconds(10);
        server.distance = port < 2 ? m_scenario.othersDistance : milliseconds(2);
        server.maxQueue = 200;
    }

    void run(duration length)
    {
        constexpr duration step = milliseconds(1);
        for (duration elapsed{}; elapsed < length; elapsed += step) {
            if (m_random.fraction() < m_scenario.queriesPerSecond / 1000)
                send();
            m_reports.run(m_fleet, m_loop.now());
            m_loop.advance(step);
        }
    }

    void send()
    {
        auto q = std::make_shared<sent_query>();
        q->sentAt = m_loop.now();
        q->client.onReply = [this, at = q.get()] { at->repliedAt = m_loop.now(); };
        m_sent.push_back(q);
        opaque_request request;
        request.method = "GET";
        request.target = "/";
        request.headers = {{"Host", "host.example"}, {"Id", "q-" + std::to_string(m_nextId++)}};
        m_fleet[m_random.below(m_fleet.size())]->gate.handle(
                request, std::shared_ptr<fake_client>(q, &q->client));
    }

    pace_outcome summary() const
    {
        pace_outcome out;
        out.offered = m_sent.size();
        duration sum{};
        for (const auto &q : m_sent) {
            if (q->client.replies.empty() || q->client.replies[0].status != 200) {
                ++out.lost;
                continue;
            }
            const duration took = q->repliedAt - q->sentAt;
            sum += took;
            out.late += took > milliseconds(150) ? 1 : 0;
        }
        out.mean = sum / static_cast<int>(std::max<std::size_t>(out.offered, 1));
        return out;
    }

    pace_scenario m_scenario;
    manual_loop m_loop;
    fake_backends m_backends{m_loop};
    fake_dialect m_dialect;
    decision_log m_log{m_loop, "test", [](std::string_view text) { return text.size(); }};
    member_map m_members;
    backend_map m_records;
    std::vector<std::unique_ptr<instance>> m_fleet;
    report_exchange m_reports{milliseconds(400)};
    random_source m_random;
    std::vector<std::shared_ptr<sent_query>> m_sent;
    int m_nextId = 0;
};

class server_pace_fleet : public testing::TestWithParam<pace_scenario>
{
};

} // namespace

// Guards against servers that all instances flood before they are warm, or leave idle afterwards,
// and against a pace that makes callers worse off.
TEST_P(server_pace_fleet, servesNoWorseThanWithoutPace)
{
    constexpr std::uint64_t seeds = 3; // single runs vary
    std::array<pace_outcome, 2> sums;
    for (const bool isPaced : {false, true}) {
        pace_outcome &sum = sums[isPaced ? 1 : 0];
        sum.untilUsed = duration::zero();
        for (std::uint64_t seed = 11; seed < 11 + seeds; ++seed) {
            const pace_outcome one = paced_fleet(GetParam(), isPaced, seed).play();
            sum.offered += one.offered;
            sum.late += one.late;
            sum.lost += one.lost;
            sum.mean += one.mean / static_cast<int>(seeds);
            sum.longestQueue = std::max(sum.longestQueue, one.longestQueue);
            sum.untilUsed = std::max(sum.untilUsed, one.untilUsed);
        }
        const std::string prefix = isPaced ? "paced_" : "plain_";
        const auto record = [&](const char *name, auto value) {
            RecordProperty(prefix + name, std::to_string(value));
        };
        record("offered", sum.offered);
        record("late", sum.late);
        record("lost", sum.lost);
        record("longest_queue", sum.longestQueue);
        record("mean_us", sum.mean.count());
        record("used_after_ms", std::min<duration>(sum.untilUsed, seconds(99)) / milliseconds(1));
    }
    const auto &[plain, paced] = sums;
    // A thousandth of the callers is within the variation between seeds.
    EXPECT_LE(paced.late + paced.lost, plain.late + plain.lost + plain.offered / 1000);
    EXPECT_LE(paced.longestQueue, std::max<std::size_t>(plain.longestQueue, 40));
    if (GetParam().factor == 1) {
        EXPECT_LE(paced.untilUsed, milliseconds(3000));
    }
}

INSTANTIATE_TEST_SUITE_P(
        joins, server_pace_fleet,
        testing::Values(
                pace_scenario{"inTime7", 7, 1, {}}, pace_scenario{"inTime300", 300, 1, {}},
                pace_scenario{"mild3s7", 7, 1.6, seconds(3), {}, true},
                pace_scenario{"mild3s300", 300, 1.6, seconds(3), {}, true},
                pace_scenario{"warm1s7", 7, 5, seconds(1)},
                pace_scenario{"warm1s300", 300, 5, seconds(1)},
                pace_scenario{"warm3s7", 7, 5, seconds(3)},
                pace_scenario{"warm3s300", 300, 5, seconds(3)},
                pace_scenario{"warm10s7", 7, 5, seconds(10)},
                pace_scenario{"warm10s300", 300, 5, seconds(10)},
                pace_scenario{"near7", 7, 1, {}, {}, false, milliseconds(24), 250},
                pace_scenario{"near300", 300, 1, {}, {}, false, milliseconds(24), 250},
                pace_scenario{"nearWarm3s7", 7, 5, seconds(3), {}, false, milliseconds(24), 250},
                pace_scenario{
                        "nearWarm3s300", 300, 5, seconds(3), {}, false, milliseconds(24), 250},
                pace_scenario{"relapse7", 7, 5, seconds(1), seconds(4)},
                pace_scenario{"relapse300", 300, 5, seconds(1), seconds(4)},
                pace_scenario{"cold3s7", 7, 5, seconds(3), {}, true},
                pace_scenario{"cold3s300", 300, 5, seconds(3), {}, true}),
        [](const auto &info) { return info.param.name; });

// Guards against a server that is left idle because an instance gets no replies from it.
TEST(server_pace, reachesTheFullShareWithoutReplies)
{
    server_pace pace;
    EXPECT_EQ(pace.share(start), 1);
    pace.begin(server_pace::leastShare, {}, start);
    EXPECT_EQ(pace.share(start), server_pace::leastShare);
    EXPECT_LT(pace.share(start + seconds(1)), 0.3);
    EXPECT_EQ(pace.share(start + seconds(3)), 1);
    EXPECT_FALSE(pace.endIfSteady(start + seconds(3)));
    EXPECT_TRUE(pace.endIfSteady(start + seconds(4)));
    EXPECT_FALSE(pace.isActive());
}

// Guards against a server that is held back although its replies keep their time.
TEST(server_pace, reachesTheFullShareSoonerWithRepliesInTime)
{
    server_pace pace;
    pace.begin(server_pace::leastShare, {}, start);
    pace.onReplyInTime(start + milliseconds(100));
    EXPECT_EQ(pace.share(start + seconds(2)), 1);
}

// Guards against a share that rises while the server queues, or falls for each reply of one queue.
TEST(server_pace, fallsOnceForAQueueAndRisesAfterAReplyInTime)
{
    server_pace pace;
    pace.begin(0.8, {}, start);
    for (int i = 0; i < 10; ++i)
        pace.onTrouble(start + milliseconds(i));
    EXPECT_DOUBLE_EQ(pace.share(start + milliseconds(900)), 0.4);
    pace.onReplyInTime(start + milliseconds(900));
    EXPECT_GT(pace.share(start + milliseconds(1000)), 0.4);
    for (int i = 0; i < 10; ++i)
        pace.onTrouble(start + seconds(2 + i));
    EXPECT_EQ(pace.share(start + seconds(11)), server_pace::leastShare);
}

// Guards against instances that raise the share by time although others measure a queue.
TEST(server_pace, doesNotRiseAgainstHints)
{
    server_pace pace;
    pace.begin(server_pace::leastShare, {}, start);
    time_point now = start;
    for (; now < start + seconds(5); now += milliseconds(400)) {
        pace.onHint({5, 0, {}}, now);
        pace.onReplyInTime(now);
        EXPECT_EQ(pace.share(now + milliseconds(399)), server_pace::leastShare);
    }
    pace.onHint({}, now);
    EXPECT_EQ(pace.share(now + seconds(3)), 1);
}

// Guards against failures from before a server answered again that keep it idle.
TEST(server_pace, ignoresFailuresFromBeforeItsBegin)
{
    const server_hint failing{1, 0.9, {}};
    server_pace pace;
    pace.begin(server_pace::leastShare, failing, start);
    pace.onHint(failing, start + seconds(1));
    EXPECT_EQ(pace.share(start + seconds(3)), 1);
    pace.onHint({}, start + seconds(3));
    pace.onHint(failing, start + seconds(3));
    EXPECT_EQ(pace.share(start + seconds(3)), 0.5);
}

namespace {

/// A gateway whose nearest server of the service "plain" is new.
class server_pace_gateway : public gateway_fixture
{
protected:
    std::uint64_t begun() { return counters.at("gateway.server_paces.begun").value(); }

    void restartNearServer()
    {
        servers.at(server_id("server-" + std::to_string(plainPort(0)))).start = start_id(7);
        gate.setServers(servers);
    }
};

} // namespace

// Guards against an instance that paces all servers when it starts itself.
TEST_F(server_pace_gateway, knowsTheServersOfItsStart)
{
    start();
    addServer("plain", 2009, "near");
    gate.setServers(servers);
    EXPECT_EQ(begun(), 0U);
}

// Guards against a kind of return after which a server gets all of its requests at once.
TEST_F(server_pace_gateway, begins)
{
    warmUp();
    EXPECT_EQ(begun(), 0U);
    restartNearServer();
    EXPECT_EQ(begun(), 1U);
    loop.advance(seconds(5));
    EXPECT_EQ(counters.at("gateway.server_paces.ended").value(), 1U);
    gate.setEvacuated({data_centre_id("near")});
    EXPECT_EQ(begun(), 1U);
    gate.setEvacuated({});
    EXPECT_EQ(begun(), 1 + shardCount + 1);
    loop.advance(seconds(5));
    plainServer(0).notices = {{"Cold-Ms", "2000"}};
    send("/one/", "cold");
    loop.advance(milliseconds(100));
    EXPECT_EQ(begun(), 2 + shardCount + 1);
    loop.advance(seconds(5));
    plainServer(0).notices.clear();
    plainServer(0).behaviour = server_behaviour::Silent;
    send("/one/", "silent");
    loop.advance(seconds(2));
    plainServer(0).behaviour = server_behaviour::Answer;
    loop.advance(seconds(2));
    EXPECT_EQ(begun(), 3 + shardCount + 1);
    EXPECT_NE(logText.find("server_pace_begun"), std::string::npos);
    EXPECT_NE(logText.find("server_pace_ended"), std::string::npos);
}

// Guards against a pace that costs an answer because the other servers cannot give it.
TEST_F(server_pace_gateway, usesAPacedServerIfNoOtherAnswers)
{
    warmUp();
    for (const std::size_t replica : {1U, 2U})
        plainServer(replica).behaviour = server_behaviour::Reject;
    restartNearServer();
    std::vector<std::shared_ptr<fake_client>> clients;
    for (int i = 0; i < 40; ++i) {
        clients.push_back(send("/one/", "r" + std::to_string(i)));
        loop.advance(milliseconds(20));
    }
    gate.setEvacuated({data_centre_id("far"), data_centre_id("farther")});
    restartNearServer();
    for (int i = 0; i < 40; ++i) {
        clients.push_back(send("/one/", "s" + std::to_string(i)));
        loop.advance(milliseconds(20));
    }
    loop.advance(seconds(1));
    for (const auto &client : clients)
        EXPECT_EQ(statusOf(client), 200);
}

namespace {

/// Two equal servers, of which the second is at its pace.
class paced_placement : public testing::Test
{
protected:
    paced_placement()
    {
        for (auto &c : candidates)
            c.health = &health[static_cast<std::size_t>(&c - candidates.data())];
    }
    placement_choice choose() { return chooseServers(candidates, milliseconds(10), start); }

    std::vector<server_health> health{{milliseconds(2), start}, {milliseconds(2), start}};
    std::vector<placement_candidate> candidates = std::vector<placement_candidate>(2);
};

} // namespace

// Guards against attempts that wait in the queues of other servers, and against second attempts
// that are not sent, because a server is at its pace.
TEST_F(paced_placement, takesADeferredServerIfOthersAreMuchSlower)
{
    candidates[1].isDeferred = true;
    EXPECT_EQ(choose().best->index, 0U);
    EXPECT_EQ(choose().alternative->index, 1U);
    candidates[0].sendDelay = milliseconds(100);
    EXPECT_EQ(choose().best->index, 1U);
    EXPECT_EQ(choose().alternative->index, 0U);
    candidates[0].isUsable = false;
    EXPECT_EQ(choose().best->index, 1U);
}

// Guards against a pace that sends attempts to a server which probably gives no answer.
TEST_F(paced_placement, leavesAnInvitedServerThatDoesNotAnswer)
{
    candidates[1].isInvited = true;
    EXPECT_EQ(choose().best->index, 1U);
    health[1].onUnreachable(start);
    EXPECT_EQ(choose().best->index, 0U);
}

// Guards against a new server that gets the attempts of all nearest ones, or of nearer ones.
TEST_F(paced_placement, sharesEquallyAmongTheNearestServers)
{
    EXPECT_EQ(usualShare(candidates, 1, milliseconds(10)), 0.5);
    health[0].onUnreachable(start);
    EXPECT_EQ(usualShare(candidates, 1, milliseconds(10)), 1);
    health[0] = server_health(milliseconds(24), start);
    EXPECT_EQ(usualShare(candidates, 0, milliseconds(10)), 0);
    EXPECT_EQ(usualShare(candidates, 1, milliseconds(10)), 1);
}
