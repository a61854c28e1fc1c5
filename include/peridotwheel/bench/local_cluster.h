#ifndef PERIDOTWHEEL_BENCH_LOCAL_CLUSTER_H
#define PERIDOTWHEEL_BENCH_LOCAL_CLUSTER_H

#include "peridotwheel/bench/load_generator.h"
#include "peridotwheel/entry/entry_instance.h"
#include "peridotwheel/standin/standin_fleet.h"
#include "peridotwheel/support/loop_thread.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace peridotwheel {

struct cluster_options
{
    std::uint64_t seed = 1;
    std::uint32_t instances = 9;
    std::uint32_t dataCentres = 3;
    std::uint32_t generatorThreads = 2;
    /// Puts a switch into every link of the instances, for `cutOff`.
    bool partitions = false;
    fleet_config fleet;
    entry_options entry;
};

/// Stand-ins and entry instances on threads of one process, with a balancer in front, for
/// experiments. All members are called from one thread outside the cluster.
class local_cluster
{
public:
    explicit local_cluster(cluster_options options);
    local_cluster(const local_cluster &) = delete;
    local_cluster &operator=(const local_cluster &) = delete;
    ~local_cluster();

    /// Starts everything and waits until every instance is ready. Error: `TimedOut`.
    result<void> start();
    standin_fleet &fleet() { return m_fleet; }

    /// Sends the streams through the balancer and waits for the last answer. \p during runs on the
    /// calling thread meanwhile and may switch faults.
    load_result runLoad(const std::vector<load_stream> &streams, std::uint64_t seed,
                        const std::function<void()> &during = nullptr);

    std::size_t size() const { return m_nodes.size(); }
    /// Runs \p fn on the instance's thread.
    template <class Fn>
    auto onInstance(std::size_t index, Fn fn)
    {
        node &n = *m_nodes[index];
        return n.thread.call([&] { return fn(*n.instance); });
    }
    /// Stops an instance gracefully and waits; returns the time it took.
    duration shutDownInstance(std::size_t index);
    /// Starts a new instance at \p index with a new start identity.
    result<void> startInstance(std::size_t index);

    /// Cuts data centre \p dataCentre (from 1) off from the others and from the platform; 0 heals.
    /// Callers still reach it. Needs `partitions`.
    void cutOff(int dataCentre) { m_cut = dataCentre; }
    /// Stops the instance's thread for \p length, like a stopped process, without waiting.
    void pauseInstance(std::size_t index, duration length);

    /// Sum of one counter over all instances, stopped ones included.
    std::uint64_t counterSum(const std::string &name);
    /// The balancer's rotation: instances whose check last succeeded.
    std::vector<bool> rotation() const;

private:
    /// How often the balancer checks an instance.
    static constexpr duration checkInterval = milliseconds(200);

    struct node
    {
        loop_thread thread;
        std::unique_ptr<entry_instance> instance;
        timer check;
        std::atomic<bool> inRotation{false};
        endpoint callers; ///< Written before `inRotation` becomes true.
        std::uint64_t starts = 0;
        /// Addresses of the first start; a replacement takes them over, as on the platform.
        endpoint peers;
        endpoint operators;
    };

    settings settingsOf(std::size_t index) const;
    void retireCounters(const counter_set &counters);
    void checkReadiness(node &n);
    endpoint balance(random_source &random) const;

    cluster_options m_options;
    standin_fleet m_fleet;
    std::atomic<int> m_cut{0};
    /// Counters of instances that have been stopped.
    std::map<std::string, std::uint64_t> m_retired;
    std::vector<std::unique_ptr<node>> m_nodes;
};

} // namespace peridotwheel

#endif
