#include "lib/gateway/admission_gate.h"
#include "lib/gateway/work_estimate.h"
#include "peridotwheel/support/manual_loop.h"

#include <gtest/gtest.h>
#include <list>

using namespace peridotwheel;

namespace {

/// Shards that work on `slots` queries at once and queue the rest, first come, first served.
class simulated_shards
{
public:
    simulated_shards(manual_loop &loop, unsigned slots)
        : m_loop(loop)
        , m_slots(slots)
    {
    }

    void serve(duration work, std::function<void(duration)> done)
    {
        m_queue.push_back({work, m_loop.now(), std::move(done)});
        startNext();
    }

private:
    struct job
    {
        duration work;
        time_point arrival;
        std::function<void(duration)> done;
    };

    void startNext()
    {
        while (m_working < m_slots && !m_queue.empty()) {
            ++m_working;
            auto j = std::make_shared<job>(std::move(m_queue.front()));
            m_queue.pop_front();
            m_timers.push_back(m_loop.schedule(j->work, [this, j] {
                --m_working;
                j->done(m_loop.now() - j->arrival);
                startNext();
            }));
        }
    }

    manual_loop &m_loop;
    unsigned m_slots;
    unsigned m_working = 0;
    std::list<job> m_queue;
    std::list<timer> m_timers;
};

struct outcome_counts
{
    int offered = 0;
    int inTarget = 0;
    int late = 0;
    int refused = 0;
};

/// Two classes before shards that can do 545 queries/s of the lower one.
class flood : public testing::Test
{
protected:
    static constexpr duration urgentWork = milliseconds(4);
    static constexpr duration lowWork = milliseconds(11);
    static constexpr unsigned slots = 6;

    flood()
    {
        class_spec urgent;
        urgent.name = class_name("urgent");
        urgent.latencyTarget = milliseconds(100);
        urgent.rank = class_rank(0);
        class_spec low;
        low.name = class_name("low");
        low.latencyTarget = milliseconds(150);
        low.rank = class_rank(1);
        gate.setClasses({{urgent.name, urgent}, {low.name, low}});
    }

    void offer(class_rank rank, bool withGate)
    {
        outcome_counts &c = counts[rank.value()];
        ++c.offered;
        const bool isUrgent = rank == class_rank(0);
        const duration work = isUrgent ? urgentWork : lowWork;
        const time_point arrival = loop.now();
        const time_point end = arrival + milliseconds(isUrgent ? 100 : 150);
        const auto run = [this, &c, rank, work, end, withGate] {
            const time_point started = loop.now();
            shards.serve(work, [this, &c, rank, work, end, withGate, started](duration took) {
                ++(loop.now() <= end ? c.inTarget : c.late);
                if (withGate)
                    gate.onEnded(rank, loop.now() - started,
                                 toMilliseconds(took) / toMilliseconds(work));
            });
            return true;
        };
        if (!withGate) {
            run();
            return;
        }
        gate.offer(rank, end, {run, [&c](duration) { ++c.refused; }});
    }

    /// Twice of what the shards can do, for ten seconds.
    void play(bool withGate)
    {
        for (int ms = 0; ms < 10000; ++ms) {
            if (ms % 5 == 0)
                offer(class_rank(0), withGate);
            offer(class_rank(1), withGate);
            loop.advance(milliseconds(1));
        }
        loop.advance(seconds(30));
    }

    double share(int rank) const
    {
        const outcome_counts &c = counts.at(rank);
        return static_cast<double>(c.inTarget) / c.offered;
    }

    manual_loop loop;
    simulated_shards shards{loop, slots};
    admission_gate gate{loop, 7};
    std::map<std::uint32_t, outcome_counts> counts;
};

} // namespace

// Without admission every query waits behind all others, and nobody gets an answer in time.
TEST_F(flood, collapsesWithoutAdmission)
{
    play(false);
    EXPECT_LT(share(0), 0.1);
    EXPECT_LT(share(1), 0.1);
}

// The urgent rank comes first, the other one uses what is left, and the rest learns at once that it
// was not run.
TEST_F(flood, isServedAsFarAsTheShardsKeepUp)
{
    play(true);
    EXPECT_GT(share(0), 0.8);
    EXPECT_GT(share(1), 0.3);
    EXPECT_LT(counts[0].late + counts[1].late, counts[0].offered / 4);
    EXPECT_EQ(counts[1].inTarget + counts[1].late + counts[1].refused, counts[1].offered);
    EXPECT_EQ(gate.running(), 0U);
}

// The usual load must never meet the gate.
TEST_F(flood, refusesNothingAtTheUsualLoad)
{
    for (int ms = 0; ms < 10000; ++ms) {
        if (ms % 20 == 0)
            offer(class_rank(0), true);
        if (ms % 6 == 0)
            offer(class_rank(1), true);
        loop.advance(milliseconds(1));
    }
    loop.advance(seconds(1));
    EXPECT_EQ(counts[0].refused + counts[1].refused, 0);
}

// After the flood the limit must not hold back the usual load.
TEST_F(flood, isForgottenSoon)
{
    play(true);
    counts.clear();
    for (int ms = 0; ms < 5000; ++ms) {
        if (ms % 6 == 0)
            offer(class_rank(1), true);
        loop.advance(milliseconds(1));
    }
    loop.advance(seconds(1));
    EXPECT_GT(share(1), 0.95);
}

// A caller that left while its query waited: its place goes to the next one.
TEST_F(flood, passesOnThePlaceOfAQueryThatIsNotWanted)
{
    const time_point end = loop.now() + seconds(1);
    int ran = 0;
    for (std::uint32_t i = 0; i < gate.limit(); ++i)
        gate.offer(class_rank(1), end, {[] { return true; }, [](duration) {}});
    gate.offer(class_rank(1), end, {[] { return false; }, [](duration) {}});
    gate.offer(class_rank(1), end, {[&ran] { return ++ran > 0; }, [](duration) {}});
    EXPECT_EQ(ran, 0);
    gate.onEnded(class_rank(1), lowWork, 1);
    EXPECT_EQ(ran, 1);
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
