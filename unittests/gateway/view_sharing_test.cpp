#include "lib/gateway/link_share.h"
#include "lib/gateway/view_codec.h"
#include "lib/gateway/view_compressor.h"
#include "lib/gateway/watcher_selection.h"

#include <gtest/gtest.h>

using namespace peridotwheel;

namespace {

member_map fleet(int dataCentres, int each)
{
    member_map members;
    for (int d = 0; d < dataCentres; ++d) {
        for (int i = 0; i < each; ++i) {
            member m;
            m.id = instance_id("instance-" + std::to_string(d) + "-" + std::to_string(i));
            m.dataCentre = data_centre_id("dc-" + std::to_string(d));
            members.emplace(m.id, m);
        }
    }
    return members;
}

std::size_t watchersAt(const member_map &members, duration viewAge)
{
    std::size_t count = 0;
    for (const auto &[id, m] : members) {
        watcher_selection_input input{members, m};
        input.hasMembers = true;
        input.sinceStart = seconds(100);
        input.viewAge = viewAge;
        input.staleAge = seconds(3);
        count += shouldWatch(input) ? 1 : 0;
    }
    return count;
}

} // namespace

// Every change wakes every watcher, and each wake-up is a call to the store, so only a few
// instances may watch however large the fleet is.
TEST(watcher_selection, selectsFewInstances)
{
    EXPECT_EQ(watchersAt(fleet(3, 3), seconds(1)), 6U);
    EXPECT_EQ(watchersAt(fleet(6, 12), seconds(1)), 6U);
    EXPECT_EQ(watchersAt(fleet(10, 530), seconds(1)), 10U);
}

// The watchers of a data centre may crash or be rejected by the store: further instances must start
// to watch, but not all at once.
TEST(watcher_selection, addsWatchersAsTheViewAges)
{
    const member_map members = fleet(6, 12);
    const std::size_t usual = watchersAt(members, seconds(3));
    const std::size_t soon = watchersAt(members, milliseconds(3100));
    const std::size_t later = watchersAt(members, seconds(6));
    EXPECT_GT(soon, usual);
    EXPECT_GT(later, soon);
    EXPECT_LT(later, members.size());
}

// A new instance that receives nothing from a peer must read the store itself.
TEST(watcher_selection, selectsAnInstanceWithoutPeers)
{
    const member_map nobody;
    member self;
    watcher_selection_input input{nobody, self};
    input.viewAge = seconds(1);
    EXPECT_FALSE(shouldWatch(input));
    input.viewAge = seconds(4);
    EXPECT_TRUE(shouldWatch(input));
}

TEST(watcher_selection, listsTheWatchersOfADataCentre)
{
    const member_map members = fleet(3, 5);
    const auto watchers = watchersOf(members, data_centre_id("dc-1"));
    ASSERT_EQ(watchers.size(), 2U);
    for (const member &m : watchers)
        EXPECT_EQ(m.dataCentre, data_centre_id("dc-1"));
}

TEST(view_codec, roundTripsASnapshot)
{
    view_snapshot view;
    view.configuration = platform_object{{"c", "main"}, object_version(7), "{\"version\":3}"};
    view.serversRevision = object_version(11);
    view.servers = {{{"s", "a"}, object_version(9), "{}"}, {{"s", "b"}, object_version(10), ""}};
    view.instancesRevision = object_version(12);
    view.instances = {{{"i", "x"}, object_version(1), "{}"}};
    view.age = milliseconds(1234);
    view.missingGrace = milliseconds(700);
    const auto read = decodeSnapshot(encodeSnapshot(view), {"c", "s", "i"});
    ASSERT_TRUE(read) << read.error().message;
    EXPECT_EQ(read.value().configuration->value, view.configuration->value);
    EXPECT_EQ(read.value().configuration->key.kind, "c");
    EXPECT_EQ(read.value().serversRevision, view.serversRevision);
    ASSERT_EQ(read.value().servers.size(), 2U);
    EXPECT_EQ(read.value().servers[1].key.name, "b");
    EXPECT_EQ(read.value().instances.size(), 1U);
    EXPECT_EQ(read.value().age, view.age);
    EXPECT_EQ(read.value().missingGrace, view.missingGrace);
    EXPECT_FALSE(read.value().serversSince);
    view.serversSince = object_version(8);
    view.removedServers = {"z"};
    const auto changes = decodeSnapshot(encodeSnapshot(view), {"c", "s", "i"});
    ASSERT_TRUE(changes);
    EXPECT_EQ(changes.value().serversSince, view.serversSince);
    EXPECT_EQ(changes.value().removedServers, view.removedServers);
}

