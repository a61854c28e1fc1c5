#include "lib/gateway/admission_share.h"
#include "lib/gateway/retry_advice.h"
#include "lib/gateway/work_estimate.h"
#include "peridotwheel/support/manual_loop.h"
#include "peridotwheel/support/random_source.h"

#include <algorithm>
#include <deque>
#include <gtest/gtest.h>
#include <list>
#include <memory>

using namespace peridotwheel;

namespace {

/// One shard: it works on `slots` parts at once, queues three times as many, first come, first
/// served, and rejects the rest.
class simulated_shard
{
public:
    simulated_shard(manual_loop &loop, unsigned slots)
        : m_loop(loop)
        , m_slots(slots)
    {
    }

    void serve(duration work, std::function<void(std::optional<duration>)> done)
    {
        if (m_queue.size() >= 3 * m_slots) {
            m_timers.push_back(m_loop.schedule(milliseconds(1), [done] { done(std::nullopt); }));
            return;
        }
        m_queue.push_back({work, m_loop.now(), std::move(done)});
        startNext();
    }

private:
    struct job
    {
        duration work;
        time_point arrival;
        std::function<void(std::optional<duration>)> done;
    };

    void startNext()
    {
        while (m_working < m_slots && !m_queue.empty()) {
            ++m_working;
            auto j = std::make_shared<job>(std::move(m_queue.front()));
            m_queue.pop_front();
            const auto at = m_timers.emplace(m_timers.end());
            *at = m_loop.schedule(j->work, [this, j, at] {
                const timer finished = std::move(*at);
                m_timers.erase(at);
                --m_working;
                j->done(m_loop.now() - j->arrival);
                startNext();
            });
        }
    }

    manual_loop &m_loop;
    unsigned m_slots;
    unsigned m_working = 0;
    std::deque<job> m_queue;
    std::list<timer> m_timers;
};

struct outcome_counts
{
    int offered = 0;
    int inTarget = 0;
    int late = 0;
    int refused = 0;
    /// Not answered, since shards were full.
    int failed = 0;
};

constexpr duration urgentWork = milliseconds(4);
constexpr duration lowWork = milliseconds(11);
const class_rank urgentRank(0);
const class_rank lowRank(1);

std::map<class_name, class_spec> lowClass()
{
    std::map<class_name, class_spec> classes;
    classes[class_name("low")].latencyTarget = milliseconds(150);
    classes[class_name("low")].rank = lowRank;
    return classes;
}

/// What the callers of several instances get from shards that all instances share.
class flood : public testing::Test
{
protected:
    static constexpr duration urgentTarget = milliseconds(100);
    static constexpr duration lowTarget = milliseconds(150);
    static constexpr unsigned slots = 6;
    /// Queries of the low rank that the shards can do in a second.
    static constexpr double capacity = slots / 0.011;

    flood()
    {
        std::map<class_name, class_spec> classes;
        classes[class_name("urgent")].latencyTarget = urgentTarget;
        classes[class_name("urgent")].rank = urgentRank;
        classes[class_name("low")].latencyTarget = lowTarget;
        classes[class_name("low")].rank = lowRank;
        for (int i = 0; i < 9; ++i) {
            instances.emplace_back(classes);
        }
        for (int i = 0; i < 8; ++i)
            shards.push_back(std::make_unique<simulated_shard>(loop, slots));
    }

    struct query
    {
        std::vector<duration> times;
        time_point arrival;
        duration work{};
        admission_share *at = nullptr;

        std::size_t rejected = 0;

        query_progress progress(std::size_t parts, time_point now) const
        {
            std::vector<duration> all = times;
            all.resize(parts - rejected, now - arrival);
            std::sort(all.begin(), all.end());
            query_progress p;
            p.work = work;
            p.rejectedShare = static_cast<double>(rejected) / static_cast<double>(parts);
            if (!all.empty())
                p.queueingDelay = std::max(all[all.size() / 4] - work, duration(0));
            return p;
        }
    };

    /// The first instances get twice as many callers as the last ones.
    admission_share &anyInstance()
    {
        const std::size_t slot = random.below(instances.size() * 3 / 2);
        return instances[slot % instances.size()];
    }

