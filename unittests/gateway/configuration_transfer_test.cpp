#include "link_network.h"
#include "peridotwheel/support/random_source.h"

#include <gtest/gtest.h>

using namespace peridotwheel;

namespace {

constexpr duration applyWithin = seconds(5);
constexpr byte_rate linkRate = byte_rate::fromMegabits(20);
constexpr int dataCentres = 6;
constexpr int instancesPerDataCentre = 12;

/// Returns a configuration like an operator's, with names that are drawn at random.
std::string configurationText(unsigned version, int routes)
{
    random_source random(version);
    const auto name = [&random] {
        std::string out;
        constexpr std::size_t nameLength = 8;
        while (out.size() < nameLength)
            out += "abcdefghijklmnopqrstuvwxyz0123456789"[random.below(36)];
        return out;
    };
    std::string text = std::to_string(version) + R"( {"routes":[)";
    for (int i = 0; i < routes; ++i) {
        text += R"({"host":"narrow.example","kind":"idempotent","name":")" + name() +
                R"(","prefix":"/)" + name() + R"(/","service":"stone"},)";
    }
    return text;
}

/// Instances in several data centres that follow one store over narrow links.
class configuration_transfer_test : public testing::Test
{
protected:
    configuration_transfer_test()
    {
        store.write("config", "main", configurationText(1, 50));
        member_map members;
        for (int i = 0; i < dataCentres * instancesPerDataCentre; ++i) {
            member m = memberAt("instance-" + std::to_string(i), static_cast<std::uint16_t>(i + 1));
            m.dataCentre = data_centre_id("dc-" + std::to_string(i % dataCentres));
            members[m.id] = m;
        }
        for (const auto &[id, m] : members) {
            stores.push_back(std::make_unique<scripted_store>(loop));
            stores.back()->objects = store.objects;
            stores.back()->revision = store.revision;
            all.push_back(std::make_unique<instance>(loop, *stores.back(), network, m, applyWithin,
                                                     linkRate));
        }
        for (const auto &each : all) {
            each->exchange->setMembers(members);
            each->exchange->start();
        }
        loop.advance(seconds(20));
    }

    void writeConfiguration(unsigned version, int routes)
    {
        const std::string text = configurationText(version, routes);
        for (const auto &each : stores)
            each->write("config", "main", text);
    }

    int instancesWithout(unsigned version) const
    {
        return static_cast<int>(std::count_if(all.begin(), all.end(), [version](const auto &each) {
            return each->view.version().value() < version;
        }));
    }

    manual_loop loop;
    scripted_store store{loop};
    link_network network{loop, linkRate};
    std::vector<std::unique_ptr<scripted_store>> stores;
    std::vector<std::unique_ptr<instance>> all;
};

/// Counts requests and answers none of them.
class counting_network : public instance_network, public http_client
{
public:
    http_client &clientOf(const endpoint &) override { return *this; }
    void send(const endpoint &, const http_request &, duration, outcome_hook) override { ++sent; }

    int sent = 0;
};

} // namespace

// Copies that were abandoned before they were complete and sent again filled the watchers' links.
TEST_F(configuration_transfer_test, largeConfigurationIsInForceEverywhereInTime)
{
    ASSERT_EQ(instancesWithout(1), 0);
    writeConfiguration(20, 4250);
    loop.advance(seconds(1));
    writeConfiguration(24, 4251);
    loop.advance(applyWithin);
    EXPECT_EQ(instancesWithout(24), 0);
}

// An instance with an old view requested the view of each requester in its backlog after a stall.
TEST(view_exchange, requestsFromInstancesThatAreAheadDoNotCauseOneRequestEach)
{
    manual_loop loop;
    scripted_store store(loop);
    store.write("config", "main", "5");
    counting_network network;
    instance outdated(loop, store, network, memberAt("outdated", 1));
    outdated.exchange->start();
    loop.advance(seconds(10));
    ASSERT_EQ(outdated.view.version().value(), 5U);
    store.unavailable = true;
    loop.advance(seconds(10));
    network.sent = 0;
    constexpr int backlog = 100;
    for (int i = 0; i < backlog; ++i) {
        view_position ahead;
        ahead.configuration = configuration_version(24);
        ahead.requesterAddress = endpoint{"10.0.0.1", static_cast<std::uint16_t>(100 + i)};
        opaque_request request;
        request.target = "/peer/view";
        request.body = encodePosition(ahead);
        captured_reply reply;
        outdated.exchange->handleRequest(request, reply);
    }
    constexpr int mostRequestsAtOnce = 4;
    EXPECT_LE(network.sent, mostRequestsAtOnce);
}
