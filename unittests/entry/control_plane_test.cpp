#include "fleet_fixture.h"

using namespace peridotwheel;

namespace {

bool knowsLeaving(const fleet_instance &i, const std::string &server)
{
    const auto &servers = i.board.servers.value();
    const auto it = servers.find(server_id(server));
    return it != servers.end() && it->second.leaving;
}

server_record cardServer(const std::string &id)
{
    server_record s;
    s.id = server_id(id);
    s.start = start_id(42);
    s.service = service_name("cards");
    s.dataCentre = data_centre_id("dc1");
    s.address = {"127.0.1.50", 9000};
    s.connectionLimit = 25;
    return s;
}

} // namespace

// Guards against a version that reverts or never arrives when reads are stale and messages are lost
// or reordered. Bound I8: 2 s, that is 4 periods, on 9 instances.
TEST(controlPlane, configurationConvergesAndNeverReverts)
{
    fleet f(9);
    f.network.lossRate = 0.1;
    f.platform.staleReadRate = 0.3;
    for (int change = 0; change < 30; ++change) {
        const auto v = f.storeConfiguration(100 + change);
        EXPECT_LE(f.periodsUntil(4, f.hasConfiguration(v)), 4U) << "change " << change;
        f.run(f.network.random.below(3));
    }
    EXPECT_FALSE(f.anyReverted());
}

// Guards against instances that get a new version only through their own access to the platform.
TEST(controlPlane, configurationSpreadsFromTheOnlyInstanceWithPlatformAccess)
{
    fleet f(9);
    f.run(8);
    f.platform.isDown = true;
    f.run(4);
    const auto v = f.storeConfiguration(140);
    f.platform.isDown = false;
    for (std::size_t i = 0; i < 9; ++i)
        f.instances[i]->platform.isDisconnected = i != 4;
    EXPECT_LE(f.periodsUntil(
                      70,
                      [&](const auto &i) { return &i != f.instances[4].get() || i.highest == v; }),
              70U);
    EXPECT_LE(f.periodsUntil(6, f.hasConfiguration(v)), 6U);
}

// Guards against a restarted instance without state that stays without configuration in an outage,
// and against one that is not accepted because of updates about its previous start (its clock is an
// hour behind).
TEST(controlPlane, restartWithEmptyStateDuringAnOutage)
{
    fleet f(9);
    const auto v = f.storeConfiguration(140);
    f.run(10);
    f.platform.isDown = true;
    f.kill(5);
    f.run(20);
    EXPECT_EQ(f.instances[3]->stateOf(f.id(5)), member_state::Dead);
    f.start(5, 2, -std::chrono::hours(1));
    EXPECT_LE(f.periodsUntil(24, f.seesAllAlive()), 24U);
    EXPECT_EQ(f.instances[5]->highest, v);
    EXPECT_FALSE(f.anyReverted());
}

// Guards against data centres that consider each other dead permanently after a partition.
TEST(controlPlane, partitionOfADataCentreHeals)
{
    fleet f(9);
    f.run(10);
    f.isolate(2);
    for (std::size_t i = 3; i < 6; ++i)
        f.instances[i]->platform.isDisconnected = true;
    f.run(120);
    EXPECT_EQ(f.instances[0]->stateOf(f.id(4)), member_state::Dead);
    EXPECT_EQ(f.instances[3]->stateOf(f.id(4)), member_state::Alive);
    const auto v = f.storeConfiguration(140);
    f.run(4);
    EXPECT_NE(f.instances[4]->highest, v);
    f.network.isPartitioned = nullptr;
    EXPECT_LE(f.periodsUntil(30, f.seesAllAlive()), 30U);
    EXPECT_LE(f.periodsUntil(4, f.hasConfiguration(v)), 4U);
}

