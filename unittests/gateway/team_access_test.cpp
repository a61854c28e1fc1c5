#include "gateway_fixture.h"
#include "lib/gateway/metrics_text.h"
#include "lib/gateway/team_directory.h"

#include <gmock/gmock.h>

using testing::HasSubstr;
using testing::Not;

namespace peridotwheel {

namespace {

constexpr const char *goldKey = "key-of-gold";
constexpr const char *northKey = "key-of-north";

team_ptr makeTeam(const std::string &name, const std::vector<std::string> &keys,
                  const home_regions &homes = {})
{
    auto team = std::make_shared<team_spec>();
    team->name = team_name(name);
    team->keys = keys;
    team->homes = homes;
    return team;
}

} // namespace

/// A gateway in front of servers in three data centres, each in a region of its own.
class team_access_test : public gateway_fixture
{
protected:
    team_access_test()
        : gateway_fixture(options())
    {
    }

    static gateway_options options()
    {
        gateway_options o = defaultOptions();
        o.regions = {{data_centre_id("near"), region_id("north")},
                     {data_centre_id("far"), region_id("south")},
                     {data_centre_id("farther"), region_id("east")}};
        o.secret = 7;
        return o;
    }

    /// Puts a configuration with the \p teams into force. \p change is applied to each route.
    void startWith(
            std::uint64_t version, std::optional<std::vector<team_ptr>> teams,
            const std::function<void(route &)> &change = [](route &) {})
    {
        route_configuration c = configuration(version);
        c.teams = std::move(teams);
        for (auto &r : c.routes) {
            auto changed = std::make_shared<route>(*r);
            change(*changed);
            r = changed;
        }
        member self;
        self.id = instance_id("self");
        gate.setInstances({{self.id, self}});
        gate.setServers(servers);
        gate.setRoutes(std::make_shared<route_table>(c));
        loop.advance(seconds(1));
    }

    std::shared_ptr<fake_client> sendWithKey(const std::string &target, const std::string &id,
                                             const std::string &key)
    {
        auto client = std::make_shared<fake_client>();
        opaque_request request;
        request.method = "GET";
        request.target = target;
        request.headers = {{"Host", "host.example"}, {"Id", id}, {"Key", key}};
        gate.handle(request, client);
        loop.advance(milliseconds(500));
        return client;
    }

