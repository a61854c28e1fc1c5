#include "exchange_fixture.h"
#include "peridotwheel/support/random_source.h"

#include <algorithm>
#include <gtest/gtest.h>

using namespace peridotwheel;

namespace {

/// Instances in three data centres that share one store, of which a copy is taken before some of
/// them register.
class store_return_fleet : public testing::TestWithParam<std::size_t>
{
protected:
    static constexpr std::size_t dataCentres = 3;

    store_return_fleet()
    {
        store.revision = object_version(store_era(1), 10);
        store.write("config", "main", "3");
        store.write("servers", "a", "s0");
        for (std::size_t i = 0; i < GetParam(); ++i) {
            member m = memberAt("i" + std::to_string(i), static_cast<std::uint16_t>(i + 1));
            m.dataCentre = data_centre_id("dc" + std::to_string(i % dataCentres));
            all.push_back(std::make_unique<instance>(loop, store, network, m));
        }
        // Half of the instances are missing from the copy.
        startSome(0, GetParam() / 2);
        copy = store.takeCopy();
        startSome(GetParam() / 2, GetParam());
        // Watchers read the list of instances every 30 s.
        loop.advance(seconds(40));
    }

    void startSome(std::size_t from, std::size_t to)
    {
        for (std::size_t i = from; i < to; ++i) {
            all[i]->directory.start(instance_directory::initial_read::Delayed);
            all[i]->exchange->setSeeds({memberAt("", 1).peers});
            all[i]->exchange->start();
        }
        loop.advance(seconds(1));
    }

    std::size_t countOf(const std::function<bool(const instance &)> &holds) const
    {
        return static_cast<std::size_t>(
                std::count_if(all.begin(), all.end(), [&](const auto &i) { return holds(*i); }));
    }

    /// Returns the highest number of calls for a write in any second.
    std::size_t writesInASecond() const
    {
        std::size_t most = 0;
        for (const time_point from : store.writeTimes) {
            const auto isWithin = [from](time_point at) {
                return at >= from && at < from + seconds(1);
            };
            most = std::max(most,
                            static_cast<std::size_t>(std::count_if(
                                    store.writeTimes.begin(), store.writeTimes.end(), isWithin)));
        }
        return most;
    }

    manual_loop loop;
    scripted_store store{loop};
    peer_network network{loop};
    std::vector<std::unique_ptr<instance>> all;
    scripted_store::copy copy;
};

} // namespace

// Guards against instances that stay with what they knew before the store's return, against shares
// of limits that grow since the copy lacks instances, and against a herd at the store.
TEST_P(store_return_fleet, reachesAllInstancesWithFewCalls)
{
    ASSERT_EQ(countOf([](const instance &i) { return i.view.version().value() == 3; }), all.size());
    ASSERT_EQ(all[0]->directory.members().size(), all.size());
    store.write("config", "main", "6");
    loop.advance(seconds(2));
    store.writeTimes.clear();
    store.listCalls = 0;
    const auto watchers = countOf([](const instance &i) { return i.view.isWatching(); });

    store.returnFromCopy(copy);
    loop.advance(milliseconds(300));
    store.write("config", "main", "6");
    store.write("config", "main", "9");
    store.write("servers", "new", "s0");
    for (int step = 0; step < 10; ++step) {
        loop.advance(milliseconds(270));
        EXPECT_EQ(countOf([&](const instance &i) {
                      return i.directory.members().size() < all.size();
                  }),
                  0U)
                << "after step " << step;
    }
    EXPECT_EQ(countOf([](const instance &i) { return i.view.version().value() == 9; }), all.size());
    EXPECT_EQ(countOf([](const instance &i) { return i.servers.count(server_id("new")) == 1; }),
              all.size());
    loop.advance(seconds(7));
    EXPECT_EQ(store.objects[instanceKind].size(), all.size());
    EXPECT_EQ(all[0]->directory.members().size(), all.size());
    // The users' store accepts 400 writes a second.
    EXPECT_LE(writesInASecond(), 400U);
    // Of servers, configurations and evacuations one list each, of instances two.
    EXPECT_LE(static_cast<std::size_t>(store.listCalls), 5 * watchers);
}

