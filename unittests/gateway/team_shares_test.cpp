#include "shared_shards.h"

#include <algorithm>
#include <gtest/gtest.h>

using namespace peridotwheel;

// Guards against a division that is not max-min fair, or admits another share than it is given.
TEST(team_shares, dividesByMaxMinFairness)
{
    EXPECT_DOUBLE_EQ(fairTeamWork(0.5, {1, 1, 8}), 3);
    EXPECT_DOUBLE_EQ(fairTeamWork(0.2, {1, 1, 8}), 2.0 / 3);
    EXPECT_DOUBLE_EQ(fairTeamWork(1, {1, 1, 8}), 8);
    EXPECT_DOUBLE_EQ(fairTeamWork(0.25, {4}), 1);
    EXPECT_DOUBLE_EQ(fairTeamWork(0.5, {}), 0);
}

// Guards against state that grows with the number of teams that have ever asked.
TEST(team_shares, boundsItsState)
{
    team_shares shares;
    time_point now(seconds(100));
    for (int i = 0; i < 3000; ++i)
        shares.add(class_rank(0), team_name(std::to_string(i)), milliseconds(10), 0.5, now);
    EXPECT_LE(shares.teams(), team_shares::maxTeams + 1);
    now += seconds(60);
    shares.add(class_rank(0), team_name("new"), milliseconds(10), 0.5, now);
    EXPECT_EQ(shares.teams(), 1U);
}

namespace {

constexpr std::size_t teamCount = 20;
constexpr double hotFactor = 8;
constexpr double slowSpeed = 0.6;
/// Load by the teams' usual queries, as a share of the capacity of servers at their full speed.
constexpr double usualLoad = 0.7;
/// Least share of what a team gets without a hot team that it keeps beside one.
constexpr double required = 0.95;
/// By how much the mean of the worst tenth of the teams may be below that of all.
constexpr double tolerated = 0.05;

double mean(const std::vector<double> &values, std::size_t count)
{
    double sum = 0;
    for (std::size_t i = 0; i < count; ++i)
        sum += values[i];
    return sum / static_cast<double>(count);
}

/// Checks the served shares of the teams, the first of which is the hot one in \p beside.
void expectKept(const std::vector<double> &alone, const std::vector<double> &beside)
{
    std::vector<double> kept;
    for (std::size_t t = 1; t < alone.size(); ++t)
        kept.push_back(beside[t] / alone[t]);
    EXPECT_GE(*std::min_element(kept.begin(), kept.end()), required)
            << "mean " << mean(kept, kept.size());
}

void expectEven(const std::vector<double> &beside)
{
    std::vector<double> others(beside.begin() + 1, beside.end());
    std::sort(others.begin(), others.end());
    EXPECT_GE(mean(others, others.size() / 10 + 1), mean(others, others.size()) - tolerated);
}

/// Returns the shares of the teams' queries that are admitted if the instance may admit \p capacity
/// times the usual queries, each with \p perSecond queries a second at random.
std::vector<double> admittedShares(double capacity, double perSecond, double hotTeam)
{
    random_source random(7);
    team_shares shares;
    std::vector<double> offered(teamCount);
    std::vector<double> admitted(teamCount);
    const double all = teamCount + hotTeam - 1;
    constexpr duration length = seconds(600);
    const duration step = scaled(seconds(1), 1 / (all * perSecond));
    const time_point start(seconds(1000));
    for (time_point now = start; now < start + length; now += step) {
        const double drawn = random.fraction() * all;
        const std::size_t team =
                drawn < hotTeam ? 0 : static_cast<std::size_t>(drawn - hotTeam) + 1;
        const double chance =
                shares.add(class_rank(0), team_name(std::to_string(team)), milliseconds(20),
                           std::min(capacity * teamCount / all, 1.0), now);
        offered[team] += 1;
        admitted[team] += chance;
    }
    for (std::size_t t = 0; t < teamCount; ++t)
        admitted[t] /= offered[t];
    return admitted;
}

} // namespace

