#include "fixtures/fake_platform.h"
#include "peridotwheel/counters/counter_set.h"
#include "peridotwheel/gateway/cluster_view.h"
#include "peridotwheel/gateway/decision_log.h"
#include "peridotwheel/support/manual_loop.h"
#include "peridotwheel/support/random_source.h"
#include "scripted_store.h"

#include <gtest/gtest.h>
#include <sstream>

using namespace peridotwheel;

namespace {

/// A view whose configurations are version numbers, followed by "without lists" if they have no
/// readable routes and services, and whose servers are "SERVICE" or "leaving", with the number of
/// the report and the start of the server if they matter.
class cluster_view_test : public testing::Test
{
protected:
    cluster_view_test()
        : log(loop, "test", [](std::string_view text) { return text.size(); })
        , view(loop, store, counters, log, 1, seconds(3),
               {"config", "main", "servers", "evacuations", &readNumber, &readName},
               {[this](const route_table_ptr &routes) {
                    versions.push_back(routes->version().value());
                    inForce = routes;
                },
                [this](const backend_map &servers) { present = servers; }})
    {
    }

    static result<route_configuration> readNumber(const platform_object &object)
    {
        if (object.value.empty() || object.value[0] < '0' || object.value[0] > '9')
            return failure(error_kind::InvalidArgument, "not a number");
        route_configuration c;
        c.version = configuration_version(std::stoul(object.value));
        c.hasRoutes = object.value.find("without lists") == std::string::npos;
        c.hasServices = c.hasRoutes;
        if (c.hasRoutes) {
            c.routes = {std::make_shared<route>()};
            c.services = {{service_name("s0"), {}}};
        } else {
            c.teams.emplace();
            c.defects = {"no routes", "no services"};
        }
        return c;
    }

    static result<backend_record> readName(const platform_object &object)
    {
        if (object.value.empty())
            return failure(error_kind::InvalidArgument, "empty");
        backend_record record;
        record.id = server_id(object.key.name);
        std::istringstream in(object.value);
        std::string service;
        std::uint64_t report = 0;
        std::uint64_t start = 0;
        in >> service >> report >> start;
        record.service = service_name(service);
        record.draining = service == "leaving";
        record.report = report_number(report);
        record.start = start_id(start);
        return record;
    }

    bool isKnown(const std::string &id) const { return present.count(server_id(id)) != 0; }
    /// Writes so much that revisions of the copy's successors are given out twice.
    void writeMuch()
    {
        constexpr int writes = 30;
        for (int i = 0; i < writes; ++i)
            store.write("servers", "busy", "s0");
    }

    manual_loop loop;
    counter_set counters;
    decision_log log;
    scripted_store store{loop};
    std::vector<std::uint64_t> versions;
    route_table_ptr inForce;
    backend_map present;
    cluster_view view;
};

} // namespace

TEST_F(cluster_view_test, followsTheStore)
{
    store.write("config", "main", "7");
    store.write("servers", "a", "s0");
    view.setWatching(true);
    loop.advance(seconds(1));
    EXPECT_EQ(versions, std::vector<std::uint64_t>{7});
    EXPECT_TRUE(isKnown("a"));
    store.write("servers", "a", "leaving");
    loop.advance(seconds(1));
    EXPECT_TRUE(present.at(server_id("a")).draining);
    store.erase("servers", "a");
    loop.advance(seconds(1));
    EXPECT_FALSE(isKnown("a"));
}

// Stale reads, slow peers and reordered answers deliver older documents; none of them may replace a
// newer configuration.
TEST_F(cluster_view_test, neverReturnsToAnOlderConfiguration)
{
    store.write("config", "main", "9");
    view.setWatching(true);
    loop.advance(seconds(1));
    store.write("config", "main", "8");
    loop.advance(seconds(1));
    view_snapshot old;
    old.configuration = platform_object{{"config", "main"}, object_version(99), "3"};
    view.merge(old);
    EXPECT_EQ(versions, std::vector<std::uint64_t>{9});
}

// Guards against keys that stay valid because the version that withdraws them has no readable list
// of routes, and against routes that are lost with that list.
TEST_F(cluster_view_test, keepsTheRoutesOfAVersionWithoutAList)
{
    view.setWatching(true);
    store.write("config", "main", "6 without lists");
    loop.advance(seconds(1));
    EXPECT_TRUE(versions.empty()) << "there is nothing to serve";
    store.write("config", "main", "7");
    loop.advance(seconds(1));
    store.write("config", "main", "8 without lists");
    loop.advance(seconds(1));
    EXPECT_EQ(versions, (std::vector<std::uint64_t>{7, 8}));
    EXPECT_TRUE(inForce->teams().has_value());
    EXPECT_EQ(inForce->routes().size(), 1U);
    EXPECT_NE(inForce->service(service_name("s0")), nullptr);
    EXPECT_EQ(counters.at("configuration.defects").value(), 2U);
}