// Without eras on the wire, instances would compare revisions from before and after a return of the
// store. Messages of earlier versions of the program state none, which counts as era 0.
TEST(view_codec, roundTripsEras)
{
    const auto at = [](std::uint64_t era, std::uint64_t revision) {
        return object_version(store_era(era), revision);
    };
    view_snapshot view;
    view.configuration = platform_object{{"c", "main"}, at(2, 7), "{}"};
    view.serversRevision = at(3, 11);
    view.serversSince = at(3, 9);
    view.servers = {{{"s", "a"}, at(1, 60), "{}"}, {{"s", "b"}, object_version(4), "{}"}};
    view.instancesRevision = at(2, 12);
    view.evacuations = evacuation_list{at(5, 1), {}};
    const auto read = decodeSnapshot(encodeSnapshot(view), {"c", "s", "i"});
    ASSERT_TRUE(read) << read.error().message;
    EXPECT_EQ(read.value().configuration->version, at(2, 7));
    EXPECT_EQ(read.value().serversRevision, at(3, 11));
    EXPECT_EQ(read.value().serversSince, at(3, 9));
    EXPECT_EQ(read.value().servers[0].version, at(1, 60));
    EXPECT_EQ(read.value().servers[1].version, object_version(4));
    EXPECT_EQ(read.value().instancesRevision, at(2, 12));
    EXPECT_EQ(read.value().evacuations->revision, at(5, 1));
    view_position position;
    position.serversRevision = at(3, 11);
    position.instancesRevision = at(2, 12);
    const auto asked = decodePosition(encodePosition(position));
    ASSERT_TRUE(asked);
    EXPECT_EQ(asked.value().serversRevision, at(3, 11));
    EXPECT_EQ(asked.value().instancesRevision, at(2, 12));
    view.serversRevision = at(3, 0);
    EXPECT_EQ(decodeSnapshot(encodeSnapshot(view), {"c", "s", "i"}).value().serversRevision,
              at(3, 0));
}

TEST(view_codec, roundTripsCompressedLists)
{
    view_snapshot view;
    view.serversRevision = object_version(11);
    view.instancesRevision = object_version(12);
    constexpr int objects = 400;
    for (int i = 0; i < objects; ++i) {
        const auto version = object_version(static_cast<std::uint64_t>(i + 1));
        view.servers.push_back({{"s", "server-" + std::to_string(i)}, version, R"({"slots":7})"});
        view.instances.push_back(
                {{"i", "front-" + std::to_string(i)}, version, R"({"peers":"a"})"});
    }
    const std::string plain = encodeSnapshot(view);
    view_snapshot compressed = view;
    view_compressor compressor;
    compressor.compress(compressed);
    EXPECT_TRUE(compressed.servers.empty());
    const std::string text = encodeSnapshot(compressed);
    EXPECT_LT(4 * text.size(), plain.size());
    const auto read = decodeSnapshot(text, {"c", "s", "i"});
    ASSERT_TRUE(read) << read.error().message;
    ASSERT_EQ(read.value().servers.size(), view.servers.size());
    ASSERT_EQ(read.value().instances.size(), view.instances.size());
    for (std::size_t i = 0; i < view.servers.size(); ++i) {
        EXPECT_EQ(read.value().servers[i].key.name, view.servers[i].key.name);
        EXPECT_EQ(read.value().servers[i].version, view.servers[i].version);
        EXPECT_EQ(read.value().servers[i].value, view.servers[i].value);
        EXPECT_EQ(read.value().instances[i].value, view.instances[i].value);
    }
}

