#include "link_network.h"
#include "peridotwheel/support/random_source.h"

#include <gtest/gtest.h>

using namespace peridotwheel;

namespace {

constexpr duration applyWithin = seconds(6);
constexpr byte_rate linkRate = byte_rate::fromMegabits(20);

std::string randomName(random_source &random)
{
    std::string out;
    constexpr std::size_t nameLength = 10;
    while (out.size() < nameLength)
        out += "0123456789abcdef"[random.below(16)];
    return out;
}

/// Instances in several data centres that follow one store over narrow links.
class view_transfer_test : public testing::Test
{
protected:
    view_transfer_test(int instances, int dataCentres)
    {
        for (int i = 0; i < instances; ++i) {
            member m = memberAt("front-arima-yard-" + std::to_string(i),
                                static_cast<std::uint16_t>(i + 1));
            m.dataCentre = data_centre_id("dc-" + std::to_string(i % dataCentres));
            members[m.id] = m;
            writeInstance(m);
        }
        store.write("config", "main", "1");
    }

    void writeInstance(const member &m)
    {
        store.write(instanceKind, m.id.value(),
                    R"({"peers":"10.0.0.1:)" + std::to_string(m.peers.port) +
                            R"(","dataCentre":")" + m.dataCentre.value() + R"("})");
    }

    void addServers(int count)
    {
        for (int i = 0; i < count; ++i) {
            const std::string id = "i-" + randomName(random);
            store.write("servers", id,
                        R"({"instance":")" + id + R"(","service":"huvo)" + std::to_string(i / 3) +
                                R"(","zone":"arima-yard","addr":"10.1.64.)" +
                                std::to_string(i % 250) + R"(:8607","slots":7,"state":"ready",)" +
                                R"("born":17694600)" + std::to_string(10000 + i) + R"(,"load":0.)" +
                                std::to_string(random.below(1000)) + R"(,"coldRemaining":0})");
        }
        expectedServers += static_cast<std::size_t>(count);
    }

    /// Starts all instances at the same moment.
    void startAll()
    {
        for (const auto &[id, m] : members)
            all.push_back(
                    std::make_unique<instance>(loop, store, network, m, applyWithin, linkRate));
        for (const auto &each : all) {
            each->directory.start(instance_directory::initial_read::Immediate);
            each->exchange->start();
        }
    }

    std::size_t instancesWithoutAllServers() const
    {
        return static_cast<std::size_t>(
                std::count_if(all.begin(), all.end(), [this](const auto &each) {
                    return each->servers.size() < expectedServers;
                }));
    }

    manual_loop loop;
    random_source random{11};
    scripted_store store{loop};
    link_network network{loop, linkRate};
    member_map members;
    std::size_t expectedServers = 0;
    std::vector<std::unique_ptr<instance>> all;
};

/// Instances, and data centres among which they are divided.
class view_transfer : public view_transfer_test,
                      public testing::WithParamInterface<std::pair<int, int>>
{
protected:
    view_transfer()
        : view_transfer_test(GetParam().first, GetParam().second)
    {
    }
};

constexpr int knownServers = 675;
constexpr int earlierServers = 90;
constexpr int joiningServers = 405;

} // namespace

// Full lists for all instances of a data centre exceeded the link of the one that watches the
// store.
TEST_P(view_transfer, knowsTheServersSoonAfterAStartOfAllInstances)
{
    addServers(knownServers);
    startAll();
    loop.advance(seconds(2));
    EXPECT_EQ(instancesWithoutAllServers(), 0U);
}

// Each instance got the entries of all new servers in a reply of its own, over the same link.
TEST_P(view_transfer, knowsServersThatJoinTogetherInTime)
{
    addServers(earlierServers);
    startAll();
    loop.advance(seconds(8));
    addServers(joiningServers);
    loop.advance(applyWithin / 2);
    EXPECT_EQ(instancesWithoutAllServers(), 0U);
}

// Each change of one instance sent the list of all to each of them.
TEST_P(view_transfer, knowsServersThatJoinWhileInstancesRestart)
{
    addServers(earlierServers);
    startAll();
    loop.advance(seconds(8));
    addServers(joiningServers);
    auto restarting = members.begin();
    for (duration passed{}; passed < applyWithin / 2; passed += milliseconds(100)) {
        for (int i = 0; i < 2 && restarting != members.end(); ++i, ++restarting)
            writeInstance(restarting->second);
        loop.advance(milliseconds(100));
    }
    EXPECT_EQ(instancesWithoutAllServers(), 0U);
}

INSTANTIATE_TEST_SUITE_P(fleets, view_transfer,
                         testing::Values(std::pair(9, 3), std::pair(71, 3), std::pair(295, 6)),
                         [](const auto &info) {
                             return "of" + std::to_string(info.param.first) + "Instances";
                         });
