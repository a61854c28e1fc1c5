#include "peridotwheel/limits/admission_controller.h"
#include "peridotwheel/support/manual_loop.h"

#include <gtest/gtest.h>

using namespace peridotwheel;

namespace {

class_spec classOf(const char *name, std::uint32_t rank, milliseconds target)
{
    class_spec spec;
    spec.name = class_name(name);
    spec.rank = class_rank(rank);
    spec.latencyTarget = target;
    return spec;
}

const class_spec urgent = classOf("safety-cards", 0, milliseconds(140));
const class_spec middle = classOf("lesson-lookups", 1, milliseconds(400));
const class_spec low = classOf("booking-desk", 2, milliseconds(2000));

configuration_document documentOf(const std::vector<class_spec> &classes)
{
    configuration_document document;
    for (const class_spec &spec : classes)
        document.classes[spec.name] = spec;
    return document;
}

/// Answers each query after a log-normally distributed time, like a query over many shards.
class timed_executor : public query_executor
{
public:
    timed_executor(event_loop &loop, double meanMs, std::uint64_t seed)
        : m_loop(loop)
        , m_time(std::log(meanMs), 0.25)
        , m_random(seed)
    {
    }

    void run(query_request, answer_hook done) override
    {
        const std::uint64_t id = m_next++;
        const duration d = fromMilliseconds(m_time(m_random.engine()));
        m_timers[id] = m_loop.schedule(d, [this, id, hook = std::move(done)] {
            query_answer answer;
            answer.kind = answer_kind::Complete;
            answer.ran = ran_state::Yes;
            auto callback = hook;
            m_timers.erase(id);
            callback(answer);
        });
    }

private:
    event_loop &m_loop;
    std::lognormal_distribution<double> m_time;
    random_source m_random;
    std::uint64_t m_next = 0;
    std::map<std::uint64_t, timer> m_timers;
};

struct tally
{
    double inTarget = 0;
    double late = 0;
    double refused = 0;
};

struct scenario
{
    std::uint32_t limit = 6;
    double serviceMs = 20;
    /// Classes and their arrivals per second. The classes draw random numbers in this order, so it
    /// must not depend on the addresses of the classes, which differ between compilers.
    std::vector<std::pair<const class_spec *, double>> rates;
    bool enabled = true;
};

/// Runs an open-loop load for 20 s and counts answers within the target by class.
class load_run
{
public:
    load_run(const scenario &s, std::uint64_t seed)
        : m_scenario(s)
        , m_random(seed)
        , m_inner(m_loop, s.serviceMs, seed + 1)
        , m_board(std::make_unique<blackboard>())
    {
        m_board->configuration.set(documentOf({urgent, middle, low}));
        admission_hooks hooks{
                [limit = s.limit] { return limit; },
                [mean = s.serviceMs] { return fromMilliseconds(mean); },
        };
        admission_queue::options options;
        options.enabled = s.enabled;
        m_admission = std::make_unique<admission_controller>(
                m_loop, *m_board, m_inner, hooks, m_counters, event_sink{}, seed, options);
        for (const auto &[spec, rate] : s.rates)
            scheduleArrival(*spec, rate);
        m_loop.advance(seconds(20));
    }

    /// Answers per second within the target, as a share of the slots' capacity.
    double capacityShare(const class_spec &spec)
    {
        return tallies[spec.name].inTarget / 20 / capacity();
    }
    double usefulShare()
    {
        return capacityShare(urgent) + capacityShare(middle) + capacityShare(low);
    }
    double onTimeFraction(const class_spec &spec)
    {
        const tally &t = tallies[spec.name];
        return t.inTarget / (t.inTarget + t.late + t.refused);
    }
    double capacity() const
    {
        constexpr double logNormalMean = 1.0317; // exp(0.25^2 / 2)
        return m_scenario.limit * 1000 / (m_scenario.serviceMs * logNormalMean);
    }

    std::map<class_name, tally> tallies;

private:
    void scheduleArrival(const class_spec &spec, double rate)
    {
        const double gap = -std::log(1 - m_random.fraction()) / rate;
        m_arrivals[spec.name] = m_loop.schedule(fromMilliseconds(gap * 1000), [this, spec, rate] {
            offer(spec);
            scheduleArrival(spec, rate);
        });
    }