// A malformed entry is skipped; it must not affect the valid ones.
TEST_F(cluster_view_test, leavesOutMalformedEntries)
{
    store.write("servers", "bad", "");
    store.write("servers", "good", "s0");
    store.write("config", "other", "12");
    store.write("config", "main", "no number");
    view.setWatching(true);
    loop.advance(seconds(1));
    EXPECT_FALSE(isKnown("bad"));
    EXPECT_TRUE(isKnown("good"));
    EXPECT_TRUE(versions.empty());
}

// When an entry becomes malformed, the server of its former content must not stay in use.
TEST_F(cluster_view_test, dropsAServerWhoseEntryBecomesMalformed)
{
    store.write("servers", "a", "s0");
    view.setWatching(true);
    loop.advance(seconds(1));
    store.write("servers", "a", "");
    loop.advance(seconds(1));
    EXPECT_FALSE(isKnown("a"));
}

// Entries expire during an outage of the store although their servers still run. Such servers must
// stay in use until they have had time to register again.
TEST_F(cluster_view_test, keepsServersThatAreMissingRightAfterAnOutage)
{
    store.write("servers", "back", "s0");
    store.write("servers", "gone", "s0");
    view.setWatching(true);
    loop.advance(seconds(1));
    store.unavailable = true;
    loop.advance(seconds(5));
    store.erase("servers", "back");
    store.erase("servers", "gone");
    store.compactedBefore = store.revision;
    store.unavailable = false;
    loop.advance(seconds(2));
    EXPECT_TRUE(isKnown("back"));
    store.write("servers", "back", "s0");
    loop.advance(seconds(2));
    EXPECT_TRUE(isKnown("back"));
    EXPECT_FALSE(isKnown("gone"));
}

// Without a preceding outage a removal is final and applies at once: the server may only serve for
// a moment longer.
TEST_F(cluster_view_test, removesAServerAtOnceWithoutAnOutage)
{
    store.write("servers", "a", "s0");
    view.setWatching(true);
    loop.advance(seconds(1));
    store.erase("servers", "a");
    loop.advance(milliseconds(700));
    EXPECT_FALSE(isKnown("a"));
}

// The store has compacted its history: a server that began to drain or was removed in the gap shows
// only in a new list.
TEST_F(cluster_view_test, listsAgainWhenTheHistoryIsCompacted)
{
    store.write("servers", "a", "s0");
    store.write("servers", "b", "s0");
    view.setWatching(true);
    loop.advance(seconds(1));
    store.write("servers", "a", "leaving");
    store.erase("servers", "b");
    store.removals.clear();
    store.compactedBefore = store.revision;
    loop.advance(seconds(1));
    EXPECT_TRUE(present.at(server_id("a")).draining);
    EXPECT_FALSE(isKnown("b"));
}

// The store may lose the answer to a watch on a connection that stays open. A change must be
// applied within 3 s nevertheless.
TEST_F(cluster_view_test, appliesAChangeInTimeAlthoughAWatchIsLost)
{
    store.write("servers", "a", "s0");
    view.setWatching(true);
    loop.advance(seconds(1));
    store.dropsReplies = true;
    loop.advance(milliseconds(400));
    store.write("servers", "a", "leaving");
    store.dropsReplies = false;
    loop.advance(milliseconds(2900));
    EXPECT_TRUE(present.at(server_id("a")).draining);
}

// A configuration may name a new set of shards before this instance has received the entries of
// their servers. Repeated requests to list them again cause one read.
TEST_F(cluster_view_test, readsTheServersAgainWhenAServiceHasNone)
{
    view.setWatching(true);
    loop.advance(seconds(1));
    const int before = store.listCalls;
    view.refreshServers("test");
    view.refreshServers("test");
    loop.advance(milliseconds(100));
    EXPECT_EQ(store.listCalls, before + 1);
}

// While the store rejects this instance's calls, other instances may have a newer view.
TEST_F(cluster_view_test, mergesANewerViewOfAnotherInstance)
{
    view_snapshot other;
    other.configuration = platform_object{{"config", "main"}, object_version(50), "5"};
    other.serversRevision = object_version(60);
    other.servers = {{{"servers", "a"}, object_version(55), "s0"}};
    other.age = milliseconds(300);
    loop.advance(seconds(10));
    view.merge(other);
    EXPECT_EQ(versions, std::vector<std::uint64_t>{5});
    EXPECT_TRUE(isKnown("a"));
    EXPECT_EQ(view.age(), milliseconds(300));
    view_snapshot older;
    older.serversRevision = object_version(40);
    view.merge(older);
    EXPECT_TRUE(isKnown("a"));
}

