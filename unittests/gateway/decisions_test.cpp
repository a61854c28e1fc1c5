#include "peridotwheel/gateway/answer_policy.h"
#include "peridotwheel/gateway/extra_attempt_budget.h"
#include "peridotwheel/gateway/placement.h"
#include "peridotwheel/gateway/route.h"
#include "peridotwheel/gateway/server_health.h"
#include "peridotwheel/support/random_source.h"

#include <deque>
#include <gtest/gtest.h>

using namespace peridotwheel;

namespace {

const time_point start{seconds(1000)};

/// Servers at the round trips of three regions that have each answered ten requests in 10 ms.
class placement_test : public testing::Test
{
protected:
    placement_test()
    {
        for (const int ms : {1, 24, 26}) {
            health.emplace_back(milliseconds(ms), start);
            health.back().onConnected(milliseconds(ms));
        }
        for (auto &h : health) {
            for (int i = 0; i < 10; ++i)
                serve(h, work);
        }
    }

    void serve(server_health &h, duration took)
    {
        h.onSent(now);
        const time_point sentAt = now;
        now += h.roundTrip() + took;
        h.onReply(sentAt, work, now);
    }

    std::optional<placement> choose()
    {
        std::vector<placement_candidate> candidates;
        for (const auto &h : health) {
            placement_candidate c;
            c.health = &h;
            c.slots = 2;
            candidates.push_back(c);
        }
        return chooseServer(candidates, work, now);
    }

    static constexpr duration work = milliseconds(10);
    time_point now = start;
    std::deque<server_health> health;
};

route_ptr routeFor(const std::string &host, const std::string &prefix)
{
    auto r = std::make_shared<route>();
    r->name = route_name(host + prefix);
    r->host = host;
    r->prefix = prefix;
    return r;
}

request_times usualTimes()
{
    return {start, start + milliseconds(136), start + milliseconds(2400)};
}

} // namespace

TEST_F(placement_test, prefersTheNearServer)
{
    EXPECT_EQ(choose()->index, 0U);
}

// A server that is silent for longer than its work takes is probably in a pause, so that other
// servers reply sooner.
TEST_F(placement_test, avoidsAServerInItsPause)
{
    health[0].onSent(now);
    now += milliseconds(60);
    EXPECT_EQ(choose()->index, 1U);
    EXPECT_FALSE(choose()->likelyUnresponsive);
}

// Pauses are normal: one late reply must not keep requests away from the near server.
TEST_F(placement_test, returnsAfterThePause)
{
    serve(health[0], milliseconds(200));
    for (int i = 0; i < 3; ++i)
        serve(health[0], work);
    now += seconds(2);
    EXPECT_EQ(choose()->index, 0U);
}

TEST_F(placement_test, avoidsASlowServerAndTriesItAgainLater)
{
    for (int i = 0; i < 5; ++i)
        serve(health[0], 8 * work);
    EXPECT_EQ(choose()->index, 1U);
    now += seconds(30);
    EXPECT_EQ(choose()->index, 0U);
}

// A server that fails immediately looks idle and attracts requests unless its errors count.
TEST_F(placement_test, avoidsAServerThatFailsFast)
{
    for (int i = 0; i < 10; ++i) {
        health[0].onSent(now);
        health[0].onFailed(now, now + milliseconds(2));
        now += milliseconds(20);
    }
    EXPECT_EQ(choose()->index, 1U);
}

TEST_F(placement_test, marksASilentServerAsLikelyUnresponsive)
{
    for (auto &h : health)
        h.onSent(now);
    now += seconds(1);
    EXPECT_TRUE(choose()->likelyUnresponsive);
}

// A suspected server has no outstanding attempts left once they are given up; it must stay suspect
// all the same.
TEST_F(placement_test, keepsASilentServerSuspectAfterItsAttemptsWereGivenUp)
{
    health[0].onSent(now);
    const time_point sentAt = now;
    now += seconds(1);
    health[0].onAbandoned(sentAt, toleratedSilence(health[0].roundTrip(), work), now);
    EXPECT_TRUE(health[0].isSuspect());
    EXPECT_NE(choose()->index, 0U);
    health[0].onHealthy(now);
    EXPECT_EQ(choose()->index, 0U);
}

// One lost answer while the server answers other requests does not make the server unresponsive.
TEST_F(placement_test, doesNotSuspectAServerThatAnswersOthers)
{
    health[0].onSent(now);
    const time_point lost = now;
    now += milliseconds(500);
    serve(health[0], work);
    now += milliseconds(20);
    health[0].onAbandoned(lost, toleratedSilence(health[0].roundTrip(), work), now);
    EXPECT_FALSE(health[0].isSuspect());
}

// A connection that was slow to open gives too long a round trip.
TEST_F(placement_test, correctsTheRoundTripByAQuickerReply)
{
    server_health far(milliseconds(40), now);
    far.onConnected(milliseconds(90));
    far.onSent(now);
    far.onReply(now, work, now + milliseconds(35));
    EXPECT_EQ(far.roundTrip(), milliseconds(35));
}