    void offer(const class_spec &spec)
    {
        query_request request;
        request.spec = spec;
        request.arrival = m_loop.now();
        request.deadline = m_loop.now() + spec.latencyTarget;
        tally &t = tallies[spec.name];
        m_admission->run(request, [this, &t, deadline = request.deadline](const query_answer &a) {
            const bool useful = a.ran == ran_state::Yes && m_loop.now() <= deadline;
            double &count = useful ? t.inTarget : a.ran == ran_state::Yes ? t.late : t.refused;
            ++count;
        });
    }

    scenario m_scenario;
    manual_loop m_loop;
    random_source m_random;
    timed_executor m_inner;
    std::unique_ptr<blackboard> m_board;
    counter_set m_counters;
    std::unique_ptr<admission_controller> m_admission;
    std::map<class_name, timer> m_arrivals;
};

scenario slotConfigurations[] = {
        {2, 20, {}, true}, {6, 20, {}, true}, {10, 40, {}, true}, {3, 50, {}, true}};

} // namespace

// Guards against a flood that delays other classes or spends capacity on late answers.
TEST(admissionController, floodOfTheLeastUrgentClass)
{
    for (scenario s : slotConfigurations) {
        const double capacity = s.limit * 1000 / s.serviceMs;
        s.rates = {{&urgent, 0.3 * capacity}, {&middle, 0.2 * capacity}, {&low, 10 * capacity}};
        constexpr double requestsOfAllRuns = 20'000;
        constexpr double secondsOfARun = 20;
        const int runs = static_cast<int>(requestsOfAllRuns / (0.3 * capacity * secondsOfARun));
        tally all;
        for (int seed = 11; seed < 11 + runs; ++seed) {
            load_run run(s, static_cast<std::uint64_t>(seed));
            EXPECT_GE(run.onTimeFraction(middle), 0.95) << "seed " << seed;
            EXPECT_GE(run.usefulShare(), 0.9) << "seed " << seed;
            const tally &one = run.tallies[urgent.name];
            all.inTarget += one.inTarget;
            all.late += one.late;
            all.refused += one.refused;
        }
        const double onTime = all.inTarget / (all.inTarget + all.late + all.refused);
        std::printf("limit %u service %.0f, %d runs: urgent %.5f\n", s.limit, s.serviceMs, runs,
                    onTime);
        EXPECT_GE(onTime, 0.995);
    }
}

// Guards against a flood that is too weak to test anything: without ranks and early refusals, the
// flood of the test above must miss its bound.
TEST(admissionController, firstInFirstOutBaselineFailsUnderTheSameFlood)
{
    scenario s = slotConfigurations[1];
    const double capacity = s.limit * 1000 / s.serviceMs;
    s.enabled = false;
    s.rates = {{&urgent, 0.3 * capacity}, {&middle, 0.2 * capacity}, {&low, 10 * capacity}};
    load_run run(s, 11);
    EXPECT_LT(run.onTimeFraction(urgent), 0.5);
}

// Guards against starvation of the less urgent classes by a flood of the most urgent one.
TEST(admissionController, floodOfTheMostUrgentClassLeavesTheOthersTheirFloors)
{
    for (scenario s : slotConfigurations) {
        const double capacity = s.limit * 1000 / s.serviceMs;
        s.rates = {{&urgent, 10 * capacity}, {&middle, 0.3 * capacity}, {&low, 0.3 * capacity}};
        load_run run(s, 12);
        std::printf("limit %u service %.0f: urgent share %.3f middle %.3f low %.3f useful %.3f\n",
                    s.limit, s.serviceMs, run.capacityShare(urgent), run.capacityShare(middle),
                    run.capacityShare(low), run.usefulShare());
        EXPECT_GE(run.capacityShare(middle), 0.10);
        EXPECT_GE(run.capacityShare(low), 0.05);
        EXPECT_GE(run.usefulShare(), 0.9);
    }
}

namespace {

struct manual_executor : query_executor
{
    void run(query_request request, answer_hook done) override
    {
        requests.push_back(std::move(request));
        hooks.push_back(std::move(done));
    }

    std::vector<query_request> requests;
    std::vector<answer_hook> hooks;
};

class refusal_fixture : public testing::Test
{
protected:
    refusal_fixture() { board.configuration.set(documentOf({urgent, middle, low})); }

    void make(std::size_t maxQueued)
    {
        admission_queue::options options;
        options.maxQueued = maxQueued;
        admission = std::make_unique<admission_controller>(
                loop, board, inner,
                admission_hooks{[this] { return limit; }, [this] { return service; }}, counters,
                event_sink{}, 1, options);
    }

