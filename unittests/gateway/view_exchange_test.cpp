#include "lib/gateway/instance_directory.h"
#include "lib/gateway/view_codec.h"
#include "lib/gateway/view_exchange.h"
#include "peridotwheel/counters/counter_set.h"
#include "peridotwheel/gateway/decision_log.h"
#include "scripted_store.h"

#include <gtest/gtest.h>

using namespace peridotwheel;

namespace {

result<route_configuration> readNumber(const platform_object &object)
{
    route_configuration c;
    c.version = configuration_version(std::stoul(object.value));
    return c;
}

result<backend_record> readName(const platform_object &object)
{
    backend_record r;
    r.id = server_id(object.key.name);
    r.service = service_name(object.value);
    return r;
}

class captured_reply : public http_responder
{
public:
    void reply(const http_reply &r) override { value = r; }
    void onClientDisconnected(std::function<void()>) override {}
    void drop() override {}

    http_reply value;
};

/// Delivers requests between the instances of a test; requests to other addresses fail.
class peer_network : public http_client
{
public:
    explicit peer_network(manual_loop &loop)
        : m_loop(loop)
    {
    }

    void send(const endpoint &to, const http_request &request, duration, outcome_hook done) override
    {
        m_timers.push_back(m_loop.schedule(milliseconds(1), [this, to, request, done] {
            http_outcome outcome;
            const auto found = peers.find(to);
            if (found == peers.end()) {
                outcome.failure = transport_failure::NotSent;
                return done(outcome);
            }
            opaque_request asked;
            asked.method = "POST";
            asked.target = request.path;
            asked.body = request.body;
            captured_reply reply;
            found->second->handleRequest(asked, reply);
            outcome.reply = reply.value;
            done(outcome);
        }));
    }

    std::map<endpoint, view_exchange *> peers;

private:
    manual_loop &m_loop;
    std::vector<timer> m_timers;
};

member memberAt(const std::string &name, std::uint16_t port)
{
    member m;
    m.id = instance_id(name);
    m.dataCentre = data_centre_id("dc");
    m.peers = {"10.0.0.1", port};
    return m;
}

/// One instance: its directory, its view of the cluster and the exchange with others.
struct instance
{
    instance(manual_loop &loop, scripted_store &store, peer_network &network, const member &self)
        : log(loop, self.id.value(), [](std::string_view text) { return text.size(); })
        , directory(loop, store, log, self, 1,
                    [this](const member_map &members) {
                        if (exchange)
                            exchange->setMembers(members);
                    })
        , view(loop, store, counters, log, 1, seconds(3),
               {"config", "main", "servers", &readNumber, &readName},
               {[](const route_table_ptr &) {}, [this](const backend_map &now) { servers = now; }})
        , exchange(std::make_unique<view_exchange>(
                  loop, view, directory, network, log, 1, seconds(3),
                  report_hooks{[this] { return std::exchange(reports, {}); },
                               [this](const server_hints &h) { hints = h; }}))
    {
        network.peers[self.peers] = exchange.get();
    }

    counter_set counters;
    decision_log log;
    instance_directory directory;
    cluster_view view;
    backend_map servers;
    server_reports reports;
    server_hints hints;
    std::unique_ptr<view_exchange> exchange;
};

} // namespace

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
