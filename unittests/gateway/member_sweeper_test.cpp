#include "lib/gateway/member_sweeper.h"
#include "peridotwheel/support/manual_loop.h"

#include <gtest/gtest.h>
#include <set>

using namespace peridotwheel;

namespace {

class member_sweeper_test : public testing::Test
{
protected:
    member_sweeper_test()
    {
        for (const char *name : {"self", "lost", "living"})
            members.emplace(instance_id(name), memberOf(name, "here"));
        members.emplace(instance_id("elsewhere"), memberOf("elsewhere", "there"));
        sweeper.setMembers(members);
    }

    static member memberOf(const std::string &name, const std::string &dataCentre)
    {
        member m;
        m.id = instance_id(name);
        m.dataCentre = data_centre_id(dataCentre);
        return m;
    }

    manual_loop loop;
    member_map members;
    std::set<std::string> silent;
    std::vector<std::string> removed;
    unsigned probes = 0;
    member_sweeper sweeper{loop,
                           memberOf("self", "here"),
                           {[this](const member &m, const std::function<void(bool)> &done) {
                                ++probes;
                                done(silent.count(m.id.value()) == 0);
                            },
                            [this](const member &m) { removed.push_back(m.id.value()); }}};
};

} // namespace

// Entries of crashed instances were never removed: each reduced the shares of connections and of
// extra attempts of all others.
TEST_F(member_sweeper_test, removesAnInstanceThatNeverAnswers)
{
    silent = {"lost", "elsewhere"};
    sweeper.setActive(true);
    loop.advance(member_sweeper::probeInterval * (member_sweeper::failuresUntilRemoval - 1));
    EXPECT_TRUE(removed.empty());
    loop.advance(member_sweeper::probeInterval);
    ASSERT_EQ(removed.size(), 1U);
    EXPECT_EQ(removed[0], "lost");
}

// A restart or a short network partition must not cost an instance its entry.
TEST_F(member_sweeper_test, keepsAnInstanceThatAnswersAgain)
{
    sweeper.setActive(true);
    for (int i = 0; i < 5; ++i) {
        silent = {"lost"};
        loop.advance(member_sweeper::probeInterval * (member_sweeper::failuresUntilRemoval - 1));
        silent.clear();
        loop.advance(member_sweeper::probeInterval);
    }
    EXPECT_TRUE(removed.empty());
}

// With thousands of instances, only a few may probe all others of their data centre.
TEST_F(member_sweeper_test, probesOnlyWhileActive)
{
    loop.advance(10 * member_sweeper::probeInterval);
    EXPECT_EQ(probes, 0U);
    sweeper.setActive(true);
    loop.advance(member_sweeper::probeInterval);
    EXPECT_EQ(probes, 2U);
    sweeper.setActive(false);
    loop.advance(10 * member_sweeper::probeInterval);
    EXPECT_EQ(probes, 2U);
}
