#ifndef PERIDOTWHEEL_ENTRY_FLEET_FIXTURE_H
#define PERIDOTWHEEL_ENTRY_FLEET_FIXTURE_H

#include "fixtures/fake_network.h"
#include "fixtures/fake_platform.h"
#include "fixtures/pausable_loop.h"
#include "peridotwheel/entry/control_plane.h"
#include "peridotwheel/support/manual_loop.h"

#include <gtest/gtest.h>

namespace peridotwheel {

/// One instance of a simulated fleet.
struct fleet_instance
{
    fleet_instance(manual_loop &inner, fake_network &network, fake_platform &store,
                   const member &self, std::uint64_t seed, milliseconds wallOffset)
        : loop(inner)
        , platform(store, loop)
        , http(network, loop, self.peers.address)
    {
        loop.wallOffset = wallOffset;
        plane.emplace(loop, board, platform, http, counters, nullptr, seed, self);
        configurationWatch = board.configuration.subscribe([this](const auto &document) {
            reverted = reverted || document->version <= highest;
            highest = document->version;
        });
        network.receivers[self.peers] = {&loop, plane->peerHook()};
        plane->start();
    }

    member_state stateOf(const instance_id &id) const
    {
        const auto &view = board.members.value();
        const auto it = view.find(id);
        return it == view.end() ? member_state::Dead : it->second.state;
    }

    pausable_loop loop;
    blackboard board;
    counter_set counters;
    fake_platform_client platform;
    fake_http_client http;
    std::optional<control_plane> plane;
    subscription configurationWatch;
    object_version highest;
    bool reverted = false;
};

/// Instances in data centres of `perDataCentre` instances each, on one manual loop.
class fleet
{
public:
    static constexpr duration period = milliseconds(500);

    explicit fleet(std::size_t size, std::uint64_t seed = 7, std::size_t perDataCentre = 3)
        : network(loop, seed)
        , platform(loop, seed + 1)
        , instances(size)
        , m_perDataCentre(perDataCentre)
        , m_seed(seed)
    {
        std::cout << "seed " << seed << std::endl;
        for (std::size_t i = 0; i < size; ++i)
            platform.listed.instances.push_back(self(i, 1));
        for (std::size_t i = 0; i < size; ++i)
            start(i, 1);
    }

    member self(std::size_t i, std::uint64_t start) const
    {
        member m;
        m.id = instance_id("entry-" + std::to_string(i));
        m.start = start_id(start * 1000 + i);
        const std::string k = std::to_string(1 + i / m_perDataCentre);
        m.dataCentre = data_centre_id("dc" + k);
        m.peers = {"127.0." + k + "." + std::to_string(1 + i % m_perDataCentre), 7000};
        m.operators = {m.peers.address, 7001};
        return m;
    }
    instance_id id(std::size_t i) const { return self(i, 1).id; }

    void start(std::size_t i, std::uint64_t startNumber, milliseconds wallOffset = milliseconds(0))
    {
        instances[i] = std::make_unique<fleet_instance>(loop, network, platform,
                                                        self(i, startNumber), m_seed, wallOffset);
    }
    void kill(std::size_t i)
    {
        network.receivers.erase(self(i, 1).peers);
        instances[i].reset();
    }
    void run(std::size_t periods) { loop.advance(period * static_cast<int>(periods)); }

    /// Runs until \p condition holds for every live instance; returns the number of periods
    /// until then, or \p limit + 1.
    template <class Condition>
    std::size_t periodsUntil(std::size_t limit, Condition condition)
    {
        for (std::size_t n = 0; n <= limit; ++n) {
            bool all = true;
            for (const auto &i : instances)
                all = all && (!i || condition(*i));
            if (all)
                return n;
            run(1);
        }
        return limit + 1;
    }
    auto hasConfiguration(object_version v) const
    {
        return [v](const fleet_instance &i) { return i.highest == v; };
    }
    bool anyReverted() const
    {
        return std::any_of(instances.begin(), instances.end(),
                           [](const auto &i) { return i && i->reverted; });
    }
    std::uint64_t total(const std::string &counter) const
    {
        std::uint64_t sum = 0;
        for (const auto &i : instances)
            sum += i ? i->counters.at(counter).value() : 0;
        return sum;
    }
    auto seesAllAlive() const
    {
        return [this](const fleet_instance &i) {
            std::size_t alive = 0;
            for (const auto &[memberId, m] : i.board.members.value())
                alive += m.state == member_state::Alive ? 1 : 0;
            return alive == instances.size();
        };
    }
    /// Cuts all messages between data centre \p k and the others.
    void isolate(int k)
    {
        const std::string prefix = "127.0." + std::to_string(k) + ".";
        network.isPartitioned = [prefix](const std::string &a, const std::string &b) {
            return (a.rfind(prefix, 0) == 0) != (b.rfind(prefix, 0) == 0);
        };
    }

    object_version storeConfiguration(int latencyMs)
    {
        configuration_document document;
        class_spec spec;
        spec.name = class_name("safety-cards");
        spec.latencyTarget = milliseconds(latencyMs);
        document.classes.emplace(spec.name, spec);
        return platform.store("configuration", "current", toJson(document));
    }

    manual_loop loop;
    fake_network network;
    fake_platform platform;
    std::vector<std::unique_ptr<fleet_instance>> instances;

private:
    std::size_t m_perDataCentre;
    std::uint64_t m_seed;
};

} // namespace peridotwheel

#endif