    std::shared_ptr<std::optional<query_answer>> offer(const class_spec &spec)
    {
        query_request request;
        request.spec = spec;
        request.arrival = loop.now();
        request.deadline = loop.now() + spec.latencyTarget;
        auto got = std::make_shared<std::optional<query_answer>>();
        admission->run(request, [got](query_answer answer) { *got = std::move(answer); });
        EXPECT_FALSE(got->has_value()) << "the answer hook was called from within run";
        loop.runPosted();
        return got;
    }

    manual_loop loop;
    blackboard board;
    manual_executor inner;
    counter_set counters;
    std::uint32_t limit = 1;
    duration service = milliseconds(20);
    std::unique_ptr<admission_controller> admission;
};

void expectNotRun(const std::shared_ptr<std::optional<query_answer>> &got)
{
    ASSERT_TRUE(got->has_value());
    EXPECT_EQ((*got)->kind, answer_kind::RefusedLoad);
    EXPECT_EQ((*got)->ran, ran_state::No);
    EXPECT_GE((*got)->retryAfter.value_or(duration()), seconds(1));
}

} // namespace

// Guards against running a query that cannot meet its target.
TEST_F(refusal_fixture, targetShorterThanTheServiceTimeIsRefusedAtOnce)
{
    make(100);
    service = milliseconds(150);
    expectNotRun(offer(urgent));
    EXPECT_FALSE(offer(middle)->has_value());
    EXPECT_EQ(inner.requests.size(), 1u);
}

// Guards against a rank that is refused for ever after one slow service time: while no query runs,
// there is no new measurement.
TEST_F(refusal_fixture, aProbeIsAdmittedAfterASecondOfRefusals)
{
    make(100);
    service = milliseconds(150);
    expectNotRun(offer(urgent));
    loop.advance(milliseconds(1001));
    EXPECT_FALSE(offer(urgent)->has_value());
    EXPECT_EQ(inner.requests.size(), 1u);
}

// Guards against running a request whose remaining time fell below the service time in the queue.
TEST_F(refusal_fixture, aRequestThatWaitedTooLongIsRefusedNotRun)
{
    make(100);
    offer(low);
    const auto waiting = offer(urgent);
    EXPECT_FALSE(waiting->has_value());
    loop.advance(milliseconds(121));
    expectNotRun(waiting);
    EXPECT_EQ(inner.requests.size(), 1u);
    EXPECT_EQ(admission->loadOf(urgent.name).retryAfter.has_value(), true);
}

// Guards against running late requests after a pause of the process: its timers fire late, so the
// check at the front of the queue must refuse them as well.
TEST_F(refusal_fixture, aRequestThatReachesTheFrontTooLateIsRefused)
{
    make(100);
    offer(low);
    const auto waiting = offer(urgent);
    const auto answer = loop.schedule(milliseconds(10), [this] { inner.hooks[0](query_answer{}); });
    loop.pause(milliseconds(500));
    loop.runPosted();
    expectNotRun(waiting);
    EXPECT_EQ(inner.requests.size(), 1u);
}

// Guards against a queue full of less urgent requests that refuses an urgent one.
TEST_F(refusal_fixture, aMoreUrgentArrivalDisplacesTheLeastUrgent)
{
    make(4);
    offer(low);
    std::vector<std::shared_ptr<std::optional<query_answer>>> waiting;
    waiting.reserve(4);
    for (int i = 0; i < 4; ++i)
        waiting.push_back(offer(low));
    expectNotRun(offer(low));
    EXPECT_FALSE(offer(urgent)->has_value());
    expectNotRun(waiting[3]);
    EXPECT_FALSE(waiting[2]->has_value());
    // Requests of a class that is removed while they are queued are still served.
    board.configuration.set(documentOf({urgent}));
    while (inner.hooks.size() < 5) {
        const std::size_t before = inner.hooks.size();
        inner.hooks.back()(query_answer{});
        ASSERT_GT(inner.hooks.size(), before);
    }
    EXPECT_EQ(admission->queued(), 0u);
}

// Guards against refused callers that retry in step, or as soon under a high load as under a low
// one.
TEST_F(refusal_fixture, retryDelayGrowsWithTheLoadAndVaries)
{
    make(2);
    service = milliseconds(150);
    std::vector<duration> delays;
    delays.reserve(20);
    for (int i = 0; i < 20; ++i)
        delays.push_back(*offer(urgent)->value().retryAfter);
    EXPECT_GT(delays.back(), delays.front() * 5);
    EXPECT_NE(delays[18] * 20, delays[19] * 19);
}