// Guards against an instance that resumes after a pause and, because of its overdue timers and
// unanswered probes, declares all peers dead. Messages are slow, so that probes are in flight at
// the pauses, and their replies are lost, as when the whole machine is stopped.
TEST(controlPlane, pausedInstanceSuspectsNoPeersAfterResuming)
{
    fleet f(9);
    f.network.maxDelay = milliseconds(450);
    const std::string paused = f.self(0, 1).peers.address;
    f.run(10);
    for (int pause = 0; pause < 10; ++pause) {
        f.instances[0]->loop.pause();
        f.network.isPartitioned = [&](const auto &a, const auto &b) {
            return a == paused || b == paused;
        };
        f.run(60);
        EXPECT_EQ(f.instances[1]->stateOf(f.id(0)), member_state::Dead);
        f.network.isPartitioned = nullptr;
        f.instances[0]->loop.resume();
        EXPECT_LE(f.periodsUntil(40, f.seesAllAlive()), 40U);
        f.loop.advance(milliseconds(f.network.random.below(500)));
    }
    EXPECT_EQ(f.instances[0]->counters.at("membership.deaths").value(), 0U);
    EXPECT_EQ(f.instances[0]->counters.at("membership.suspicions").value(), 0U);
}

// Guards against live members that are declared dead because of lost messages alone.
TEST(controlPlane, messageLossAloneCausesNoDeaths)
{
    fleet f(9);
    f.network.lossRate = 0.15;
    f.run(1200);
    EXPECT_EQ(f.total("membership.deaths"), 0U);
    EXPECT_GT(f.total("membership.suspicions"), 0U);
}

// Guards against dead peers that keep their connection share permanently, or lose it before other
// instances can have received the death, and against a stale list that adds them again.
TEST(controlPlane, deadPeerIsRemovedAfterTheRetentionTime)
{
    fleet f(9);
    f.run(10);
    f.kill(8);
    const auto knowsDead = [&](const auto &i) { return i.stateOf(f.id(8)) == member_state::Dead; };
    const auto inView = [&] { return f.instances[0]->board.members.value().count(f.id(8)) != 0; };
    EXPECT_LE(f.periodsUntil(24, knowsDead), 24U);
    EXPECT_TRUE(inView());
    f.run(60);
    EXPECT_FALSE(inView());
}

// Guards against a leaving server that stays in use (bound I6: 3 s, that is 6 periods),
// and against a stale list that clears the leaving mark.
TEST(controlPlane, leavingServerIsGossipedToAllDataCentres)
{
    fleet f(9);
    f.network.lossRate = 0.1;
    f.platform.listed.servers = {cardServer("cards-1")};
    f.run(30);
    f.instances[1]->plane->noteServerLeaving(server_id("cards-1"), start_id(42));
    f.run(3);
    for (std::size_t i = 0; i < 3; ++i)
        EXPECT_TRUE(knowsLeaving(*f.instances[i], "cards-1"));
    // Instances of other data centres rarely send to the server. Without gossip they would detect
    // the mark only in the reply to a request that must no longer reach the server.
    f.run(3);
    for (std::size_t i = 0; i < 9; ++i)
        EXPECT_TRUE(knowsLeaving(*f.instances[i], "cards-1"));
    f.run(100);
    for (std::size_t i = 0; i < 9; ++i)
        EXPECT_TRUE(knowsLeaving(*f.instances[i], "cards-1"));
    // A new start of the server is not leaving, even if the previous one was.
    f.platform.listed.servers[0].start = start_id(43);
    f.run(30);
    EXPECT_FALSE(knowsLeaving(*f.instances[1], "cards-1"));
}

// Guards against an update about a leaving server that waits for the periodic exchange in a large
// data centre.
TEST(controlPlane, leavingServerIsForwardedImmediately)
{
    fleet f(20, 7, 20);
    f.platform.listed.servers = {cardServer("cards-1")};
    f.run(30);
    f.instances[1]->plane->noteServerLeaving(server_id("cards-1"), start_id(42));
    const auto knows = [](const auto &i) { return knowsLeaving(i, "cards-1"); };
    EXPECT_LE(f.periodsUntil(1, knows), 1U);
}

TEST(controlPlane, gracefulShutdownIsKnownToPeersAndPlatform)
{
    fleet f(9);
    f.platform.lostReplyRate = 0.3;
    f.run(10);
    bool confirmed = false;
    f.instances[2]->plane->announceLeaving([&] { confirmed = true; });
    EXPECT_LE(
            f.periodsUntil(
                    20, [&](const auto &i) { return i.stateOf(f.id(2)) == member_state::Leaving; }),
            20U);
    EXPECT_TRUE(confirmed);
    const auto record = f.platform.current().find({"instances", "entry-2"});
    ASSERT_NE(record, f.platform.current().end());
    EXPECT_NE(record->second.value.find("\"leaving\""), std::string::npos);
    f.instances[2]->plane->removeRegistration();
    f.run(20);
    EXPECT_EQ(f.platform.current().count({"instances", "entry-2"}), 0U);
}

