#include "fixtures/fake_platform.h"
#include "peridotwheel/entry/control_plane.h"
#include "peridotwheel/http/evhttp_connector.h"
#include "peridotwheel/support/libevent_loop.h"

#include <gtest/gtest.h>

using namespace peridotwheel;

namespace {

/// An instance with real listeners and connections.
struct socket_instance
{
    socket_instance(libevent_loop &loop, fake_platform &store, int number)
        : platform(store, loop)
        , connector(loop)
        , http(connector)
        , server(loop, limits(),
                 [this](const auto &request, const auto &responder) { hook(request, responder); })
    {
        const std::string address = "127.0.1." + std::to_string(number);
        EXPECT_TRUE(server.listen({address, 0}).has_value());
        self.id = instance_id("entry-" + std::to_string(number));
        self.start = start_id(static_cast<std::uint64_t>(number));
        self.dataCentre = data_centre_id("dc1");
        self.peers = {address, server.boundPort()};
        self.operators = {address, 1};
        control_plane_options options;
        options.membership.period = milliseconds(20);
        plane.emplace(loop, board, platform, http, counters, nullptr, 3, self, options);
        hook = plane->peerHook();
    }

    static http_server_limits limits()
    {
        http_server_limits l;
        l.maxBodyBytes = maxPeerBodyBytes;
        return l;
    }

    blackboard board;
    counter_set counters;
    fake_platform_client platform;
    evhttp_connector connector;
    pooled_http_client http;
    request_hook hook;
    http_server server;
    member self;
    std::optional<control_plane> plane;
};

} // namespace

// Guards against messages that real HTTP connections alter or reject: an instance without access to
// the platform gets the configuration and a shard map of about a megabyte from its peer.
TEST(controlPlaneOverSockets, documentsPassBetweenTwoInstances)
{
    libevent_loop loop;
    fake_platform store(loop, 1);
    socket_instance withPlatform(loop, store, 1);
    socket_instance withoutPlatform(loop, store, 2);
    withoutPlatform.platform.isDisconnected = true;
    store.listed.instances = {withPlatform.self, withoutPlatform.self};
    shard_map map;
    map.version = index_version(1);
    for (unsigned s = 0; s < 18000; ++s)
        map.shards.push_back({shard_id(s), service_name("cards"), {server_id("cards-1")}});
    const std::string text = toJson(map);
    EXPECT_GT(text.size(), 900U * 1024);
    store.store("snapshots", "1", text);
    store.store("snapshots", "current", R"({"version":1})");
    const auto version = store.store("configuration", "current", toJson(configuration_document()));
    // Stops the loop if the documents never arrive.
    auto deadline = loop.schedule(seconds(60), [&] { loop.stop(); });
    auto stopIfDone = [&] {
        if (withoutPlatform.board.configuration.value().version == version &&
            withoutPlatform.board.snapshots.value().current)
            loop.stop();
    };
    auto first = withoutPlatform.board.configuration.subscribe([&](const auto &) { stopIfDone(); });
    auto second = withoutPlatform.board.snapshots.subscribe([&](const auto &) { stopIfDone(); });
    withPlatform.plane->start();
    withoutPlatform.plane->start();
    loop.run();
    EXPECT_EQ(withoutPlatform.board.configuration.value().version, version);
    ASSERT_TRUE(withoutPlatform.board.snapshots.value().current);
    EXPECT_EQ(withoutPlatform.board.snapshots.value().current->shards.size(), map.shards.size());
}