// An instance that starts to watch because no peer supplied a view has missed an outage, although
// none of its own reads failed. It must keep the servers whose entries expired meanwhile.
TEST_F(cluster_view_test, keepsMissingServersWhenItsViewWasOld)
{
    store.write("servers", "lapsed", "s0");
    view.setWatching(true);
    loop.advance(seconds(1));
    view.setWatching(false);
    loop.advance(seconds(6));
    store.erase("servers", "lapsed");
    store.compactedBefore = store.revision;
    view.setWatching(true);
    loop.advance(seconds(1));
    EXPECT_TRUE(isKnown("lapsed"));
    loop.advance(seconds(2));
    EXPECT_FALSE(isKnown("lapsed"));
}

// Nor may it remove them because another instance has a newer view without them.
TEST_F(cluster_view_test, keepsMissingServersWhenANewerViewEndsAnOutage)
{
    store.write("servers", "lapsed", "s0");
    view.setWatching(true);
    loop.advance(seconds(1));
    view.setWatching(false);
    loop.advance(seconds(6));
    view_snapshot other;
    other.serversRevision = object_version(999);
    view.merge(other);
    EXPECT_TRUE(isKnown("lapsed"));
    loop.advance(milliseconds(2300));
    EXPECT_FALSE(isKnown("lapsed"));
}

// A watcher removes a server that is missing after an outage without a further change in the store.
// Instances that only receive the watcher's view must remove it as well.
TEST_F(cluster_view_test, propagatesTheRemovalOfAMissingServer)
{
    store.write("servers", "gone", "s0");
    store.write("servers", "stays", "s0");
    view.setWatching(true);
    loop.advance(seconds(1));
    backend_map receivedServers;
    cluster_view receiver(loop, store, counters, log, 2, seconds(3),
                          {"config", "main", "servers", "evacuations", &readNumber, &readName},
                          {nullptr, [&receivedServers](const backend_map &servers) {
                               receivedServers = servers;
                           }});
    receiver.merge(view.snapshot());
    EXPECT_EQ(receivedServers.count(server_id("gone")), 1U);
    store.unavailable = true;
    loop.advance(seconds(5));
    store.erase("servers", "gone");
    store.compactedBefore = store.revision;
    store.unavailable = false;
    for (int i = 0; i < 10; ++i) {
        loop.advance(milliseconds(400));
        receiver.merge(view.snapshot());
        if (i == 2) {
            EXPECT_EQ(receivedServers.count(server_id("gone")), 1U)
                    << "its entry may only have expired";
        }
    }
    EXPECT_EQ(receivedServers.count(server_id("gone")), 0U);
    EXPECT_EQ(receivedServers.count(server_id("stays")), 1U);
}

TEST_F(cluster_view_test, reportsAnUnavailableStore)
{
    view.setWatching(true);
    loop.advance(seconds(1));
    EXPECT_FALSE(view.isStoreUnavailable());
    store.unavailable = true;
    loop.advance(seconds(4));
    EXPECT_TRUE(view.isStoreUnavailable());
    store.unavailable = false;
    loop.advance(seconds(3));
    EXPECT_FALSE(view.isStoreUnavailable());
}

namespace {

/// Views of several instances on one store.
struct shared_views
{
    struct instance
    {
        explicit instance(shared_views &all, std::uint64_t seed)
            : log(all.loop, "test", [](std::string_view text) { return text.size(); })
            , view(all.loop, all.store, counters, log, seed, seconds(3),
                   {"config", "main", "servers", "evacuations",
                    [](const platform_object &) -> result<route_configuration> {
                        return failure(error_kind::InvalidArgument, "none here");
                    },
                    [](const platform_object &object) -> result<backend_record> {
                        backend_record record;
                        record.id = server_id(object.key.name);
                        record.service = service_name(object.value);
                        return record;
                    }},
                   {[](const route_table_ptr &) {}, [this](const backend_map &s) { present = s; }})
        {
        }

        std::map<std::string, std::string> services() const
        {
            std::map<std::string, std::string> out;
            for (const auto &[id, record] : present)
                out[id.value()] = record.service.value();
            return out;
        }

        counter_set counters;
        decision_log log;
        backend_map present;
        cluster_view view;
    };

