#include "peridotwheel/limits/concurrency_limiter.h"
#include "peridotwheel/limits/connection_share.h"
#include "peridotwheel/limits/retry_budget.h"
#include "peridotwheel/limits/server_pool.h"
#include "peridotwheel/support/manual_loop.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <set>

using namespace peridotwheel;

namespace {

constexpr time_point start{seconds(100)};

member_map membersUpTo(int count)
{
    member_map members;
    for (int i = 0; i < count; ++i)
        members[instance_id("i" + std::to_string(i))] = {};
    return members;
}

/// Answers health checks at once and keeps the attempts until the test completes them.
class held_connection : public http_connection
{
public:
    held_connection(manual_loop &loop, std::vector<outcome_hook> &held)
        : m_loop(loop)
        , m_held(held)
    {
    }
    void send(const http_request &request, duration, outcome_hook done) override
    {
        if (request.path != "/health") {
            m_held.push_back(std::move(done));
            return;
        }
        m_loop.post([done = std::move(done)] { done({transport_failure::None, {200, {}, ""}}); });
    }
    bool busy() const override { return false; }
    bool established() const override { return true; }

private:
    manual_loop &m_loop;
    std::vector<outcome_hook> &m_held;
};

class held_connector : public http_connector
{
public:
    explicit held_connector(manual_loop &loop)
        : m_loop(loop)
    {
    }
    std::unique_ptr<http_connection> open(const endpoint &) override
    {
        return std::make_unique<held_connection>(m_loop, held);
    }
    std::vector<outcome_hook> held;

private:
    manual_loop &m_loop;
};

class recording_attempt : public pool_attempt
{
public:
    recording_attempt(std::string name, std::uint32_t rank, time_point deadline,
                      std::vector<std::string> &log)
        : m_name(std::move(name))
        , m_rank(rank)
        , m_deadline(deadline)
        , m_log(log)
    {
    }
    class_rank rank() const override { return m_rank; }
    time_point deadline() const override { return m_deadline; }
    http_request buildRequest(time_point) override { return {http_method::Post, "/run", {}, ""}; }
    duration timeout(time_point) const override { return seconds(1); }
    void onSent(time_point) override { m_log.push_back("sent " + m_name); }
    void onOutcome(http_outcome) override { m_log.push_back("done " + m_name); }
    void onReturned() override { m_log.push_back("returned " + m_name); }

private:
    std::string m_name;
    class_rank m_rank;
    time_point m_deadline;
    std::vector<std::string> &m_log;
};

} // namespace

// Guards against shares whose sum exceeds the server's limit, so that it refuses connections.
RC_GTEST_PROP(connection_share, sharesAddUpToTheLimit, ())
{
    const int count = *rc::gen::inRange(2, 12);
    const auto limit = *rc::gen::inRange<std::uint32_t>(0, 60);
    std::uint32_t sum = 0;
    for (int i = 0; i < count; ++i) {
        connection_share share(instance_id("i" + std::to_string(i)), start);
        share.updateMembers(membersUpTo(count), start);
        const std::uint32_t own = share(server_id("n1"), limit);
        RC_ASSERT(limit < static_cast<std::uint32_t>(count) || own >= 1);
        sum += own;
    }
    RC_ASSERT(sum == limit);
}

// Guards against scarce connections that go to distant instances, whose calls keep them busy for
// longer, against instances that disagree about the owners, and against shares above the server's
// limit.
TEST(connection_share, scarceConnectionsGoToTheServersDataCentreFirst)
{
    member_map members;
    for (int i = 0; i < 12; ++i) {
        member m;
        m.id = instance_id("i" + std::to_string(i));
        m.dataCentre = data_centre_id("d" + std::to_string(i % 3));
        members[m.id] = m;
    }
    const data_centre_id at("d1");
    for (const std::uint32_t limit : {3U, 6U}) {
        std::set<instance_id> withShare;
        std::vector<instance_id> owners;
        for (const auto &[id, m] : members) {
            connection_share share(id, start, seconds(10), m.dataCentre);
            share.updateMembers(members, start);
            if (share(server_id("n1"), limit, at) > 0)
                withShare.insert(id);
            owners = share.owners(server_id("n1"), limit, at);
            EXPECT_EQ(owners.size(), limit);
        }
        EXPECT_EQ(withShare, std::set<instance_id>(owners.begin(), owners.end()));
        for (std::size_t i = 0; i < owners.size(); ++i)
            EXPECT_EQ(members[owners[i]].dataCentre == at, i < 4);
    }
}

// Guards against instances in the server's region that get no connection while distant ones do, so
// that each of their requests crosses regions.
TEST(connection_share, scarceConnectionsGoToTheServersRegionNext)
{
    const auto nearness = [](const data_centre_id &a, const data_centre_id &b) {
        return a == b ? 2 : a.value().front() == b.value().front() ? 1 : 0;
    };
    member_map members;
    for (int i = 0; i < 12; ++i) {
        member m;
        m.id = instance_id("i" + std::to_string(i));
        const char *const dataCentres[] = {"a1", "a2", "b1"};
        m.dataCentre = data_centre_id(dataCentres[i % 3]);
        members[m.id] = m;
    }
    for (const auto &[id, m] : members) {
        connection_share share(id, start, seconds(10), m.dataCentre, nearness);
        share.updateMembers(members, start);
        const bool isInRegion = m.dataCentre.value().front() == 'a';
        EXPECT_EQ(share(server_id("n1"), 8, data_centre_id("a1")), isInRegion ? 1U : 0U);
    }
}