// Guards against messages that grow with the fleet. The budget at full size is 22 KB/s per node.
TEST(controlPlane, bytesPerInstanceDoNotGrowWithTheFleet)
{
    auto bytesPerSecond = [](std::size_t size, std::size_t perDataCentre) {
        fleet f(size, 7, perDataCentre);
        f.run(60);
        const auto before = f.total("peer.bytes_sent") + f.total("peer.bytes_received");
        f.run(60);
        const auto after = f.total("peer.bytes_sent") + f.total("peer.bytes_received");
        return static_cast<double>(after - before) / 30.0 / static_cast<double>(size);
    };
    const double small = bytesPerSecond(9, 3);
    const double large = bytesPerSecond(72, 24);
    std::cout << "bytes per second and instance: " << small << " of 9, " << large << " of 72\n";
    EXPECT_LT(large, 1.5 * small);
    EXPECT_LT(large, 22000);
}

// Guards against rules that hold only for one order of events: random faults of all kinds, several
// seeds, and convergence after the last one.
TEST(controlPlane, convergesAfterRandomFaults)
{
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        fleet f(9, seed);
        auto &random = f.network.random;
        std::uint64_t starts = 1;
        for (int event = 0; event < 40; ++event) {
            const std::size_t i = random.below(9);
            f.network.lossRate = 0.2 * random.fraction();
            f.platform.staleReadRate = 0.5 * random.fraction();
            f.platform.lostReplyRate = 0.5 * random.fraction();
            f.platform.isDown = random.below(4) == 0;
            f.network.isPartitioned = nullptr;
            if (random.below(4) == 0)
                f.isolate(1 + static_cast<int>(random.below(3)));
            if (random.below(3) == 0) {
                f.kill(i);
                f.run(random.below(30));
                f.start(i, ++starts, seconds(static_cast<int>(random.below(60)) - 30));
            }
            f.instances[i]->loop.pause();
            f.storeConfiguration(100 + event);
            f.run(random.below(30));
            f.instances[i]->loop.resume();
            f.run(random.below(4));
            EXPECT_FALSE(f.anyReverted());
        }
        f.network.isPartitioned = nullptr;
        f.network.lossRate = f.platform.staleReadRate = f.platform.lostReplyRate = 0;
        f.platform.isDown = false;
        const auto v = f.storeConfiguration(500);
        EXPECT_LE(f.periodsUntil(40, f.seesAllAlive()), 40U);
        EXPECT_LE(f.periodsUntil(20, f.hasConfiguration(v)), 20U);
        const auto next = f.storeConfiguration(501);
        EXPECT_LE(f.periodsUntil(4, f.hasConfiguration(next)), 4U);
    }
}

// Guards against versions that stay with the members notified first, when a data centre is too
// large to push to all members and the document is too large to be included in a push.
TEST(controlPlane, largeDocumentsReachAllOfALargeDataCentre)
{
    fleet f(60, 7, 20);
    f.network.lossRate = 0.05;
    f.run(10);
    shard_map map;
    map.version = index_version(3);
    for (unsigned s = 0; s < 1000; ++s)
        map.shards.push_back({shard_id(s), service_name("cards"), {server_id("cards-1")}});
    f.platform.store("snapshots", "3", toJson(map));
    f.platform.store("snapshots", "current", R"({"version":3})");
    const auto holds = [](const fleet_instance &i) {
        const auto &current = i.board.snapshots.value().current;
        return current && current->version == index_version(3);
    };
    const auto periods = f.periodsUntil(6, holds);
    std::cout << "periods until all of 60 instances hold the map: " << periods << '\n';
    EXPECT_LE(periods, 2U);
    EXPECT_LE(f.total("platform.reads.snapshots"), 60U * 5);
}

// Guards against members that wait for the periodic exchange when the first holders push a version
// to some members only.
TEST(controlPlane, smallDocumentsAreForwardedImmediatelyInALargeDataCentre)
{
    fleet f(100, 7, 100);
    f.run(10);
    const auto v = f.storeConfiguration(140);
    EXPECT_LE(f.periodsUntil(1, f.hasConfiguration(v)), 1U);
}