    void offer(class_rank rank, bool withAdmission = true)
    {
        outcome_counts &c = counts[rank.value()];
        ++c.offered;
        const duration work = rank == urgentRank ? urgentWork : lowWork;
        const duration target = rank == urgentRank ? urgentTarget : lowTarget;
        admission_share &at = anyInstance();
        if (withAdmission && !at.admit(rank, work, random.fraction(), loop.now())) {
            ++c.refused;
            return;
        }
        auto q = std::make_shared<query>();
        q->arrival = loop.now();
        q->work = work;
        q->at = &at;
        running.push_back(q);
        for (const auto &shard : shards)
            send(*shard, q, c, target, true);
    }

    /// A part that its shard rejects is sent once more, as to another server.
    void send(simulated_shard &shard, const std::shared_ptr<query> &q, outcome_counts &c,
              duration target, bool mayRepeat)
    {
        // Work varies around its mean.
        const duration varied = scaled(q->work, 0.5 + random.fraction());
        shard.serve(varied, [this, q, target, mayRepeat, &shard, &c](std::optional<duration> took) {
            if (!took && mayRepeat)
                return send(shard, q, c, target, false);
            if (took)
                q->times.push_back(*took);
            else
                ++q->rejected;
            if (q->times.size() + q->rejected == shards.size())
                end(*q, c, target);
        });
    }

    void end(const query &q, outcome_counts &c, duration target)
    {
        const bool inTime = loop.now() - q.arrival <= target;
        ++(q.rejected > 0 ? c.failed : inTime ? c.inTarget : c.late);
        q.at->onQueryEnded(q.progress(shards.size(), loop.now()), loop.now());
        running.remove_if([&q](const auto &each) { return each.get() == &q; });
    }

    /// Offers both ranks at random with these rates, in queries a second.
    void play(double urgentRate, double lowRate, duration length, bool withAdmission = true)
    {
        const time_point end = loop.now() + length;
        while (loop.now() < end) {
            if (random.fraction() < urgentRate / 1000)
                offer(urgentRank, withAdmission);
            for (double rate = lowRate / 1000; rate > 0; rate -= 1) {
                if (random.fraction() < rate)
                    offer(lowRank, withAdmission);
            }
            advance();
        }
    }

    void advance()
    {
        loop.advance(milliseconds(1));
        if (++m_ticks % 50 != 0)
            return;
        for (const auto &q : running)
            q->at->onQueryRunning(q->progress(shards.size(), loop.now()), loop.now());
    }

    void finish() { loop.advance(seconds(60)); }

    /// Queries in flight keep counting, so that the counts stay where they are.
    void resetCounts()
    {
        for (auto &[rank, c] : counts)
            c = outcome_counts();
    }

    double share(class_rank rank) const
    {
        const outcome_counts &c = counts.at(rank.value());
        return static_cast<double>(c.inTarget) / c.offered;
    }

    /// Work done in time, as a share of what the shards could do.
    double usefulShare(duration length) const
    {
        double work = 0;
        for (const auto &[rank, c] : counts)
            work += c.inTarget *
                    toMilliseconds(class_rank(rank) == urgentRank ? urgentWork : lowWork);
        return work / (slots * toMilliseconds(length));
    }

    manual_loop loop;
    random_source random{7};
    std::vector<std::unique_ptr<simulated_shard>> shards;
    std::deque<admission_share> instances;
    std::list<std::shared_ptr<query>> running;
    std::map<std::uint32_t, outcome_counts> counts;

private:
    unsigned m_ticks = 0;
};

} // namespace

// Without admission every query waits behind all others, and nobody gets an answer in time.
TEST_F(flood, collapsesWithoutAdmission)
{
    play(200, 1000, seconds(10), false);
    finish();
    EXPECT_LT(share(urgentRank), 0.1);
    EXPECT_LT(share(lowRank), 0.1);
}