// Guards against a process that stands still for a tenth of a second at each change of an instance,
// because it looks up the proximity of each instance to each server anew.
TEST(connection_share, looksUpTheProximityOnceForEachDataCentre)
{
    constexpr int instances = 295;
    constexpr unsigned dataCentres = 6;
    member_map members;
    for (int i = 0; i < instances; ++i) {
        member m;
        m.id = instance_id("i" + std::to_string(i));
        m.dataCentre = data_centre_id("d" + std::to_string(i % dataCentres));
        members[m.id] = m;
    }
    unsigned lookups = 0;
    const auto nearness = [&lookups](const data_centre_id &a, const data_centre_id &b) {
        ++lookups;
        return a == b ? 1 : 0;
    };
    connection_share share(instance_id("i0"), start, seconds(10), data_centre_id("d0"), nearness);
    share.updateMembers(members, start);
    constexpr std::uint32_t scarce = 175;
    share(server_id("n1"), scarce, data_centre_id("d1"));
    EXPECT_LE(lookups, dataCentres + 1);
}

// Guards against shares that grow while another instance's view still counts an absent instance.
TEST(connection_share, shrinksAtOnceAndGrowsAfterTheHold)
{
    connection_share share(instance_id("i0"), start, seconds(10));
    share.updateMembers(membersUpTo(2), start);
    EXPECT_EQ(share(server_id("n"), 20), 10U);
    share.updateMembers(membersUpTo(4), start);
    EXPECT_EQ(share(server_id("n"), 20), 5U);
    share.updateMembers(membersUpTo(2), start + seconds(1));
    share.updateMembers(membersUpTo(2), start + seconds(10));
    EXPECT_EQ(share(server_id("n"), 20), 5U);
    share.updateMembers(membersUpTo(2), start + seconds(11));
    EXPECT_EQ(share(server_id("n"), 20), 10U);
}

// Guards against an instance that starts with an empty view and takes the connections of its peers.
TEST(connection_share, emptyViewTakesOneConnectionUntilTheHoldIsOver)
{
    connection_share share(instance_id("i0"), start, seconds(10));
    share.updateMembers(membersUpTo(1), start);
    EXPECT_EQ(share(server_id("n"), 20), 1U);
    share.updateMembers(membersUpTo(1), start + seconds(10));
    EXPECT_EQ(share(server_id("n"), 20), 20U);
}

// Guards against one overload that shrinks the limit once for each of its shed replies.
TEST(concurrency_limiter, shrinksOncePerOverloadAndRecovers)
{
    concurrency_limiter limiter(10);
    limiter.onShed(start);
    limiter.onShed(start);
    EXPECT_EQ(limiter.limit(), 7U);
    for (int i = 0; i < 100; ++i)
        limiter.onReply(milliseconds(10), milliseconds(30), 9, start + seconds(1));
    EXPECT_EQ(limiter.limit(), 10U);
    for (int i = 0; i < 100; ++i)
        limiter.onReply(milliseconds(90), milliseconds(30), 9, start + i * seconds(1));
    EXPECT_EQ(limiter.limit(), 1U);
}

// Guards against extra attempts that add to the load when every service is slow.
TEST(retry_budget, isAFractionOfFirstAttemptsAndShrinksWhenAllIsSlow)
{
    const auto taken = [](double slowdown) {
        retry_budget budget(0.1, 5, start);
        budget.setSlowdown(slowdown);
        budget.onFirstAttempts(1000, start);
        int count = 0;
        while (budget.tryTake(start))
            ++count;
        return count;
    };
    EXPECT_EQ(taken(1), 105);
    EXPECT_LE(taken(8), 7);
}

// Guards against less urgent or expired attempts that are sent before urgent ones.
TEST(server_pool, sendsWaitingAttemptsByRankThenDeadline)
{
    manual_loop loop;
    held_connector connector(loop);
    server_pool pool(loop, connector, {"127.0.0.1", 1});
    pool.setShare(1);
    loop.runPosted();
    std::vector<std::string> log;
    const auto submit = [&](const char *name, std::uint32_t rank, duration left) {
        pool.submit(std::make_shared<recording_attempt>(name, rank, loop.now() + left, log));
    };
    submit("first", 2, seconds(1));
    submit("low", 2, milliseconds(10));
    submit("late", 0, seconds(2));
    submit("early", 0, seconds(1));
    for (std::size_t i = 0; i < 3; ++i) {
        loop.advance(milliseconds(20));
        connector.held[i]({transport_failure::None, {200, {}, ""}});
    }
    const std::vector<std::string> expected{"sent first", "done first", "sent early",  "done early",
                                            "sent late",  "done late",  "returned low"};
    EXPECT_EQ(log, expected);
}

// Guards against more connections than the share, and against closing one with an attempt in
// flight.
TEST(server_pool, surplusConnectionsCloseWhenTheShareShrinks)
{
    manual_loop loop;
    held_connector connector(loop);
    server_pool pool(loop, connector, {"127.0.0.1", 1});
    pool.setShare(4);
    pool.setMaxInFlight(4);
    loop.runPosted();
    std::vector<std::string> log;
    for (int i = 0; i < 3; ++i)
        pool.submit(std::make_shared<recording_attempt>("a", 0, loop.now() + seconds(1), log));
    pool.setShare(1);
    EXPECT_EQ(pool.establishedCount(), 3U) << "attempts in flight keep their connections";
    for (int i = 0; i < 3; ++i)
        connector.held[i]({transport_failure::None, {200, {}, ""}});
    EXPECT_EQ(pool.establishedCount(), 1U);
}
