// Costs of configuration changes.

#include "peridotwheel/configuration/configuration_writer.h"
#include "slope_fleet.h"

#include <algorithm>
#include <stdexcept>

namespace peridotwheel {

namespace {

const std::vector<std::size_t> classCounts{3, 10, 30, 64};
const std::vector<std::size_t> nodeCounts{50, 100, 200, 530};

std::string documentWith(std::size_t classes)
{
    configuration_document document;
    for (std::size_t i = 0; i < classes; ++i) {
        const auto rank = static_cast<std::uint32_t>(i);
        class_spec spec{class_name("class-" + std::to_string(i)), milliseconds(140 + 10 * rank),
                        0.99, 0.95, class_rank(rank)};
        document.classes[spec.name] = spec;
    }
    for (std::size_t i = 0; i < maxChangeRecords; ++i)
        document.changes.push_back({"change-0123456789abcdef-" + std::to_string(i),
                                    "set class class-" + std::to_string(i)});
    return toJson(document);
}

member sameDataCentre(std::size_t i)
{
    member m = fleetMember(i);
    m.dataCentre = fleetMember(0).dataCentre;
    return m;
}

struct change_cost
{
    double cpu = 0;
    double bytes = 0;
};

/// One instance in a data centre of 530 adopts new versions from a peer and pushes them on.
change_cost costOfChange(const std::string &text, std::uint64_t seed)
{
    constexpr std::size_t members = 530;
    constexpr std::uint64_t changes = 100;
    manual_loop loop;
    memory_network network(loop);
    fleet_node node(loop, network, 0, seed, sameDataCentre(0));
    node.learn(members, sameDataCentre);
    loop.runPosted();
    node.forgetNews();
    node.gossip.start();
    for (std::size_t i = 1; i < members; ++i) {
        exchange reply;
        reply.sender = sameDataCentre(i);
        // As a peer answers that has taken the document out of the push.
        reply.configurationVersion = object_version(changes);
        network.bodies[reply.sender.peers] = encodeExchange(reply);
    }
    // The watchers of the kinds do not run, and the time is too short for a probe.
    change_cost cost;
    cost.cpu = cpuMicroseconds([&] {
                   for (std::uint64_t v = 1; v <= changes; ++v) {
                       node.configuration.offer(text, object_version(v),
                                                version_source::SameDataCentre);
                       loop.advance(milliseconds(3));
                   }
               }) /
               changes;
    if (node.configuration.version() != object_version(changes))
        throw std::runtime_error("the document was not adopted");
    cost.bytes = (network.bytesSent + network.bytesReceived) / changes;
    return cost;
}

std::vector<slope_point> overDocuments(std::uint64_t seed, double change_cost::*field)
{
    std::vector<slope_point> out;
    for (const std::size_t classes : classCounts) {
        const std::string text = documentWith(classes);
        out.push_back({static_cast<double>(text.size()), costOfChange(text, seed).*field});
    }
    return out;
}

/// Milliseconds from the first adoption to the last in a data centre of \p count instances, each of
/// which runs, except for \p gonePercent that left without notice right before.
double spreadTime(std::size_t count, std::size_t gonePercent, std::uint64_t seed)
{
    manual_loop loop;
    memory_network network(loop);
    std::vector<std::unique_ptr<fleet_node>> nodes;
    for (std::size_t i = 0; i < count; ++i) {
        nodes.push_back(std::make_unique<fleet_node>(loop, network, i, seed, sameDataCentre(i)));
        nodes.back()->learn(count, sameDataCentre);
        loop.runPosted();
        nodes.back()->forgetNews();
        nodes.back()->gossip.start();
    }
    loop.advance(seconds(1));
    for (std::size_t gone = count * gonePercent / 100; gone > 0; --gone) {
        network.nodes.erase(nodes.back()->membership.self().peers);
        nodes.pop_back();
    }
    double longest = 0;
    const std::string text = documentWith(30);
    for (std::uint64_t v = 1; v <= 10; ++v) {
        const time_point start = loop.now();
        nodes[v % nodes.size()]->configuration.offer(text, object_version(v),
                                                     version_source::Platform);
        const auto adopted = [&](const auto &n) {
            return n->configuration.version() == object_version(v);
        };
        while (!std::all_of(nodes.begin(), nodes.end(), adopted) &&
               loop.now() - start < seconds(20))
            loop.advance(milliseconds(1));
        longest = std::max(longest, toMilliseconds(loop.now() - start));
    }
    return longest;
}

struct burst_result
{
    double written = 0;
    double milliseconds = 0;
    double calls = 0;
};

/// \p count operators change a class each, different ones, at the same moment.
burst_result burstOf(std::size_t count, std::uint64_t seed)
{
    manual_loop loop;
    random_source random(seed);
    memory_platform platform(loop, &random);
    platform.put(configurationKey, documentWith(64), write_condition::absent(),
                 [](const auto &) {});
    loop.advance(seconds(1));
    const time_point start = loop.now();
    burst_result out;
    std::size_t open = count;
    for (std::size_t i = 0; i < count; ++i) {
        configuration_writer writer(loop, platform, seed + i);
        const auto rank = static_cast<std::uint32_t>(i % 64);
        const class_spec spec{class_name("class-" + std::to_string(rank)), milliseconds(2000 + i),
                              0.99, 0.9, class_rank(rank)};
        writer.write(setClassChange(spec), [&](const result<object_version> &r) {
            out.written += r ? 1 : 0;
            if (--open == 0)
                out.milliseconds = toMilliseconds(loop.now() - start);
        });
    }
    loop.advance(seconds(60));
    out.calls = static_cast<double>(platform.reads() + platform.writes());
    return out;
}

slope overBurst(std::string name, std::string unit, double burst_result::*field)
{
    return {std::move(name), "changes of different classes at the same moment", std::move(unit),
            [field](std::uint64_t seed) {
                return pointsAt({5, 10, 20, 60}, [=](auto n) { return burstOf(n, seed).*field; });
            }};
}

} // namespace

void addConfigurationSlopes(std::vector<slope> &list)
{
    list.push_back({"configuration-cpu", "bytes of the document",
                    "microseconds per change adopted and pushed to four peers",
                    [](auto seed) { return overDocuments(seed, &change_cost::cpu); }});
    list.push_back({"configuration-bytes", "bytes of the document",
                    "bytes sent and received per change pushed to four peers",
                    [](auto seed) { return overDocuments(seed, &change_cost::bytes); }});
    list.push_back({"configuration-spread", "instances of a data centre",
                    "milliseconds to the last instance, longest of 10 changes", [](auto seed) {
                        return pointsAt(nodeCounts, [=](auto n) { return spreadTime(n, 0, seed); });
                    }});
    list.push_back(
            {"configuration-spread-gone", "percent of 200 instances gone without notice",
             "milliseconds to the last instance, longest of 10 changes", [](auto seed) {
                 return pointsAt({0, 10, 20, 30}, [=](auto n) { return spreadTime(200, n, seed); });
             }});
    list.push_back(overBurst("burst-written", "changes written", &burst_result::written));
    list.push_back(overBurst("burst-time", "milliseconds to the last outcome",
                             &burst_result::milliseconds));
    list.push_back(overBurst("burst-calls", "platform calls in all", &burst_result::calls));
}

} // namespace peridotwheel