// While this process is stopped it receives no replies, which must not count against the servers.
TEST_F(placement_test, ignoresSilenceWhileThisProcessWasStopped)
{
    health[0].onSent(now);
    now += seconds(5);
    health[0].onLocalStall(now);
    EXPECT_EQ(choose()->index, 0U);
}

TEST(second_attempt, waitsLongerThanUsualWorkAndLeavesTimeForTheAlternative)
{
    second_attempt_input input;
    input.sentAt = start;
    input.work = milliseconds(11);
    input.roundTrip = milliseconds(1);
    input.alternativeRoundTrip = milliseconds(24);
    const time_point at = secondAttemptTime(input, usualTimes());
    EXPECT_GT(at, start + milliseconds(25));
    EXPECT_LT(at + milliseconds(24 + 22), usualTimes().targetEnd);
}

// A far alternative needs more of the target, so the second attempt is sent earlier.
TEST(second_attempt, comesEarlierIfTheAlternativeIsFar)
{
    second_attempt_input input;
    input.sentAt = start;
    input.work = milliseconds(20);
    input.roundTrip = milliseconds(1);
    input.alternativeRoundTrip = milliseconds(70);
    EXPECT_LE(secondAttemptTime(input, usualTimes()), start + milliseconds(35));
}

// A second attempt that needs a connection to another region was sent after the usual wait, so that
// its answer missed a short target, and the part was left out.
TEST(second_attempt, comesAtOnceIfTheAlternativeNeedsMostOfTheTarget)
{
    request_times times = usualTimes();
    times.targetEnd = start + milliseconds(86);
    second_attempt_input input;
    input.sentAt = start;
    input.work = milliseconds(10);
    input.roundTrip = milliseconds(3);
    input.alternativeRoundTrip = milliseconds(52);
    const time_point at = secondAttemptTime(input, times);
    EXPECT_LE(at + milliseconds(52 + 10), times.targetEnd);
    // A slow alternative, such as a server that has just started, is not loaded early.
    input.isAlternativeSlow = true;
    EXPECT_GT(secondAttemptTime(input, times), start + milliseconds(30));
    input.isAlternativeSlow = false;
    // With an alternative that comes too late in any case, waiting saves an extra attempt.
    input.alternativeRoundTrip = milliseconds(80);
    EXPECT_GT(secondAttemptTime(input, times), start + milliseconds(30));
}

TEST(answer_decision, waitsForMissingPartsUntilTheTarget)
{
    const parts_state parts{10, 9, 1, 0, 0.89};
    EXPECT_EQ(decideAnswer(parts, usualTimes(), start + milliseconds(100)), answer_decision::Wait);
    EXPECT_EQ(decideAnswer(parts, usualTimes(), usualTimes().targetEnd), answer_decision::Answer);
}

TEST(answer_decision, doesNotWaitForPartsThatProbablyDoNotCome)
{
    const parts_state parts{10, 9, 1, 1, 0.89};
    EXPECT_EQ(decideAnswer(parts, usualTimes(), start + milliseconds(30)), answer_decision::Answer);
}

TEST(answer_decision, failsAsSoonAsTheCoverageIsOutOfReach)
{
    const parts_state parts{10, 5, 3, 0, 0.89};
    EXPECT_EQ(decideAnswer(parts, usualTimes(), start + milliseconds(10)), answer_decision::Fail);
}

// A late answer is worth little, but more than none.
TEST(answer_decision, waitsPastTheTargetForTheLeastCoverage)
{
    const parts_state parts{10, 8, 2, 0, 0.89};
    EXPECT_EQ(decideAnswer(parts, usualTimes(), usualTimes().targetEnd + milliseconds(50)),
              answer_decision::Wait);
    EXPECT_EQ(decideAnswer(parts, usualTimes(), usualTimes().deadline), answer_decision::Fail);
}

// 0.89 of 9 parts is 8.01: rounding must not demand one part more or less.
TEST(answer_decision, comparesSharesExactly)
{
    EXPECT_TRUE(meetsMinCoverage({100, 89, 0, 0, 0.89}));
    EXPECT_FALSE(meetsMinCoverage({100, 88, 0, 0, 0.89}));
    EXPECT_FALSE(meetsMinCoverage({10, 0, 0, 0, 0.0}));
}

namespace {

double alwaysRoundDown()
{
    return 1;
}

} // namespace

