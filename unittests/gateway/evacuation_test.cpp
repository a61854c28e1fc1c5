#include "exchange_fixture.h"
#include "gateway_fixture.h"

#include <gmock/gmock.h>

using namespace peridotwheel;
using testing::IsEmpty;
using testing::UnorderedElementsAre;

namespace {

constexpr const char *kind = "evacuations";

/// A watcher of the store and an instance that gets its view from it.
class evacuation_exchange_test : public testing::Test
{
protected:
    evacuation_exchange_test()
    {
        // By rank, the first instances of a data centre watch; the last one does not.
        for (const auto &m : members) {
            all.push_back(std::make_unique<instance>(loop, store, network, m));
            known[m.id] = m;
        }
        store.write("config", "main", "5");
        for (const auto &each : all) {
            each->exchange->setMembers(known);
            each->exchange->start();
        }
        loop.advance(seconds(3));
    }

    void expectEvacuated(const std::set<data_centre_id> &expected) const
    {
        for (const auto &each : all)
            EXPECT_EQ(each->evacuated, expected);
    }

    manual_loop loop;
    scripted_store store{loop};
    peer_network network{loop};
    const std::vector<member> members{memberAt("a", 1), memberAt("b", 2), memberAt("c", 3),
                                      memberAt("d", 4)};
    member_map known;
    std::vector<std::unique_ptr<instance>> all;
};

} // namespace

// Guards against instances that go on sending to a data centre after its evacuation is due.
TEST_F(evacuation_exchange_test, reachesAllInstancesInTimeAndIsTakenBack)
{
    ASSERT_TRUE(std::any_of(all.begin(), all.end(), [](const auto &each) {
        return !each->view.isWatching();
    })) << "the test needs an instance that does not watch the store";
    expectEvacuated({});
    store.write(kind, "south", "{}");
    loop.advance(seconds(2));
    expectEvacuated({data_centre_id("south")});
    store.write(kind, "north", "{}");
    loop.advance(seconds(2));
    expectEvacuated({data_centre_id("north"), data_centre_id("south")});
    store.erase(kind, "south");
    loop.advance(seconds(2));
    expectEvacuated({data_centre_id("north")});
}

// Guards against an evacuation that ends because the store is away or has dropped its history.
TEST_F(evacuation_exchange_test, lastsThroughAnOutageOfTheStore)
{
    store.write(kind, "south", "{}");
    loop.advance(seconds(2));
    store.unavailable = true;
    loop.advance(seconds(20));
    expectEvacuated({data_centre_id("south")});
    // An instance that starts meanwhile gets the list from the others.
    instance started(loop, store, network, memberAt("e", 5));
    started.exchange->setSeeds({memberAt("a", 1).peers});
    started.exchange->start();
    loop.advance(seconds(3));
    EXPECT_THAT(started.evacuated, UnorderedElementsAre(data_centre_id("south")));
    store.erase(kind, "south");
    store.compactedBefore = object_version(store.revision.value() + 1);
    store.unavailable = false;
    loop.advance(seconds(4));
    expectEvacuated({});
}

// Guards against an old list of another instance that takes an evacuation back.
TEST_F(evacuation_exchange_test, ignoresOlderLists)
{
    store.write(kind, "south", "{}");
    loop.advance(seconds(2));
    all.front()->evacuations.merge({object_version(1), {}});
    EXPECT_THAT(all.front()->evacuated, UnorderedElementsAre(data_centre_id("south")));
}

namespace {

class evacuated_gateway_test : public gateway_fixture
{
protected:
    std::size_t arrivedNear()
    {
        std::size_t count = plainServer(0).arrived.size();
        for (std::size_t s = 0; s < shardCount; ++s)
            count += shardServer(s, 0).arrived.size();
        return count;
    }
};

} // namespace

// Guards against requests, repeats and health checks that reach an evacuated data centre.
TEST_F(evacuated_gateway_test, sendsNothingToAnEvacuatedDataCentre)
{
    warmUp();
    gate.setEvacuated({data_centre_id("near")});
    const std::size_t before = arrivedNear();
    // The other servers fail in turn, so that requests are repeated.
    plainServer(1).behaviour = server_behaviour::Fail;
    std::vector<std::shared_ptr<fake_client>> clients;
    for (int i = 0; i < 40; ++i) {
        clients.push_back(send("/one/", "one-" + std::to_string(i)));
        clients.push_back(send("/all/", "all-" + std::to_string(i)));
        loop.advance(milliseconds(30));
    }
    loop.advance(seconds(2));
    EXPECT_EQ(arrivedNear(), before);
    for (const auto &client : clients)
        EXPECT_EQ(statusOf(client), 200);
    gate.setEvacuated({});
    loop.advance(seconds(1));
    for (int i = 0; i < 20; ++i) {
        send("/one/", "back-" + std::to_string(i));
        loop.advance(milliseconds(50));
    }
    EXPECT_GT(arrivedNear(), before);
}

