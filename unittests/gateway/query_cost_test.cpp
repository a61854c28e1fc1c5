#include "fake_backends.h"
#include "fixtures/wide_fleet.h"
#include "peridotwheel/counters/counter_set.h"
#include "peridotwheel/gateway/decision_log.h"

#include <gtest/gtest.h>

using namespace peridotwheel;

namespace {

/// Counts the reads of the clock, which nearly every step of a decision begins with, as a measure
/// of the work that does not depend on the machine.
class counting_loop : public event_loop
{
public:
    explicit counting_loop(event_loop &inner)
        : m_inner(inner)
    {
    }

    time_point now() const override
    {
        ++reads;
        return m_inner.now();
    }
    wall_time wallNow() const override { return m_inner.wallNow(); }
    duration processorTime() const override { return m_inner.processorTime(); }
    timer schedule(duration delay, task fn) override
    {
        return m_inner.schedule(delay, std::move(fn));
    }
    void post(task fn) override { m_inner.post(std::move(fn)); }

    mutable std::uint64_t reads = 0;

private:
    event_loop &m_inner;
};

/// A gateway in front of many shards of three servers each, whose replies arrive one by one.
class wide_gateway
{
public:
    explicit wide_gateway(std::size_t shards)
        : m_shards(shards)
        , m_gate(m_counting, m_backends, m_dialect, m_counters, m_log, wide_fleet::options())
    {
        wide_fleet::setUp(m_gate, shards, [this](std::size_t shard, std::size_t replica) {
            const auto port =
                    static_cast<std::uint16_t>(1000 + wide_fleet::replicas * shard + replica);
            auto &server = m_backends.at(port);
            server.distance = milliseconds(replica == 0 ? 2 : 24);
            server.work = milliseconds(8) + std::chrono::microseconds(41 * (shard % 100));
            server.records = std::string(16, 'r');
            return endpoint{"10.0.0.1", port};
        });
        m_loop.advance(seconds(12));
    }

    /// Serves a query and returns how often the clock was read for each part, in addition to the
    /// reads in the same time without a query.
    double readsPerPart()
    {
        constexpr duration length = milliseconds(300);
        const std::uint64_t atStart = m_counting.reads;
        m_loop.advance(length);
        const std::uint64_t idle = m_counting.reads - atStart;
        auto client = std::make_shared<fake_client>();
        opaque_request request;
        request.method = "GET";
        request.target = "/";
        request.headers = {{"Host", wide_fleet::host}, {"Id", "q" + std::to_string(m_nextId++)}};
        m_gate.handle(request, client);
        m_loop.advance(length);
        EXPECT_EQ(client->replies.size(), 1U);
        if (!client->replies.empty()) {
            EXPECT_EQ(client->replies.front().status, 200);
            EXPECT_EQ(*client->replies.front().header("Missing"), "0");
        }
        const std::uint64_t both = m_counting.reads - atStart - idle;
        return static_cast<double>(both - idle) / static_cast<double>(m_shards);
    }

    /// Returns how often the clock is read in a second without queries for each server.
    double readsPerIdleServer()
    {
        const std::uint64_t atStart = m_counting.reads;
        m_loop.advance(seconds(1));
        return static_cast<double>(m_counting.reads - atStart) /
               static_cast<double>(wide_fleet::replicas * m_shards);
    }

private:
    std::size_t m_shards;
    manual_loop m_loop;
    counting_loop m_counting{m_loop};
    fake_backends m_backends{m_loop};
    fake_dialect m_dialect;
    counter_set m_counters;
    decision_log m_log{m_counting, "test", [](std::string_view text) { return text.size(); }};
    gateway m_gate;
    int m_nextId = 1;
};

} // namespace

// An instance with a small processor share answers wide queries too late if each reply makes it
// look at all parts of the query.
TEST(query_cost, ofAPartDoesNotGrowWithTheNumberOfParts)
{
    wide_gateway narrow(25);
    wide_gateway wide(225);
    // The first query measures round trips and work.
    narrow.readsPerPart();
    wide.readsPerPart();
    const double few = narrow.readsPerPart();
    const double many = wide.readsPerPart();
    RecordProperty("reads_25", std::to_string(few));
    RecordProperty("reads_225", std::to_string(many));
    EXPECT_LE(many, 1.2 * few) << few << " reads of the clock for each of 25 parts";
}

// An instance that visits all servers at each tick spends most of a small processor share on
// servers that it does not use.
TEST(query_cost, ofAnIdleServerIsThatOfAFewVisitsASecond)
{
    constexpr double visitsPerSecond = 4;
    constexpr double readsPerVisit = 10;
    wide_gateway wide(225);
    wide.readsPerPart();
    EXPECT_LE(wide.readsPerIdleServer(), visitsPerSecond * readsPerVisit);
}