    std::map<std::string, std::string> stored()
    {
        std::map<std::string, std::string> out;
        for (const auto &[name, object] : store.objects["servers"])
            out[name] = object.value;
        return out;
    }

    manual_loop loop;
    scripted_store store{loop};
};

} // namespace

// Servers renew their entries continually: with the full list in each answer, a watcher sent 7.7 MB
// a second at 296 instances.
TEST(cluster_view_changes, omitsRenewedEntries)
{
    shared_views all;
    shared_views::instance watcher(all, 1);
    shared_views::instance receiver(all, 2);
    for (int i = 0; i < 50; ++i)
        all.store.write("servers", "s" + std::to_string(i), "stone");
    watcher.view.setWatching(true);
    all.loop.advance(seconds(2));
    receiver.view.merge(watcher.view.snapshot(receiver.view.serversRevision()));
    ASSERT_EQ(receiver.present.size(), 50U);
    for (int i = 0; i < 50; ++i)
        all.store.write("servers", "s" + std::to_string(i), i == 7 ? "slate" : "stone");
    all.store.erase("servers", "s8");
    all.loop.advance(seconds(2));
    const view_snapshot changes = watcher.view.snapshot(receiver.view.serversRevision());
    ASSERT_TRUE(changes.serversSince);
    EXPECT_EQ(changes.servers.size(), 1U);
    EXPECT_EQ(changes.removedServers, std::vector<std::string>{"s8"});
    receiver.view.merge(changes);
    EXPECT_EQ(receiver.services(), all.stored());
    EXPECT_EQ(receiver.view.serversRevision(), watcher.view.serversRevision());
}

// Changes received from different watchers in any order, each with a history of its own, must add
// up to the store's content. Where the store compacts its history, a watcher misses entries that
// were added and removed meanwhile; the full list, requested now and then, removes the leftover
// entries.
TEST(cluster_view_changes, convergeWithSeveralSources)
{
    random_source random(23);
    for (int round = 0; round < 30; ++round) {
        shared_views all;
        shared_views::instance first(all, 1);
        shared_views::instance second(all, 2);
        shared_views::instance receiver(all, 3);
        first.view.setWatching(true);
        all.loop.advance(milliseconds(static_cast<int>(random.below(3000))));
        second.view.setWatching(true);
        const bool storeCompacts = round % 2 == 1;
        int values = 0;
        for (int step = 0; step < 200; ++step) {
            const std::string name = "s" + std::to_string(random.below(12));
            const bool exists = all.store.objects["servers"].count(name) != 0;
            if (exists && random.below(4) == 0)
                all.store.erase("servers", name);
            else if (exists && random.below(2) == 0)
                all.store.write("servers", name, all.store.objects["servers"][name].value);
            else
                all.store.write("servers", name, "v" + std::to_string(++values));
            if (storeCompacts && random.below(30) == 0)
                all.store.compactedBefore = all.store.revision;
            all.loop.advance(milliseconds(static_cast<int>(random.below(60))));
            const auto &source = random.below(2) == 0 ? first : second;
            receiver.view.merge(source.view.snapshot(receiver.view.serversRevision()));
        }
        // Longer than missing servers are kept after an outage, without a pause that would count as
        // one.
        for (int i = 0; i < 40; ++i) {
            all.loop.advance(milliseconds(100));
            receiver.view.merge(first.view.snapshot(
                    storeCompacts ? object_version() : receiver.view.serversRevision()));
        }
        EXPECT_EQ(first.services(), all.stored()) << round;
        EXPECT_EQ(receiver.services(), all.stored()) << round;
    }
}

// The copy holds an older configuration, and what the operator writes next has a lower revision
// than the one in force: neither may keep the newest version from being in force.
TEST_F(cluster_view_test, appliesOnlyNewerConfigurationsAfterAReturnOfTheStore)
{
    store.write("config", "main", "3");
    const auto copy = store.takeCopy();
    store.write("config", "main", "6");
    writeMuch();
    view.setWatching(true);
    loop.advance(seconds(1));
    store.returnFromCopy(copy);
    loop.advance(seconds(3));
    EXPECT_EQ(versions, std::vector<std::uint64_t>{6});
    store.write("config", "main", "6");
    store.write("config", "main", "9");
    loop.advance(seconds(1));
    EXPECT_EQ(versions, (std::vector<std::uint64_t>{6, 9}));
}