// Twice of what the shards can do: limits that each instance found by itself swung between 2 and 28
// queries, and the urgent rank got 59% of its answers in time.
TEST_F(flood, servesTheUrgentRankFirstAndTheOtherAsFarAsTheShardsKeepUp)
{
    play(225, 1000, seconds(1));
    resetCounts();
    play(225, 1000, seconds(10));
    finish();
    EXPECT_GT(share(urgentRank), 0.95);
    EXPECT_GT(share(lowRank), 0.35);
    EXPECT_GT(usefulShare(seconds(10)), 0.6);
    EXPECT_LT(counts[0].late + counts[1].late, counts[1].offered / 10);
}

// Ten times the capacity of the low rank must not take the urgent one down, nor the throughput.
TEST_F(flood, keepsTheUrgentRankThroughATenfoldFlood)
{
    play(100, 10 * capacity, seconds(1));
    resetCounts();
    play(100, 10 * capacity, seconds(8));
    finish();
    EXPECT_GT(share(urgentRank), 0.9);
    EXPECT_GT(usefulShare(seconds(8)), 0.6);
}

// A flood of the urgent rank leaves the other one its floor.
TEST_F(flood, leavesTheLowRankItsFloorInAFloodOfTheUrgentOne)
{
    for (int i = 0; i < 10000; ++i) {
        for (int k = 0; k < 4; ++k)
            offer(urgentRank);
        if (i % 10 == 0)
            offer(lowRank);
        advance();
    }
    finish();
    EXPECT_GT(share(lowRank), 0.5);
    EXPECT_GT(usefulShare(seconds(10)), 0.6);
}

// The usual load must never be turned away.
TEST_F(flood, refusesNothingAtTheUsualLoad)
{
    play(50, 150, seconds(10));
    finish();
    EXPECT_EQ(counts[0].refused + counts[1].refused, 0);
}

// After a flood the share must not hold back the usual load.
TEST_F(flood, isForgottenSoon)
{
    play(225, 1000, seconds(10));
    play(0, 150, seconds(1));
    resetCounts();
    play(0, 150, seconds(5));
    finish();
    EXPECT_GT(share(lowRank), 0.95);
}

// Callers of one instance must not fare worse than those of another for seconds.
TEST_F(flood, treatsTheCallersOfAllInstancesAlike)
{
    play(225, 1000, seconds(6));
    double least = 1;
    double most = 0;
    for (const auto &instance : instances) {
        least = std::min(least, instance.share());
        most = std::max(most, instance.share());
    }
    EXPECT_LT(most, 2.5 * least);
}

// Slow servers at a few shards are a fault, not a flood: turning callers away would not help.
TEST_F(flood, doesNotTakeSlowShardsForAFlood)
{
    admission_share one(lowClass());
    time_point now = loop.now();
    for (int i = 0; i < 1000; ++i) {
        now += milliseconds(10);
        EXPECT_TRUE(one.admit(lowRank, lowWork, 0.999, now));
        one.onQueryEnded({lowWork, milliseconds(8), 0}, now);
    }
}

// A pause of this process makes the queries in flight look queued, once. On a quiet day 55 callers
// were turned away for that.
TEST(admission_share, doesNotTakeAShortPauseForAFlood)
{
    admission_share one(lowClass());
    time_point now{seconds(1000)};
    for (int i = 0; i < 200; ++i) {
        now += milliseconds(25);
        // After a pause, what was in flight ends together.
        const bool wasPaused = i % 40 == 0;
        for (int k = 0; k < (wasPaused ? 3 : 1); ++k)
            one.onQueryEnded({lowWork, milliseconds(wasPaused ? 60 : 1), 0}, now);
        EXPECT_TRUE(one.admit(lowRank, lowWork, 0.999, now));
    }
}

// A share that has fallen must rise again although hardly any query runs that could tell.
TEST(admission_share, growsWhenNoQueryTellsThePressure)
{
    admission_share one(lowClass());
    time_point now{seconds(1000)};
    for (int i = 0; i < 100; ++i) {
        now += milliseconds(100);
        one.onQueryEnded({lowWork, milliseconds(200), 0}, now);
    }
    EXPECT_LT(one.share(), 0.05);
    for (int i = 0; i < 100; ++i)
        one.admit(lowRank, milliseconds(10), 0.999, now += milliseconds(100));
    EXPECT_EQ(one.share(), 1);
}

