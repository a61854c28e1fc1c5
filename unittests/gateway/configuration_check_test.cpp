#include "peridotwheel/gateway/configuration_check.h"

#include <gmock/gmock.h>

using namespace peridotwheel;
using testing::AllOf;
using testing::ElementsAre;
using testing::HasSubstr;
using testing::IsEmpty;
using testing::Not;

namespace {

const service_name plain("plain");

std::shared_ptr<route> makeRoute(const char *name, const char *prefix)
{
    auto r = std::make_shared<route>();
    r->name = route_name(name);
    r->host = "a.example";
    r->prefix = prefix;
    r->services = {{plain, 1}};
    return r;
}

std::shared_ptr<team_spec> makeTeam(const char *name, std::vector<std::string> keys)
{
    auto team = std::make_shared<team_spec>();
    team->name = team_name(name);
    team->keys = std::move(keys);
    return team;
}

std::shared_ptr<route> makeGather(double minCoverage, std::vector<service_name> shards)
{
    auto r = makeRoute("all", "/all/");
    r->services.clear();
    r->gather = gather_spec{std::move(shards), 5, minCoverage};
    return r;
}

class configuration_check_test : public testing::Test
{
protected:
    configuration_check_test() { next.services[plain] = {}; }

    std::vector<std::string> errors() const
    {
        return configuration_check(std::set<region_id>{region_id("north")}).check(next).errors;
    }

    route_configuration next;
};

} // namespace

// Guards against false alarms: a correct configuration made the command fail in scripts.
TEST_F(configuration_check_test, acceptsACorrectConfiguration)
{
    auto home = makeRoute("home", "/a/b/");
    home->homes = {region_id("north")};
    auto other = makeRoute("other", "/a/");
    other->host = "b.example";
    next.routes = {makeRoute("a", "/a/"), home, other, makeGather(1, {plain})};
    next.teams = {makeTeam("x", {"k1", "k2"}), makeTeam("y", {"k3"})};
    EXPECT_THAT(errors(), IsEmpty());
}

// A route that was added below an equal one never got a request.
TEST_F(configuration_check_test, reportsRoutesThatNeverMatch)
{
    auto upper = makeRoute("upper", "/a/");
    upper->host = "A.example";
    next.routes = {makeRoute("a", "/a/"), upper, makeRoute("empty", ""), makeRoute("root", "/"),
                   makeRoute("query", "/q?x=")};
    EXPECT_THAT(errors(), ElementsAre(HasSubstr("'upper' never matches: route 'a'"),
                                      HasSubstr("'empty' never matches: route 'root'"),
                                      HasSubstr("'query' never matches: no path")));
}

// A misspelt service was found only when its requests were refused.
TEST_F(configuration_check_test, reportsServicesThatAreMissingUnusedOrRepeated)
{
    next.services[service_name("idle")] = {};
    next.routes = {makeRoute("a", "/a/"), makeGather(1, {service_name("s1"), plain, plain})};
    const auto report = configuration_check(std::nullopt).check(next);
    EXPECT_THAT(report.errors,
                ElementsAre(HasSubstr("'s1', which 'services' lacks"), HasSubstr("'plain' twice")));
    EXPECT_THAT(report.notes, ElementsAre(HasSubstr("no route uses the service 'idle'")));
}

// Each of these limits was accepted and had no effect, or another one than its author meant.
TEST_F(configuration_check_test, reportsLimitsThatContradictEachOther)
{
    auto slow = makeRoute("slow", "/slow/");
    slow->target = slow->timeout + milliseconds(1);
    next.services[service_name("s1")] = {};
    next.routes = {slow, makeGather(0.6, {plain, service_name("s1")})};
    auto team = makeTeam("x", {"k1"});
    team->hasBurstWithoutRate = true;
    next.teams = {team};
    EXPECT_THAT(errors(),
                ElementsAre(HasSubstr("target of 1001 ms, over its timeout of 1000 ms"),
                            HasSubstr("only all of its 2 shards"), HasSubstr("burst but no")));
    next.routes = {makeGather(0.5, {plain, service_name("s1")})};
    next.teams.reset();
    EXPECT_THAT(errors(), IsEmpty());
}

// Two teams shared a key, so that one was counted as the other; the key must not be printed.
TEST_F(configuration_check_test, reportsSharedKeysByTeamOnly)
{
    next.routes = {makeRoute("a", "/a/")};
    next.teams = {makeTeam("x", {"secret-1", "secret-2"}), makeTeam("y", {"secret-2", "secret-1"})};
    EXPECT_THAT(errors(), ElementsAre(AllOf(HasSubstr("'x' and team 'y' hold the same key"),
                                            Not(HasSubstr("secret")))));
}

// A misspelt region left a route without any server.
TEST_F(configuration_check_test, reportsHomesThatNoRegionHas)
{
    auto r = makeRoute("a", "/a/");
    r->homes = {region_id("nord"), region_id("north")};
    auto team = makeTeam("x", {"k"});
    team->homes = {region_id("soth")};
    next.routes = {r};
    next.teams = {team};
    EXPECT_THAT(errors(), ElementsAre(AllOf(HasSubstr("route 'a'"), HasSubstr("'nord'")),
                                      AllOf(HasSubstr("team 'x'"), HasSubstr("'soth'"))));
    EXPECT_THAT(configuration_check(std::nullopt).check(next).errors, IsEmpty());
}

// A version that does not rise is ignored by the gateways without a word to its author.
TEST_F(configuration_check_test, reportsAVersionThatDoesNotRise)
{
    next.routes = {makeRoute("a", "/a/")};
    next.version = configuration_version(3);
    const auto report = configuration_check(std::nullopt).check(next, next);
    EXPECT_THAT(report.errors, ElementsAre(HasSubstr("version 3 is not above 3")));
    EXPECT_THAT(report.notes, IsEmpty());
}

// A difference that is not listed goes into force unseen; keys must not be printed.
TEST_F(configuration_check_test, listsTheDifferencesFromTheVersionInForce)
{
    route_configuration old = next;
    old.routes = {makeRoute("a", "/a/"), makeRoute("gone", "/gone/")};
    old.teams = {makeTeam("x", {"secret-1"})};
    next.version = configuration_version(1);
    next.services[plain].maxConnections = 9;
    next.limits.message.maxBodyBytes += 1;
    auto changed = makeRoute("a", "/a/");
    changed->isPublic = true;
    next.routes = {changed, makeRoute("added", "/added/")};
    next.teams = {makeTeam("x", {"secret-2", "secret-3"}), makeTeam("y", {"k"})};
    const auto notes = configuration_check(std::nullopt).check(next, old).notes;
    EXPECT_THAT(notes,
                ElementsAre("route 'a' changes", "route 'added' is new", "route 'gone' is removed",
                            "service 'plain' changes", "team 'y' is new",
                            "team 'x': 2 keys added, 1 withdrawn", "the limits change"));
}