// A server that announced its end must not get requests again because the copy knows it as ready.
TEST_F(cluster_view_test, keepsAServerLeavingAfterAReturnOfTheStore)
{
    store.write("servers", "a", "s0 1");
    const auto copy = store.takeCopy();
    store.write("servers", "a", "leaving 2");
    writeMuch();
    view.setWatching(true);
    loop.advance(seconds(1));
    store.returnFromCopy(copy);
    loop.advance(seconds(20));
    EXPECT_TRUE(present.at(server_id("a")).draining);
}

// The entry of a server that had left stands in the copy again, although nobody renews it.
TEST_F(cluster_view_test, usesNoServerThatLeftBeforeAReturnOfTheStore)
{
    store.write("servers", "left", "s0 1");
    store.write("servers", "vanished", "s0 1");
    const auto copy = store.takeCopy();
    view.setWatching(true);
    loop.advance(seconds(1));
    store.write("servers", "left", "leaving 2");
    loop.advance(seconds(1));
    store.erase("servers", "left");
    store.erase("servers", "vanished");
    loop.advance(seconds(1));
    store.returnFromCopy(copy);
    loop.advance(seconds(4));
    EXPECT_FALSE(isKnown("left"));
    EXPECT_FALSE(isKnown("vanished"));
    store.erase("servers", "vanished");
    loop.advance(seconds(20));
    EXPECT_FALSE(isKnown("left"));
    EXPECT_FALSE(isKnown("vanished"));
}

// A server whose entry had only expired and stands in the copy unchanged must be used in the end,
// and at once if it reports anew or started again.
TEST_F(cluster_view_test, usesServersThatRunAlthoughTheyWereMissingBeforeAReturn)
{
    store.write("servers", "silent", "s0 1");
    store.write("servers", "reporting", "s0 1");
    store.write("servers", "restarted", "s0 7 1");
    const auto copy = store.takeCopy();
    view.setWatching(true);
    loop.advance(seconds(1));
    for (const char *name : {"silent", "reporting", "restarted"})
        store.erase("servers", name);
    loop.advance(seconds(1));
    store.returnFromCopy(copy);
    store.write("servers", "reporting", "s0 2");
    store.write("servers", "restarted", "s0 1 2");
    loop.advance(seconds(1));
    EXPECT_TRUE(isKnown("reporting"));
    EXPECT_TRUE(isKnown("restarted"));
    EXPECT_FALSE(isKnown("silent"));
    loop.advance(cluster_view::removalGrace);
    EXPECT_TRUE(isKnown("silent"));
}

// Servers that registered after the copy was taken are missing from it until they register again.
TEST_F(cluster_view_test, keepsServersThatAreMissingFromTheCopyOfAReturnedStore)
{
    const auto copy = store.takeCopy();
    store.write("servers", "back", "s0 1");
    store.write("servers", "gone", "s0 1");
    writeMuch();
    view.setWatching(true);
    loop.advance(seconds(1));
    store.returnFromCopy(copy);
    loop.advance(seconds(2));
    EXPECT_TRUE(isKnown("back"));
    store.write("servers", "back", "s0 2");
    loop.advance(seconds(2));
    EXPECT_TRUE(isKnown("back"));
    EXPECT_FALSE(isKnown("gone"));
}

// The copy may hold an earlier run of a server that has started again under its id since.
TEST_F(cluster_view_test, takesNoEarlierRunOfAServerFromAReturnedStore)
{
    store.write("servers", "a", "s0 9 1");
    const auto copy = store.takeCopy();
    store.write("servers", "a", "s1 1 2");
    view.setWatching(true);
    loop.advance(seconds(1));
    store.returnFromCopy(copy);
    loop.advance(seconds(5));
    EXPECT_EQ(present.at(server_id("a")).service.value(), "s1");
    store.write("servers", "a", "s2 2 2");
    loop.advance(seconds(1));
    EXPECT_EQ(present.at(server_id("a")).service.value(), "s2");
}

// An instance whose watcher has not learned of the return must not take its view for a recent one.
TEST_F(cluster_view_test, doesNotAdoptTheAgeOfAViewFromBeforeAReturnOfTheStore)
{
    view_snapshot recent;
    recent.serversRevision = object_version(store_era(2), 5);
    view.merge(recent);
    loop.advance(seconds(10));
    view_snapshot former;
    former.serversRevision = object_version(store_era(1), 60);
    former.servers = {{{"servers", "a"}, object_version(store_era(1), 60), "s0"}};
    view.merge(former);
    EXPECT_GE(view.age(), seconds(10));
    EXPECT_FALSE(isKnown("a"));
    // A reply without lists states the era of its sender as well.
    recent.serversRevision = object_version(store_era(2), 0);
    view.merge(recent);
    EXPECT_EQ(view.age(), duration::zero());
}