// Guards against attempts that wait for a connection and are sent after the evacuation.
TEST_F(evacuated_gateway_test, movesWaitingAttempts)
{
    warmUp();
    plainServer(0).work = milliseconds(40);
    for (std::size_t replica = 1; replica < replicas; ++replica)
        plainServer(replica).distance = milliseconds(400);
    for (int i = 0; i < 60; ++i)
        send("/one/", "burst-" + std::to_string(i));
    loop.advance(milliseconds(10));
    gate.setEvacuated({data_centre_id("near")});
    loop.advance(milliseconds(2));
    const std::size_t before = plainServer(0).arrived.size();
    loop.advance(seconds(2));
    EXPECT_EQ(plainServer(0).arrived.size(), before);
}

// An attempt that waited for one server of the data centre was handed to another one there, which
// had not been told of the evacuation yet, and sent.
TEST_F(evacuated_gateway_test, movesWaitingAttemptsToNoOtherEvacuatedServer)
{
    addServer("plain", 2009, "near");
    warmUp();
    for (int i = 0; i < 60; ++i)
        send("/one/", "open-" + std::to_string(i));
    loop.advance(milliseconds(500));
    plainServer(0).work = milliseconds(300);
    plainServer(1).distance = milliseconds(400);
    plainServer(2).distance = milliseconds(400);
    // Without second attempts, which would move the waiting ones earlier.
    for (int i = 0; i < 90; ++i)
        send("/once/", "burst-" + std::to_string(i));
    loop.advance(milliseconds(40));
    const auto arrivedThere = [this] {
        return plainServer(0).arrived.size() + backends.at(2009).arrived.size();
    };
    const std::size_t before = arrivedThere();
    gate.setEvacuated({data_centre_id("near")});
    loop.advance(seconds(2));
    EXPECT_EQ(arrivedThere(), before);
}

// Guards against requests that wait for a data centre of which nobody knows when it comes back.
TEST_F(evacuated_gateway_test, refusesAtOnceIfAllServersAreEvacuated)
{
    warmUp();
    gate.setEvacuated({data_centre_id("near"), data_centre_id("far"), data_centre_id("farther")});
    for (const char *target : {"/one/", "/all/"})
        EXPECT_EQ(statusOf(send(target, "r")), 503) << target;
}

// Guards against servers that join an evacuated data centre and get requests.
TEST_F(evacuated_gateway_test, includesServersThatJoinLater)
{
    warmUp();
    gate.setEvacuated({data_centre_id("near")});
    addServer("plain", 2009, "near");
    gate.setServers(servers);
    loop.advance(seconds(1));
    for (int i = 0; i < 20; ++i) {
        send("/one/", "r" + std::to_string(i));
        loop.advance(milliseconds(50));
    }
    EXPECT_THAT(backends.at(2009).arrived, IsEmpty());
}

namespace {

class starting_gateway_test : public gateway_fixture
{
protected:
    starting_gateway_test()
        : gateway_fixture(options())
    {
    }

    static gateway_options options()
    {
        gateway_options o = defaultOptions();
        o.evacuateWithin = seconds(5);
        return o;
    }
};

} // namespace

// An instance that knew the servers before the evacuations sent requests to all data centres.
TEST_F(starting_gateway_test, sendsNothingBeforeItKnowsTheEvacuations)
{
    start();
    EXPECT_FALSE(gate.isReady());
    EXPECT_EQ(statusOf(send("/one/", "early")), 503);
    gate.setEvacuated({data_centre_id("near")});
    loop.advance(seconds(1));
    EXPECT_TRUE(gate.isReady());
    const auto client = send("/one/", "r");
    loop.advance(seconds(1));
    EXPECT_EQ(statusOf(client), 200);
    EXPECT_THAT(plainServer(0).arrived, IsEmpty());
}

// Guards against an instance that never serves because only earlier builds answer it.
TEST_F(starting_gateway_test, servesWithoutAListOnceItWasDue)
{
    start();
    loop.advance(seconds(5));
    const auto client = send("/one/", "r");
    loop.advance(seconds(1));
    EXPECT_EQ(statusOf(client), 200);
}

// The copy of a returned store lacks a recent evacuation and holds an ended one. Guards against
// requests to the evacuated data centre until the operator has written again.
TEST_F(evacuation_exchange_test, lastsThroughAReturnOfTheStoreFromACopy)
{
    store.write(kind, "north", "{}");
    const auto copy = store.takeCopy();
    store.erase(kind, "north");
    store.write(kind, "south", "{}");
    loop.advance(seconds(2));
    expectEvacuated({data_centre_id("south")});
    store.returnFromCopy(copy);
    for (int i = 0; i < 9; ++i) {
        loop.advance(milliseconds(200));
        for (const auto &each : all)
            EXPECT_EQ(each->evacuated.count(data_centre_id("south")), 1U);
    }
    store.erase(kind, "north");
    store.write(kind, "south", "{}");
    loop.advance(seconds(2));
    expectEvacuated({data_centre_id("south")});
    // Taken back by the operator, it does not last because it was in force before the return.
    store.erase(kind, "south");
    loop.advance(seconds(4));
    expectEvacuated({});
}

// An evacuation that the operator ended while the store was away is missing from the copy, so that
// no removal is seen. Guards against one that outlasts the time for a change.
TEST_F(evacuation_exchange_test, endsIfNobodyWritesItAgainAfterAReturnOfTheStore)
{
    const auto copy = store.takeCopy();
    store.write(kind, "south", "{}");
    loop.advance(seconds(2));
    store.returnFromCopy(copy);
    loop.advance(seconds(3));
    expectEvacuated({});
}
