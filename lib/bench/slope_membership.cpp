// Costs of the live view and of the messages that keep it.

#include "slope_fleet.h"

#include <stdexcept>

namespace peridotwheel {

namespace {

const std::vector<std::size_t> memberCounts{100, 530, 1000, 5300};
const std::vector<std::size_t> carriedCounts{0, 6, 16, 38};
constexpr int periods = 200;

exchange messageOf(std::size_t sender, std::size_t carried)
{
    exchange out;
    out.sender = fleetMember(sender);
    out.configurationVersion = object_version(1000000);
    out.snapshotVersion = index_version(1000);
    for (std::size_t i = 1; i <= carried; ++i)
        out.members.push_back(fleetMember(sender + i));
    return out;
}

/// One instance among \p members that answer and send no news.
struct quiet_fleet
{
    quiet_fleet(std::size_t members, std::uint64_t seed)
        : network(loop)
        , node(loop, network, 0, seed, fleetMember(0))
    {
        node.learn(members);
        loop.runPosted();
        node.forgetNews();
        for (std::size_t i = 1; i < members; ++i) {
            exchange reply = messageOf(i, 0);
            for (std::size_t k = 1; k <= 6; ++k)
                reply.members.push_back(fleetMember(1 + (i + k) % (members - 1)));
            network.bodies[fleetMember(i).peers] = encodeExchange(reply);
        }
        node.gossip.start();
        loop.advance(seconds(2));
        network.bytesSent = network.bytesReceived = 0;
        network.messages = 0;
    }

    manual_loop loop;
    memory_network network;
    fleet_node node;
};

double periodCpu(std::size_t members, std::uint64_t seed)
{
    quiet_fleet fleet(members, seed);
    const double cpu = cpuMicroseconds([&] { fleet.loop.advance(periods * milliseconds(500)); });
    if (fleet.node.counters.at("membership.probe_failures").value() > 0)
        throw std::runtime_error("a probe was not answered");
    return cpu / periods;
}

double periodBytes(std::size_t members, std::uint64_t seed)
{
    quiet_fleet fleet(members, seed);
    fleet.loop.advance(periods * milliseconds(500));
    return (fleet.network.bytesSent + fleet.network.bytesReceived) / periods;
}

/// Controller, table and the view on the blackboard.
double membershipMemory(std::size_t members, std::uint64_t seed)
{
    manual_loop loop;
    memory_network network(loop);
    const double before = heapBytes();
    fleet_node node(loop, network, 0, seed, fleetMember(0));
    node.learn(members);
    loop.runPosted();
    node.forgetNews();
    return heapBytes() - before;
}

/// Taking over one change of a member and publishing the view.
double changeCpu(std::size_t members, std::uint64_t seed)
{
    manual_loop loop;
    memory_network network(loop);
    fleet_node node(loop, network, 0, seed, fleetMember(0));
    node.learn(members);
    loop.runPosted();
    constexpr std::size_t changes = 200;
    std::vector<member> updates;
    for (std::size_t i = 0; i < changes; ++i) {
        updates.push_back(fleetMember(1 + i % (members - 1)));
        updates.back().incarnation = 2 + i;
    }
    return cpuMicroseconds([&] {
               for (const auto &update : updates) {
                   node.membership.merge(std::vector<member>{update});
                   loop.runPosted();
               }
           }) /
           changes;
}

/// Receiving one message, merging it, and composing and encoding the answer.
double answerCpu(std::size_t members, std::uint64_t seed)
{
    quiet_fleet fleet(members, seed);
    constexpr std::size_t messages = 1000;
    std::vector<http_request> requests;
    for (std::size_t i = 0; i < messages; ++i)
        requests.push_back({http_method::Post,
                            peerExchangePath,
                            {},
                            encodeExchange(messageOf(1 + i % (members - 7), 6))});
    std::size_t answered = 0;
    class counting_responder : public http_responder
    {
    public:
        explicit counting_responder(std::size_t &count)
            : m_count(count)
        {
        }
        void reply(const http_reply &r) override { m_count += r.status == 200 ? 1 : 0; }
        void onClientDisconnected(std::function<void()>) override {}
        void drop() override {}

    private:
        std::size_t &m_count;
    };
    const auto responder = std::make_shared<counting_responder>(answered);
    const double cpu = cpuMicroseconds([&] {
        for (const auto &r : requests)
            fleet.node.service.handle(r, responder);
    });
    if (answered != messages)
        throw std::runtime_error("not every message was answered");
    return cpu / messages;
}

double exchangeCpu(std::size_t carried)
{
    const exchange message = messageOf(1, carried);
    constexpr int repeats = 2000;
    std::size_t decoded = 0;
    const double cpu = cpuMicroseconds([&] {
        for (int i = 0; i < repeats; ++i)
            decoded += decodeExchange(encodeExchange(message)) ? 1 : 0;
    });
    return decoded == repeats ? cpu / repeats : 0;
}

slope over(std::string name, std::string unit, double (*measure)(std::size_t, std::uint64_t))
{
    return {std::move(name), "members", std::move(unit), [measure](std::uint64_t seed) {
                return pointsAt(memberCounts, [=](auto n) { return measure(n, seed); });
            }};
}

} // namespace

void addMembershipSlopes(std::vector<slope> &list)
{
    list.push_back(over("member-memory", "bytes", membershipMemory));
    list.push_back(over("period-cpu", "microseconds per probe period without news", periodCpu));
    list.push_back(over("period-bytes", "bytes sent and received per probe period without news",
                        periodBytes));
    list.push_back(over("member-change-cpu", "microseconds per change of a member", changeCpu));
    list.push_back(over("answer-cpu", "microseconds per message answered", answerCpu));
    list.push_back(
            {"exchange-bytes", "members carried", "bytes per message with HTTP headers", [](auto) {
                 return pointsAt(carriedCounts, [](auto n) {
                     return wireBytes(http_request{http_method::Post,
                                                   peerExchangePath,
                                                   {},
                                                   encodeExchange(messageOf(1, n))});
                 });
             }});
    list.push_back({"exchange-cpu", "members carried", "microseconds to encode and decode",
                    [](auto) { return pointsAt(carriedCounts, exchangeCpu); }});
}

} // namespace peridotwheel
