#include "exchange_fixture.h"

#include <gtest/gtest.h>

using namespace peridotwheel;

// After a restart during an outage of the store an instance has only its seeds. If those had
// restarted as well, it refused all requests although an instance that had the view kept requesting
// its view.
TEST(view_exchange, requestsTheViewFromARequesterThatIsAhead)
{
    manual_loop loop;
    scripted_store store(loop);
    peer_network network(loop);
    instance survivor(loop, store, network, memberAt("survivor", 1));
    instance restarted(loop, store, network, memberAt("restarted", 2));
    store.write("config", "main", "5");
    store.write("servers", "a", "stone");
    survivor.exchange->setMembers({{instance_id("survivor"), memberAt("survivor", 1)},
                                   {instance_id("restarted"), memberAt("restarted", 2)}});
    survivor.exchange->start();
    loop.advance(seconds(5));
    ASSERT_EQ(survivor.view.version().value(), 5U);

    store.unavailable = true;
    restarted.exchange->setSeeds({{"10.0.0.9", 9}});
    restarted.exchange->start();
    loop.advance(seconds(5));
    EXPECT_EQ(restarted.view.version().value(), 5U);
    EXPECT_EQ(restarted.servers.size(), 1U);
}

// Measurements of a server by one instance must reach the others of its data centre within a
// second.
TEST(view_exchange, sharesMeasurementsWithinTheDataCentre)
{
    manual_loop loop;
    scripted_store store(loop);
    peer_network network(loop);
    instance first(loop, store, network, memberAt("first", 1));
    instance second(loop, store, network, memberAt("second", 2));
    instance third(loop, store, network, memberAt("third", 3));
    store.write("config", "main", "5");
    member_map members;
    for (const auto &m : {memberAt("first", 1), memberAt("second", 2), memberAt("third", 3)})
        members[m.id] = m;
    instance *const all[] = {&first, &second, &third};
    for (instance *each : all) {
        each->exchange->setMembers(members);
        each->exchange->start();
    }
    loop.advance(seconds(5));
    // Watchers keep the reports that they receive until others ask; three instances include
    // watchers and others.
    server_samples failing;
    failing.failures = 8;
    for (instance *each : all)
        each->reports[server_id("a")] = failing;
    loop.advance(seconds(1));
    for (instance *each : all)
        EXPECT_EQ(each->hints.count(server_id("a")), 1U);
}

// The list of instances grows with the fleet, and so does the number of instances that request it,
// so it must be sent only when it has changed.
TEST(view_exchange, sendsInstancesOnlyAfterAChange)
{
    manual_loop loop;
    scripted_store store(loop);
    peer_network network(loop);
    instance watcher(loop, store, network, memberAt("watcher", 1));
    store.write(instanceKind, "other", R"({"peers":"10.0.0.1:2","dataCentre":"dc"})");
    watcher.directory.start(instance_directory::initial_read::Immediate);
    watcher.exchange->start();
    loop.advance(seconds(10));
    const auto replyTo = [&](object_version known) {
        opaque_request request;
        request.target = "/peer/view";
        view_position position;
        position.instancesRevision = known;
        request.body = encodePosition(position);
        captured_reply reply;
        watcher.exchange->handleRequest(request, reply);
        return decodeSnapshot(reply.value.body, {"config", "servers", instanceKind}).value();
    };
    EXPECT_EQ(replyTo(object_version()).instances.size(), 2U);
    const object_version known = watcher.directory.revision();
    store.write("servers", "a", "stone");
    loop.advance(seconds(60));
    ASSERT_GT(watcher.directory.revision(), known);
    EXPECT_TRUE(replyTo(known).instances.empty());
    store.write(instanceKind, "new", R"({"peers":"10.0.0.1:3","dataCentre":"dc"})");
    loop.advance(seconds(60));
    EXPECT_EQ(replyTo(known).instances.size(), 3U);
}

// Guards against instances that go on for half a minute with a list that lacks a new one, whose
// shares of all limits come on top of theirs meanwhile.
TEST(view_exchange, learnsSoonOfAnAddedInstance)
{
    manual_loop loop;
    scripted_store store(loop);
    peer_network network(loop);
    store.write("config", "main", "5");
    store.write("servers", "a", "stone");
    std::vector<std::unique_ptr<instance>> all;
    const auto add = [&](const std::string &name, const char *dataCentre) {
        member m = memberAt(name, static_cast<std::uint16_t>(all.size() + 1));
        m.dataCentre = data_centre_id(dataCentre);
        all.push_back(std::make_unique<instance>(loop, store, network, m));
        all.back()->directory.start(instance_directory::initial_read::Immediate);
        all.back()->exchange->start();
    };
    for (const char *dataCentre : {"dc", "dc", "dc", "far", "far", "far", "farther"}) {
        add("front-" + std::to_string(all.size()), dataCentre);
        loop.advance(milliseconds(100));
    }
    loop.advance(seconds(60));
    for (const char *dataCentre : {"dc", "farther"}) {
        add("added-" + std::to_string(all.size()), dataCentre);
        loop.advance(seconds(3));
        EXPECT_TRUE(all.back()->directory.isListed());
        for (const auto &each : all)
            EXPECT_EQ(each->directory.members().size(), all.size())
                    << each->directory.self().id.value();
    }
}

// The entries of crashed instances were never removed and permanently reduced the shares of all
// others.
TEST(view_exchange, removesTheEntryOfALostInstance)
{
    manual_loop loop;
    scripted_store store(loop);
    peer_network network(loop);
    instance living(loop, store, network, memberAt("living", 1));
    store.write("config", "main", "5");
    store.write(instanceKind, "lost", R"({"peers":"10.0.0.9:9","dataCentre":"dc"})");
    living.directory.start(instance_directory::initial_read::Immediate);
    living.exchange->start();
    loop.advance(seconds(10));
    EXPECT_EQ(living.directory.members().size(), 2U);
    loop.advance(seconds(180));
    EXPECT_EQ(living.directory.members().size(), 1U);
    EXPECT_EQ(store.objects[instanceKind].size(), 1U);
}

// An instance that was partitioned only from the other instances loses its entry; it must register
// again to be counted for the shares.
TEST(view_exchange, registersAgainAfterItsEntryWasRemoved)
{
    manual_loop loop;
    scripted_store store(loop);
    peer_network network(loop);
    instance one(loop, store, network, memberAt("one", 1));
    store.write("config", "main", "5");
    one.directory.start(instance_directory::initial_read::Immediate);
    one.exchange->start();
    loop.advance(seconds(10));
    store.erase(instanceKind, "one");
    EXPECT_TRUE(store.objects[instanceKind].empty());
    loop.advance(seconds(60));
    EXPECT_EQ(store.objects[instanceKind].size(), 1U);
}