// A list whose stated size is wrong must be refused and not take memory.
TEST(view_codec, refusesACompressedListOfAnotherSize)
{
    const auto list = compressObjects({{{"s", "a"}, object_version(1), "{}"}});
    ASSERT_TRUE(list);
    view_snapshot view;
    view.serversRevision = object_version(11);
    for (const std::size_t textBytes : {list.value().textBytes + 1, maxListBytes + 1}) {
        view.compressedServers = std::make_shared<compressed_objects>(
                compressed_objects{list.value().data, textBytes});
        EXPECT_FALSE(decodeSnapshot(encodeSnapshot(view), {"c", "s", "i"}));
    }
}

// Two views of different changes must not get the same list.
TEST(view_compressor, keepsListsOfDifferentChangesApart)
{
    view_compressor compressor;
    const auto listSince = [&compressor](std::uint64_t since, const std::string &value) {
        view_snapshot view;
        view.serversRevision = object_version(11);
        view.serversSince = object_version(since);
        view.servers.assign(100, {{"s", "a"}, object_version(1), value});
        compressor.compress(view);
        return view.compressedServers;
    };
    const std::string value(100, 'v');
    const auto first = listSince(5, value);
    EXPECT_EQ(listSince(5, value), first);
    EXPECT_NE(listSince(6, value), first);
}

// What a long list takes beyond a burst must be missing afterwards.
TEST(link_share, takesALongListFromTheTimeThatFollows)
{
    const time_point start(seconds(1000));
    link_share link(byte_rate(1000), 0.5, 0, start);
    EXPECT_TRUE(link.take(500, start));
    EXPECT_FALSE(link.take(1, start + milliseconds(800)));
    EXPECT_TRUE(link.take(1, start + milliseconds(1000)));
}

TEST(view_codec, roundTripsAPosition)
{
    const view_position position{configuration_version(5), object_version(6), object_version(7)};
    const auto read = decodePosition(encodePosition(position));
    ASSERT_TRUE(read);
    EXPECT_EQ(read.value().configuration, position.configuration);
    EXPECT_EQ(read.value().serversRevision, position.serversRevision);
    EXPECT_EQ(read.value().instancesRevision, position.instancesRevision);
}

// Reports and hints must arrive as they were sent, and must be absent from requests that carry
// none.
TEST(view_codec, roundTripsReportsAndHints)
{
    view_position position;
    EXPECT_FALSE(decodePosition(encodePosition(position)).value().reports);
    server_samples samples;
    samples.replies = 5;
    samples.slowReplies = 3;
    samples.failures = 2;
    samples.slownessSum = 31.5;
    samples.limit = request_rate(12.5);
    position.reports = server_reports{{server_id("a"), samples}};
    const auto request = decodePosition(encodePosition(position));
    ASSERT_TRUE(request && request.value().reports);
    const server_samples &read = request.value().reports->at(server_id("a"));
    EXPECT_EQ(read.replies, 5U);
    EXPECT_EQ(read.slowReplies, 3U);
    EXPECT_EQ(read.failures, 2U);
    EXPECT_DOUBLE_EQ(read.slownessSum, 31.5);
    EXPECT_EQ(read.limit, request_rate(12.5));
    view_snapshot view;
    view.hints[server_id("a")] = {4.5, 0.25, request_rate(7)};
    view.hints[server_id("b")] = {4.5, 0.25, std::nullopt};
    const auto reply = decodeSnapshot(encodeSnapshot(view), {"c", "s", "i"});
    ASSERT_TRUE(reply);
    EXPECT_DOUBLE_EQ(reply.value().hints.at(server_id("a")).slowness, 4.5);
    EXPECT_DOUBLE_EQ(reply.value().hints.at(server_id("a")).errorRate, 0.25);
    EXPECT_EQ(reply.value().hints.at(server_id("a")).limit, request_rate(7));
    EXPECT_FALSE(reply.value().hints.at(server_id("b")).limit);
}

// Arbitrary bytes at the peers' address must not end the process.
TEST(view_codec, rejectsMalformedInput)
{
    EXPECT_FALSE(decodePosition("GET / HTTP/1.1"));
    EXPECT_FALSE(decodeSnapshot("", {"c", "s", "i"}));
    const std::string whole = encodePosition({});
    EXPECT_FALSE(decodePosition(whole.substr(0, whole.size() / 2)));
}
