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

/// A shard that runs up to `slots` parts concurrently, queues three times as many in FIFO order and
/// rejects the rest.
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
    /// Not answered because shards were full.
    int failed = 0;
};

constexpr duration urgentWork = milliseconds(4);
constexpr duration lowWork = milliseconds(11);
const class_rank urgentRank(0);
const class_rank lowRank(1);

query_number nextQuery()
{
    static std::uint64_t last = 0;
    return query_number(++last);
}

std::map<class_name, class_spec> lowClass()
{
    std::map<class_name, class_spec> classes;
    classes[class_name("low")].latencyTarget = milliseconds(150);
    classes[class_name("low")].rank = lowRank;
    return classes;
}

/// Simulates several instances that share the same shards, and counts the outcomes of queries.
class overload : public testing::Test
{
protected:
    static constexpr duration urgentTarget = milliseconds(100);
    static constexpr duration lowTarget = milliseconds(150);
    static constexpr unsigned slots = 6;
    /// Queries of the low rank per second that the shards can run.
    static constexpr double capacity = slots / 0.011;

    overload()
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
        query_number number = nextQuery();
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
            p.query = number;
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

    /// Sends a part. A rejected part is sent once more, as a retry at another server would be.
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

    /// Offers queries of both ranks at random, at these rates in queries per second.
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