INSTANTIATE_TEST_SUITE_P(sizes, store_return_fleet, testing::Values(9, 84, 295));

// A watcher that restarts after the return finds an older configuration in the store than other
// instances hold, and must not stay with it until the operator writes again.
TEST(store_return, supplyOfANewerConfigurationByARequester)
{
    manual_loop loop;
    scripted_store store(loop);
    peer_network network(loop);
    store.write("config", "main", "3");
    store.write("servers", "a", "s0");
    const auto copy = store.takeCopy();
    const member_map members{{instance_id("a"), memberAt("a", 1)},
                             {instance_id("b"), memberAt("b", 2)},
                             {instance_id("c"), memberAt("c", 3)},
                             {instance_id("d"), memberAt("d", 4)}};
    std::map<instance_id, std::unique_ptr<instance>> all;
    const auto start = [&](const member &m) {
        all[m.id] = std::make_unique<instance>(loop, store, network, m);
        all[m.id]->exchange->setMembers(members);
        all[m.id]->exchange->start();
    };
    for (const auto &[id, m] : members)
        start(m);
    store.write("config", "main", "6");
    loop.advance(seconds(3));
    store.returnFromCopy(copy);
    for (const auto &[id, m] : members) {
        if (all[id]->view.isWatching())
            start(m);
    }
    loop.advance(seconds(5));
    for (const auto &[id, each] : all)
        EXPECT_EQ(each->view.version().value(), 6U) << id.value();
}

// Guards against any order of writes, returns, outages and exchanges after which instances believe
// something else than the store holds.
TEST(store_return, leavesAllViewsEqualToTheStoreInAnyOrderOfEvents)
{
    constexpr std::uint64_t seeds = 60;
    constexpr int events = 30;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        manual_loop loop;
        scripted_store store(loop);
        peer_network network(loop);
        random_source random(seed);
        member_map members;
        for (std::uint16_t i = 1; i <= 4; ++i)
            members[instance_id("i" + std::to_string(i))] = memberAt("i" + std::to_string(i), i);
        std::vector<std::unique_ptr<instance>> all;
        for (const auto &[id, m] : members) {
            all.push_back(std::make_unique<instance>(loop, store, network, m));
            all.back()->exchange->setMembers(members);
            all.back()->exchange->start();
        }
        std::vector<scripted_store::copy> copies{store.takeCopy()};
        std::uint64_t version = 1;
        std::uint64_t highest = 0;
        for (int i = 0; i < events; ++i) {
            const std::string name = "s" + std::to_string(random.below(4));
            switch (random.below(7)) {
            case 0:
                store.write("config", "main", std::to_string(highest = ++version));
                break;
            case 1:
            case 2:
                store.write("servers", name, "service-" + std::to_string(random.below(3)));
                break;
            case 3:
                store.erase("servers", name);
                break;
            case 4:
                copies.push_back(store.takeCopy());
                break;
            case 5:
                store.returnFromCopy(copies[random.below(copies.size())]);
                break;
            default:
                store.unavailable = !store.unavailable;
                break;
            }
            loop.advance(milliseconds(random.below(1500)));
        }
        store.unavailable = false;
        store.write("config", "main", std::to_string(++highest));
        loop.advance(seconds(30));
        for (const auto &each : all) {
            EXPECT_EQ(each->view.version().value(), highest) << "seed " << seed;
            std::map<server_id, std::string> seen;
            for (const auto &[id, record] : each->servers)
                seen[id] = record.service.value();
            std::map<server_id, std::string> stored;
            for (const auto &[id, object] : store.objects["servers"])
                stored[server_id(id)] = object.value;
            EXPECT_EQ(seen, stored) << "seed " << seed;
        }
    }
}