    /// Returns the replicas of the service "plain" that requests reached.
    std::vector<std::size_t> reachedReplicas()
    {
        std::vector<std::size_t> reached;
        for (std::size_t r = 0; r < replicas; ++r) {
            if (!plainServer(r).arrived.empty())
                reached.push_back(r);
        }
        return reached;
    }
};

// Guards against requests that run although no configuration ever held their key.
TEST_F(team_access_test, servesOnlyRequestsWithAKeyInForce)
{
    startWith(1, std::vector<team_ptr>{makeTeam("gold", {goldKey})});
    EXPECT_EQ(statusOf(sendWithKey("/one/", "r1", goldKey)), 200);
    EXPECT_EQ(statusOf(sendWithKey("/one/", "r2", "key-of-nobody")), 401);
    EXPECT_EQ(statusOf(sendWithKey("/one/", "r3", "key-of-gol")), 401);
    EXPECT_EQ(statusOf(send("/one/", "r4")), 401);
    EXPECT_EQ(statusOf(sendWithKey("/unknown/", "r5", "key-of-nobody")), 404);
    EXPECT_EQ(backends.runs("r2") + backends.runs("r3") + backends.runs("r4"), 0U);
}

// Guards against a key that is served after its withdrawal, or refused after it was added.
TEST_F(team_access_test, appliesAddedAndWithdrawnKeysWithTheirVersion)
{
    startWith(1, std::vector<team_ptr>{makeTeam("gold", {goldKey, "second"})});
    EXPECT_EQ(statusOf(sendWithKey("/one/", "r1", "second")), 200);
    startWith(2, std::vector<team_ptr>{makeTeam("gold", {goldKey, "third"})});
    EXPECT_EQ(statusOf(sendWithKey("/one/", "r2", "second")), 401);
    EXPECT_EQ(statusOf(sendWithKey("/one/", "r3", "third")), 200);
    startWith(3, std::vector<team_ptr>{});
    EXPECT_EQ(statusOf(sendWithKey("/one/", "r4", goldKey)), 401);
    startWith(4, std::nullopt);
    EXPECT_EQ(statusOf(sendWithKey("/one/", "r5", "anything")), 200);
}

// Guards against public routes that ask for a key.
TEST_F(team_access_test, servesPublicRoutesWithAnyKey)
{
    startWith(1, std::vector<team_ptr>{makeTeam("gold", {goldKey})},
              [](route &r) { r.isPublic = true; });
    const auto anonymous = send("/one/", "r1");
    loop.advance(milliseconds(500));
    EXPECT_EQ(statusOf(anonymous), 200);
    EXPECT_EQ(statusOf(sendWithKey("/one/", "r2", "key-of-nobody")), 200);
    EXPECT_EQ(statusOf(sendWithKey("/one/", "r3", goldKey)), 200);
}

// Guards against counts that mix teams up, and against a page that grows with their number.
TEST_F(team_access_test, countsTheRequestsOfEachTeam)
{
    startWith(1, std::vector<team_ptr>{makeTeam("gold", {goldKey}),
                                       makeTeam("north", {northKey}, {region_id("nowhere")})});
    for (int i = 0; i < 3; ++i)
        sendWithKey("/one/", "g" + std::to_string(i), goldKey);
    sendWithKey("/one/", "n1", northKey);
    sendWithKey("/one/", "u1", "key-of-nobody");
    EXPECT_EQ(metricsText(counter_set(), gate.busiestTeams(20)),
              "team.gold.offered 3\nteam.gold.admitted 3\nteam.gold.refused 0\n"
              "team.north.offered 1\nteam.north.admitted 1\nteam.north.refused 1\n");
    EXPECT_EQ(gate.busiestTeams(1).size(), 1U);
    startWith(2, std::vector<team_ptr>{makeTeam("north", {northKey})});
    ASSERT_EQ(gate.busiestTeams(20).size(), 1U);
    EXPECT_EQ(gate.busiestTeams(20).front().first, team_name("north"));
}

// Guards against keys in logs.
TEST_F(team_access_test, logsNoKey)
{
    startWith(1, std::vector<team_ptr>{makeTeam("gold", {goldKey})});
    sendWithKey("/one/", "r1", goldKey);
    sendWithKey("/one/", "r2", "key-of-nobody");
    log.flush();
    EXPECT_THAT(logText, HasSubstr("no_valid_key"));
    EXPECT_THAT(logText, Not(HasSubstr("key-of")));
}

// Guards against a request that reaches a server outside its homes, also by a second attempt or a
// retry while the servers at home fail.
TEST_F(team_access_test, keepsAllAttemptsInTheHomesOfTheRoute)
{
    startWith(1, std::nullopt, [](route &r) { r.homes = {region_id("south"), region_id("east")}; });
    plainServer(1).behaviour = server_behaviour::Reset;
    plainServer(2).behaviour = server_behaviour::Fail;
    for (int i = 0; i < 30; ++i)
        sendWithKey("/one/", "r" + std::to_string(i), "");
    EXPECT_THAT(reachedReplicas(), testing::ElementsAre(1, 2));
}

// An attempt that waited for a server was sent there after the server had moved to another region.
TEST_F(team_access_test, sendsNoWaitingAttemptToAServerThatLeavesTheHomes)
{
    startWith(1, std::nullopt, [](route &r) { r.homes = {region_id("north")}; });
    plainServer(0).work = milliseconds(100);
    for (int i = 0; i < 60; ++i)
        send("/one/", "r" + std::to_string(i));
    loop.advance(milliseconds(10));
    const std::size_t before = plainServer(0).arrived.size();
    servers.at(server_id("server-" + std::to_string(plainPort(0)))).dataCentre =
            data_centre_id("far");
    gate.setServers(servers);
    loop.advance(seconds(2));
    EXPECT_EQ(plainServer(0).arrived.size(), before);
}

// Guards against a team whose requests leave its regions on a route without homes.
TEST_F(team_access_test, appliesTheHomesOfRouteAndTeam)
{
    startWith(1,
              std::vector<team_ptr>{makeTeam("gold", {goldKey}),
                                    makeTeam("north", {northKey}, {region_id("north")})},
              [](route &r) {
                  if (r.prefix == "/once/")
                      r.homes = {region_id("south")};
              });
    EXPECT_EQ(statusOf(sendWithKey("/one/", "r1", northKey)), 200);
    EXPECT_THAT(reachedReplicas(), testing::ElementsAre(0));
    EXPECT_EQ(statusOf(sendWithKey("/once/", "r2", goldKey)), 200);
    EXPECT_THAT(reachedReplicas(), testing::ElementsAre(0, 1));
    // Route and team have no home in common.
    EXPECT_EQ(statusOf(sendWithKey("/once/", "r3", northKey)), 503);
    EXPECT_EQ(backends.runs("r3"), 0U);
}

// Guards against a request that waits for its deadline although no home server is left.
TEST_F(team_access_test, refusesAtOnceWithoutAServerAtHome)
{
    startWith(1, std::nullopt, [](route &r) { r.homes = {region_id("west")}; });
    for (const char *target : {"/one/", "/all/"}) {
        const auto client = send(target, "r");
        EXPECT_EQ(statusOf(client), 503) << target;
        EXPECT_NE(client->replies.at(0).header("Retry-After-Ms"), nullptr) << target;
    }
    EXPECT_EQ(backends.arrivals(), 0U);
}

// Guards against a key that finds the team of another key, and against keys that are refused
// because they are long or contain a blank or a comma.
TEST(team_directory, findsExactKeysOnly)
{
    const std::string longKey(5000, 'k');
    const team_directory directory(
            {makeTeam("a", {"one", longKey, "a, b"}), makeTeam("b", {"two", "one"})},
            digest_seed(3));
    EXPECT_EQ(directory.find("one")->name, team_name("a"));
    EXPECT_EQ(directory.find("two")->name, team_name("b"));
    EXPECT_NE(directory.find(longKey), nullptr);
    EXPECT_NE(directory.find("a, b"), nullptr);
    for (const std::string &key :
         {std::string("on"), std::string("onee"), std::string("One"), std::string(),
          std::string("one\0", 4), longKey + "k", longKey.substr(1), std::string("one, two")})
        EXPECT_EQ(directory.find(key), nullptr) << key.size();
}

// Guards against requests that run although the configuration states their route or their team
// incompletely, and against others that are refused with them.
TEST_F(team_access_test, refusesOnlyRequestsOfUnusableEntries)
{
    auto unusable = std::make_shared<team_spec>(*makeTeam("silver", {northKey}));
    unusable->unusableReason = "tenant 'silver' has no valid 'ratePerS'";
    startWith(1, std::vector<team_ptr>{makeTeam("gold", {goldKey}), unusable}, [](route &r) {
        if (r.prefix == "/once/")
            r.unusableReason = "route has no valid 'timeoutMs'";
    });
    EXPECT_EQ(statusOf(sendWithKey("/one/", "r1", goldKey)), 200);
    for (const auto &client :
         {sendWithKey("/one/", "r2", northKey), sendWithKey("/once/", "r3", goldKey)}) {
        EXPECT_EQ(statusOf(client), 503);
        EXPECT_NE(client->replies.at(0).header("Retry-After-Ms"), nullptr);
    }
    EXPECT_EQ(backends.runs("r2") + backends.runs("r3"), 0U);
    EXPECT_THAT(logText, HasSubstr("reason=unusable_configuration"));
}

} // namespace peridotwheel