// One team at eight times its usual load cost all others the same share of their queries.
TEST(team_shares, leavesOtherTeamsWhatTheyHadBesideAHotOne)
{
    constexpr double capacity = slowSpeed / usualLoad;
    for (const double perSecond : {2.0, 5.0, 15.0}) {
        SCOPED_TRACE(testing::Message() << perSecond << " queries a second by each team");
        const std::vector<double> beside = admittedShares(capacity, perSecond, hotFactor);
        expectKept(admittedShares(capacity, perSecond, 1), beside);
        expectEven(beside);
    }
}

// Guards against shares that lie idle because a team does not ask for its own.
TEST(team_shares, givesUnusedSharesToTheHotTeam)
{
    const std::vector<double> admitted = admittedShares(1.2, 5, hotFactor);
    double used = 0;
    for (std::size_t t = 0; t < teamCount; ++t)
        used += admitted[t] * (t == 0 ? hotFactor : 1);
    EXPECT_GE(used, 0.95 * 1.2 * teamCount);
    EXPECT_GE(admitted[0], 0.5);
}

namespace {

/// Two classes with the targets of the other simulated overloads.
shards_spec shardsWithTeams(int instances)
{
    shards_spec spec;
    spec.instances = instances;
    constexpr double workMs = 20;
    spec.classes = {{class_rank(0), workMs / 3, milliseconds(100), 0.25},
                    {class_rank(1), workMs, milliseconds(200), 0.75}};
    spec.teams = teamCount;
    return spec;
}

/// Returns the share of its queries that each team gets answered in time on slow servers. Several
/// long runs are added up, so that chance changes the share of a team by some 0.01 only.
std::vector<double> servedShares(int instances, double hotTeam)
{
    std::vector<double> served(teamCount);
    std::vector<double> offered(teamCount);
    for (const std::uint64_t seed : {7U, 1U, 2U}) {
        shared_shards shards(shardsWithTeams(instances), seed);
        shards.slowDown(1, 1 / slowSpeed);
        shards.setHotTeam(hotTeam);
        shards.play(usualLoad, seconds(6));
        shards.resetCounts();
        shards.play(usualLoad, seconds(120));
        shards.finish();
        for (std::size_t t = 0; t < teamCount; ++t) {
            served[t] += shards.teamCounts()[t].inTarget;
            offered[t] += shards.teamCounts()[t].offered;
        }
    }
    for (std::size_t t = 0; t < teamCount; ++t)
        served[t] /= offered[t];
    return served;
}

} // namespace

TEST(fair_sharing, keepsTeamsWholeOnOneInstance)
{
    const std::vector<double> beside = servedShares(1, hotFactor);
    expectKept(servedShares(1, 1), beside);
    expectEven(beside);
}

TEST(fair_sharing, keepsTeamsWholeOnNineInstances)
{
    expectKept(servedShares(9, 1), servedShares(9, hotFactor));
}

TEST(fair_sharing, keepsTeamsWholeOnManyInstances)
{
    expectKept(servedShares(84, 1), servedShares(84, hotFactor));
}

TEST(fair_sharing, servesTeamsEvenlyOnNineInstances)
{
    expectEven(servedShares(9, hotFactor));
}

TEST(fair_sharing, servesTeamsEvenlyOnManyInstances)
{
    expectEven(servedShares(84, hotFactor));
}

// Guards against a division among teams that goes on when nothing is restricted.
TEST(fair_sharing, refusesNoTeamWhileTheShareIsWhole)
{
    class_spec spec;
    spec.latencyTarget = milliseconds(200);
    admission_share share({{class_name("only"), spec}});
    time_point now(seconds(100));
    for (std::uint64_t i = 0; i < 3000; ++i) {
        const team_name team(i % 10 == 0 ? "usual" : "hot");
        ASSERT_TRUE(share.admit(class_rank(0), team, milliseconds(20), 0.999, now)) << i;
        share.onQueryEnded({query_number(i), milliseconds(20), milliseconds(1), 0}, now);
        now += milliseconds(2);
    }
    EXPECT_EQ(share.teams(), 0U);
}

// Guards against a hot team that is refused although it takes nothing from the others.
TEST(fair_sharing, refusesNothingWhileSlotsAreFree)
{
    shared_shards shards(shardsWithTeams(9));
    shards.setHotTeam(hotFactor);
    shards.play(0.4, seconds(20));
    shards.finish();
    EXPECT_LE(shards.refusedShare(), 0.001);
}