// Callers that come back must be spread, and come later the less is let through.
TEST(admission_share, spreadsReturnsAndDelaysThemInADeeperFlood)
{
    admission_share one(lowClass());
    time_point now{seconds(1000)};
    EXPECT_EQ(one.retryAfter(0), seconds(1));
    EXPECT_GT(one.retryAfter(0.9), one.retryAfter(0.1));
    for (int i = 0; i < 10; ++i) {
        now += milliseconds(100);
        one.onQueryEnded({lowWork, milliseconds(200), 0}, now);
    }
    EXPECT_GT(one.retryAfter(0), seconds(2));
    for (int i = 0; i < 1000; ++i) {
        now += milliseconds(100);
        one.onQueryEnded({lowWork, milliseconds(200), 0}, now);
    }
    EXPECT_EQ(one.retryAfter(0), seconds(10));
}

// The most urgent rank must be served whole while the other keeps its floor.
TEST(divide_admission, servesByUrgencyWithFloors)
{
    const auto shares = divideAdmission(0.5, {{urgentRank, {0.2, 0.25}}, {lowRank, {0.8, 0.2}}});
    EXPECT_DOUBLE_EQ(shares.at(urgentRank), 1);
    EXPECT_NEAR(shares.at(lowRank), 0.3 / 0.8, 1e-9);
    const auto urgentFlood =
            divideAdmission(0.2, {{urgentRank, {0.9, 0.25}}, {lowRank, {0.1, 0.2}}});
    EXPECT_NEAR(urgentFlood.at(lowRank), 0.04 / 0.1, 1e-9);
    EXPECT_NEAR(urgentFlood.at(urgentRank), 0.16 / 0.9, 1e-9);
}

// A rank that offers less than its floor must not withhold the rest from the others.
TEST(divide_admission, passesOnWhatARankDoesNotUse)
{
    const auto shares = divideAdmission(0.5, {{urgentRank, {0.95, 0.25}}, {lowRank, {0.05, 0.4}}});
    EXPECT_DOUBLE_EQ(shares.at(lowRank), 1);
    EXPECT_NEAR(shares.at(urgentRank), 0.45 / 0.95, 1e-9);
}

// Work that queues on all servers must not pass for the usual work.
TEST(work_estimate, remembersTheTimeOnIdleServersThroughAFlood)
{
    work_estimate work;
    time_point now{seconds(1000)};
    for (int i = 0; i < 100; ++i)
        work.add(milliseconds(10), now += milliseconds(10));
    for (int i = 0; i < 1000; ++i)
        work.add(milliseconds(60), now += milliseconds(10));
    EXPECT_GT(work.usual(), milliseconds(50));
    EXPECT_LT(work.onIdleServers(), milliseconds(12));
}

// A distance that is taken for too long makes work look like nothing. Ordinary times must not look
// like a flood afterwards: two instances admitted two queries at once for 20 s.
TEST(work_estimate, doesNotTakeSchedulingForWork)
{
    work_estimate work;
    time_point now{seconds(1000)};
    for (int i = 0; i < 200; ++i)
        work.add(duration(0), now += milliseconds(10));
    EXPECT_GE(work.onIdleServers(), milliseconds(8));
}

// One slow reply says nothing about the usual work.
TEST(work_estimate, hardlyMovesWithSinglePauses)
{
    work_estimate work;
    time_point now{seconds(1000)};
    for (int i = 0; i < 100; ++i)
        work.add(milliseconds(i % 20 == 0 ? 200 : 10), now += milliseconds(10));
    EXPECT_LT(work.usual(), milliseconds(12));
}

// Callers of a service that rejects most requests came back after 400 ms, all at the same time, and
// were rejected again.
TEST(retry_advice, growsWithTheShareOfRejections)
{
    retry_advice advice;
    EXPECT_EQ(advice.retryDelay(0), milliseconds(400));
    EXPECT_GT(advice.retryDelay(0.9), advice.retryDelay(0.1));
    for (int i = 0; i < 100; ++i)
        advice.onRejected();
    EXPECT_GT(advice.retryDelay(0), milliseconds(1900));
    for (int i = 0; i < 100; ++i)
        advice.onAccepted();
    EXPECT_LT(advice.retryDelay(0), milliseconds(450));
}
