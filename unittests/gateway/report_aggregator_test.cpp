#include "lib/gateway/report_aggregator.h"
#include "peridotwheel/gateway/placement.h"
#include "peridotwheel/gateway/server_health.h"
#include "peridotwheel/support/random_source.h"

#include <array>
#include <deque>
#include <gtest/gtest.h>
#include <vector>

using namespace peridotwheel;

namespace {

constexpr duration work = milliseconds(10);
constexpr duration slowWork = milliseconds(120);
constexpr duration exchangeInterval = milliseconds(400);
const server_id nearServer("near");
const server_id farServer("far");

/// The instances of a data centre call a shard with a near and a far server, each about twice a
/// second. Replies are recorded immediately, since the tests are about measurements and not queues.
class shard_callers : public testing::Test
{
protected:
    shard_callers()
    {
        for (int i = 0; i < 12; ++i) {
            health.emplace_back();
            health.back()[0].onConnected(milliseconds(1));
            health.back()[1].onConnected(milliseconds(24));
        }
    }

    struct instance_health : std::array<server_health, 2>
    {
        instance_health()
            : std::array<server_health, 2>{server_health(milliseconds(1), start),
                                           server_health(milliseconds(24), start)}
        {
        }
    };

    /// Calls for \p length; \p nearWork returns the service time of the near server.
    template <class Work>
    void play(duration length, bool sharing, Work nearWork)
    {
        const time_point end = now + length;
        while (now < end) {
            now += milliseconds(40);
            call(health[random.below(health.size())], nearWork);
            if (sharing && now >= nextExchange)
                exchange();
        }
    }

    template <class Work>
    void call(instance_health &at, Work nearWork)
    {
        std::vector<placement_candidate> candidates(2);
        for (std::size_t i = 0; i < 2; ++i) {
            candidates[i].health = &at[i];
            candidates[i].slots = 4;
        }
        const std::size_t chosen = chooseServer(candidates, work, now)->index;
        const duration took = chosen == 0 ? nearWork(now) : work;
        at[chosen].onSent(now);
        at[chosen].onReply(now, work, now + at[chosen].roundTrip() + took);
        ++calls;
        slowCalls += took > work ? 1 : 0;
        nearCalls += chosen == 0 ? 1 : 0;
    }

    void exchange()
    {
        nextExchange = now + exchangeInterval;
        for (auto &at : health)
            pool.add({{nearServer, at[0].takeSamples()}, {farServer, at[1].takeSamples()}}, now);
        const server_hints hints = pool.hints(now);
        for (auto &at : health) {
            const auto found = hints.find(nearServer);
            at[0].setHint(found == hints.end() ? server_hint() : found->second, now);
        }
    }

    static constexpr time_point start{seconds(1000)};
    time_point now = start;
    time_point nextExchange = start;
    std::deque<instance_health> health;
    report_aggregator pool;
    random_source random{5};
    int calls = 0;
    int slowCalls = 0;
    int nearCalls = 0;
};

} // namespace

// Without shared reports each instance detects a slow server only by repeated requests of its own:
// a fifth of the requests went to it for eight seconds.
TEST_F(shard_callers, detectASlowServerBySharedReports)
{
    const auto isSlow = [](time_point) { return slowWork; };
    play(seconds(8), false, isSlow);
    const double alone = static_cast<double>(slowCalls) / calls;
    for (auto &at : health)
        at = instance_health();
    calls = 0;
    slowCalls = 0;
    play(seconds(8), true, isSlow);
    const double together = static_cast<double>(slowCalls) / calls;
    EXPECT_GT(alone, 0.15) << "the load does not test the decision";
    EXPECT_LT(together, alone / 2);
}

// Occasional pauses of 200 ms are normal; avoiding the near server for them would send its requests
// to another region.
TEST_F(shard_callers, doNotTakePausesForASlowServer)
{
    const auto pauses = [](time_point t) {
        const auto phase = (t - start) % milliseconds(4500);
        return phase < milliseconds(200) ? milliseconds(200) - phase + work : work;
    };
    play(seconds(20), true, pauses);
    EXPECT_GT(static_cast<double>(nearCalls) / calls, 0.85);
}

// A server that has recovered must get its requests back within seconds.
TEST_F(shard_callers, returnToAServerThatHasRecovered)
{
    play(seconds(5), true, [](time_point) { return slowWork; });
    play(seconds(10), true, [](time_point) { return work; });
    nearCalls = 0;
    calls = 0;
    play(seconds(3), true, [](time_point) { return work; });
    EXPECT_GT(static_cast<double>(nearCalls) / calls, 0.95);
}

// Servers that fail often must be reported; single lost answers and few samples must not.
TEST(report_aggregator, reportsFailingServers)
{
    report_aggregator pool;
    time_point now{seconds(1000)};
    server_samples failing;
    failing.replies = 6;
    failing.failures = 4;
    server_samples usual;
    usual.replies = 30;
    usual.failures = 2;
    server_samples few;
    few.failures = 2;
    pool.add(
            {{server_id("failing"), failing}, {server_id("usual"), usual}, {server_id("few"), few}},
            now);
    const server_hints hints = pool.hints(now);
    ASSERT_EQ(hints.size(), 1U);
    EXPECT_DOUBLE_EQ(hints.at(server_id("failing")).errorRate, 0.4);
    EXPECT_TRUE(pool.hints(now + seconds(20)).empty());
}

// An instance without a share of a limit knows it only from hints, also when the server is fast.
TEST(report_aggregator, passesOnALimitAsLongAsItIsReported)
{
    report_aggregator pool;
    time_point now{seconds(1000)};
    server_samples limited;
    limited.replies = 1;
    limited.limit = request_rate(20);
    pool.add({{server_id("a"), limited}}, now);
    EXPECT_EQ(pool.hints(now + seconds(1)).at(server_id("a")).limit, request_rate(20));
    EXPECT_TRUE(pool.hints(now + seconds(2)).empty());
}