    /// Resets the counts in place, since queries in flight hold references to them.
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

// Shows that the load of these tests overloads the shards: without admission control every query
// queues behind all others, and hardly any is answered in time.
TEST_F(overload, collapsesWithoutAdmission)
{
    play(200, 1000, seconds(10), false);
    finish();
    EXPECT_LT(share(urgentRank), 0.1);
    EXPECT_LT(share(lowRank), 0.1);
}

// Offers twice the capacity of the shards. Concurrency limits that each instance adapted by itself
// oscillated between 2 and 28 queries, and the urgent rank got 59% of its answers in time.
TEST_F(overload, servesTheUrgentRankFirstAndTheOtherByTheCapacityLeft)
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

// An overload of the low rank by ten times the capacity must neither affect the urgent rank nor
// reduce the throughput.
TEST_F(overload, servesTheUrgentRankInATenfoldOverload)
{
    play(100, 10 * capacity, seconds(1));
    resetCounts();
    play(100, 10 * capacity, seconds(8));
    finish();
    EXPECT_GT(share(urgentRank), 0.9);
    EXPECT_GT(usefulShare(seconds(8)), 0.6);
}

// An overload of the urgent rank must leave the low rank its guaranteed share.
TEST_F(overload, leavesTheLowRankItsFloorInAnOverloadOfTheUrgentRank)
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

// Queries must never be refused at normal load.
TEST_F(overload, refusesNothingAtTheUsualLoad)
{
    play(50, 150, seconds(10));
    finish();
    EXPECT_EQ(counts[0].refused + counts[1].refused, 0);
}

// A share that stayed low after an overload would refuse queries at normal load.
TEST_F(overload, admitsTheUsualLoadSoonAfterwards)
{
    play(225, 1000, seconds(10));
    play(0, 150, seconds(1));
    resetCounts();
    play(0, 150, seconds(5));
    finish();
    EXPECT_GT(share(lowRank), 0.95);
}

// Shares that diverge between instances would treat the callers of some of them worse for seconds.
TEST_F(overload, treatsTheCallersOfAllInstancesAlike)
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

// Slow servers at a few shards are a fault and not an overload, so refusing callers would not help.
TEST_F(overload, doesNotTakeSlowShardsForAnOverload)
{
    admission_share one(lowClass());
    time_point now = loop.now();
    for (int i = 0; i < 1000; ++i) {
        now += milliseconds(10);
        EXPECT_TRUE(one.admit(lowRank, lowWork, 0.999, now));
        one.onQueryEnded({nextQuery(), lowWork, milliseconds(8), 0}, now);
    }
}

// A pause of this process makes the queries in flight look queued once. 55 callers were refused for
// that on a day without overload.
TEST(admission_share, doesNotTakeAShortPauseForAnOverload)
{
    admission_share one(lowClass());
    time_point now{seconds(1000)};
    for (int i = 0; i < 200; ++i) {
        now += milliseconds(25);
        // After a pause, the queries that were in flight end together.
        const bool wasPaused = i % 40 == 0;
        for (int k = 0; k < (wasPaused ? 3 : 1); ++k)
            one.onQueryEnded({nextQuery(), lowWork, milliseconds(wasPaused ? 60 : 1), 0}, now);
        EXPECT_TRUE(one.admit(lowRank, lowWork, 0.999, now));
    }
}

// A low share admits hardly any query that could provide samples; it must rise again all the same.
TEST(admission_share, growsWithoutSamples)
{
    admission_share one(lowClass());
    time_point now{seconds(1000)};
    for (int i = 0; i < 100; ++i) {
        now += milliseconds(100);
        one.onQueryEnded({nextQuery(), lowWork, milliseconds(200), 0}, now);
    }
    EXPECT_LT(one.share(), 0.05);
    for (int i = 0; i < 100; ++i)
        one.admit(lowRank, milliseconds(10), 0.999, now += milliseconds(100));
    EXPECT_EQ(one.share(), 1);
}

// Retries of refused callers must be spread, and delayed further the smaller the share is.
TEST(admission_share, spreadsRetriesAndDelaysThemByTheOverload)
{
    admission_share one(lowClass());
    time_point now{seconds(1000)};
    EXPECT_EQ(one.retryAfter(0), seconds(1));
    EXPECT_GT(one.retryAfter(0.9), one.retryAfter(0.1));
    for (int i = 0; i < 10; ++i) {
        now += milliseconds(100);
        one.onQueryEnded({nextQuery(), lowWork, milliseconds(200), 0}, now);
    }
    EXPECT_GT(one.retryAfter(0), seconds(2));
    for (int i = 0; i < 1000; ++i) {
        now += milliseconds(100);
        one.onQueryEnded({nextQuery(), lowWork, milliseconds(200), 0}, now);
    }
    EXPECT_EQ(one.retryAfter(0), seconds(10));
}

// The most urgent rank must be served completely while the other keeps its floor.
TEST(divide_admission, servesByUrgencyWithFloors)
{
    const auto shares = divideAdmission(0.5, {{urgentRank, {0.2, 0.25}}, {lowRank, {0.8, 0.2}}});
    EXPECT_DOUBLE_EQ(shares.at(urgentRank), 1);
    EXPECT_NEAR(shares.at(lowRank), 0.3 / 0.8, 1e-9);
    const auto urgentOverload =
            divideAdmission(0.2, {{urgentRank, {0.9, 0.25}}, {lowRank, {0.1, 0.2}}});
    EXPECT_NEAR(urgentOverload.at(lowRank), 0.04 / 0.1, 1e-9);
    EXPECT_NEAR(urgentOverload.at(urgentRank), 0.16 / 0.9, 1e-9);
}

// A rank that offers less than its floor must not withhold the rest from the others.
TEST(divide_admission, passesOnWhatARankDoesNotUse)
{
    const auto shares = divideAdmission(0.5, {{urgentRank, {0.95, 0.25}}, {lowRank, {0.05, 0.4}}});
    EXPECT_DOUBLE_EQ(shares.at(lowRank), 1);
    EXPECT_NEAR(shares.at(urgentRank), 0.45 / 0.95, 1e-9);
}

// Queueing at all servers must not be taken for the typical service time.
TEST(work_estimate, keepsTheTimeOnIdleServersDuringAnOverload)
{
    work_estimate work;
    time_point now{seconds(1000)};
    for (int i = 0; i < 100; ++i)
        work.add(milliseconds(10), now += milliseconds(10));
    for (int i = 0; i < 1000; ++i)
        work.add(milliseconds(60), now += milliseconds(10));
    EXPECT_GT(work.typical(), milliseconds(50));
    EXPECT_LT(work.onIdleServers(), milliseconds(12));
}

// If the round trip is overestimated, the measured work is near zero, and normal service times then
// look like an overload: two instances admitted only two queries at once for 20 s.
TEST(work_estimate, doesNotTakeSchedulingForWork)
{
    work_estimate work;
    time_point now{seconds(1000)};
    for (int i = 0; i < 200; ++i)
        work.add(duration(0), now += milliseconds(10));
    EXPECT_GE(work.onIdleServers(), milliseconds(8));
}

// Single slow replies, as in pauses of a server, must hardly change the typical service time.
TEST(work_estimate, hardlyMovesWithSinglePauses)
{
    work_estimate work;
    time_point now{seconds(1000)};
    for (int i = 0; i < 100; ++i)
        work.add(milliseconds(i % 20 == 0 ? 200 : 10), now += milliseconds(10));
    EXPECT_LT(work.typical(), milliseconds(12));
}

// With a constant delay, callers of a service that rejected most requests all retried after 400 ms
// at the same time, and were rejected again.
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