// Instances of a large fleet have less than one attempt each, and sent none for 10 s after a start.
TEST(extra_attempt_budget, isUsedByALargeFleetAfterAStart)
{
    constexpr std::size_t instances = 295;
    const extra_attempt_limits limits{0.2, 630, seconds(10)};
    random_source random(17);
    std::size_t requests = 0;
    std::size_t extra = 0;
    std::vector<extra_attempt_budget> budgets;
    for (std::size_t i = 0; i < instances; ++i)
        budgets.emplace_back(limits, start, [&random] { return random.fraction(); });
    // 96 requests a second over all instances, each of which wants an extra attempt.
    for (int i = 0; i < 960; ++i) {
        const time_point now = start + milliseconds(10 * i);
        extra_attempt_budget &budget = budgets[random.below(instances)];
        budget.onRequest(now);
        ++requests;
        extra += budget.tryTake(now, instances) ? 1 : 0;
    }
    EXPECT_LE(static_cast<double>(extra), limits.ratio * static_cast<double>(requests));
    EXPECT_GE(static_cast<double>(extra), 0.7 * limits.ratio * static_cast<double>(requests));
}

// The budget is shared by all instances and must hold in every window, however uneven their load
// is.
TEST(extra_attempt_budget, keepTheSharedBoundUnderUnevenLoad)
{
    constexpr std::size_t instances = 9;
    const extra_attempt_limits limits{0.2, 58, seconds(10)};
    random_source random(17);
    std::vector<extra_attempt_budget> budgets(
            instances,
            extra_attempt_budget(limits, start, [&random] { return random.fraction(); }));
    std::deque<std::pair<time_point, bool>> events;
    std::size_t requests = 0;
    std::size_t extra = 0;
    for (int step = 0; step < 40000; ++step) {
        const time_point now = start + milliseconds(step);
        // The load of each instance varies, and each takes as many extra attempts as it can.
        const std::size_t who = random.below(instances);
        const bool isBusy = (step / 3000 + static_cast<int>(who)) % 3 == 0;
        if (isBusy) {
            budgets[who].onRequest(now);
            events.emplace_back(now, false);
            ++requests;
        }
        if (budgets[who].tryTake(now, instances)) {
            events.emplace_back(now, true);
            ++extra;
        }
        while (now - events.front().first > limits.window) {
            --(events.front().second ? extra : requests);
            events.pop_front();
        }
        ASSERT_LE(static_cast<double>(extra),
                  limits.ratio * static_cast<double>(requests) + limits.constant)
                << "after " << step << " ms";
    }
}

// A restarted process cannot tell how much of the budget its predecessor has used.
TEST(extra_attempt_budget, withholdTheConstantShareAfterAStart)
{
    extra_attempt_budget budget({0.2, 58, seconds(10)}, start, alwaysRoundDown);
    EXPECT_FALSE(budget.tryTake(start + seconds(1), 1));
    EXPECT_TRUE(budget.tryTake(start + seconds(11), 1));
}

// An instance that wrongly counted itself as the only one would use the shares of all others too.
TEST(extra_attempt_budget, withholdTheConstantShareWhileTheInstancesAreUnknown)
{
    extra_attempt_budget budget({0.2, 58, seconds(10)}, start, alwaysRoundDown);
    EXPECT_FALSE(budget.tryTake(start + seconds(20), 0));
}

// When the budget runs short, the reserved part must remain for more urgent work.
TEST(extra_attempt_budget, keepTheReserveOfMoreUrgentWork)
{
    extra_attempt_budget budget({0.2, 10, seconds(10)}, start, alwaysRoundDown);
    const time_point now = start + seconds(20);
    int low = 0;
    while (budget.tryTake(now, 1, 0.5))
        ++low;
    int urgent = 0;
    while (budget.tryTake(now, 1))
        ++urgent;
    EXPECT_GT(low, 0);
    EXPECT_GT(urgent, low / 2);
}

TEST(weighted_round_robin, isWithinOneRequestOfEveryShareAtAnyTime)
{
    const std::vector<weighted_service> parts{
            {service_name("a"), 70}, {service_name("b"), 25}, {service_name("c"), 5}};
    weighted_round_robin rotation;
    std::vector<double> got(parts.size(), 0);
    for (int n = 1; n <= 1000; ++n) {
        ++got[rotation.next(parts)];
        for (std::size_t i = 0; i < parts.size(); ++i)
            ASSERT_NEAR(got[i], n * parts[i].weight / 100, 1.0);
    }
}

TEST(route_table, findsTheLongestPrefixOfTheHost)
{
    route_configuration c;
    c.routes = {routeFor("a.example", "/x/"), routeFor("a.example", "/x/y/"),
                routeFor("b.example", "/")};
    const route_table table(std::move(c));
    EXPECT_EQ(table.find("a.example", "/x/y/z")->prefix, "/x/y/");
    EXPECT_EQ(table.find("a.example", "/x/yy")->prefix, "/x/");
    EXPECT_EQ(table.find("A.Example:8080", "/x/?q=/x/y/")->prefix, "/x/");
    EXPECT_EQ(table.find("a.example", "/z/"), nullptr);
    EXPECT_EQ(table.find("c.example", "/x/"), nullptr);
    EXPECT_EQ(table.find("b.example", "/anything")->host, "b.example");
}
