#include "experiment_list.h"
#include "experiment_runner.h"

#include <algorithm>
#include <atomic>
#include <thread>

namespace peridotwheel {

namespace {

constexpr duration pollInterval = milliseconds(10);
constexpr duration bound = seconds(2);
constexpr duration giveUp = seconds(6);

configuration_document documentWith(duration lowTarget)
{
    configuration_document document;
    class_spec low = lowClass();
    low.latencyTarget = lowTarget;
    for (const auto &spec : {urgentClass(), middleClass(), low})
        document.classes[spec.name] = spec;
    return document;
}

/// Watches the versions in force on all instances and counts steps back.
class version_monitor
{
public:
    explicit version_monitor(local_cluster &cluster)
        : m_cluster(cluster)
        , m_highest(cluster.size())
    {
    }

    /// A restarted instance holds nothing; that counts as a step back only if it claims to be
    /// ready.
    std::uint64_t reversions() const { return m_reversions; }

    /// Waits until \p version is in force on \p instances; returns the time taken, at most
    /// `giveUp`.
    duration awaitVersion(object_version version, const std::vector<std::size_t> &instances)
    {
        const auto start = std::chrono::steady_clock::now();
        const auto elapsed = [&] {
            return std::chrono::duration_cast<duration>(std::chrono::steady_clock::now() - start);
        };
        while (elapsed() < giveUp) {
            const auto now = sample();
            if (std::all_of(instances.begin(), instances.end(),
                            [&](std::size_t i) { return now[i] >= version; }))
                return elapsed();
            std::this_thread::sleep_for(pollInterval);
        }
        return giveUp;
    }

private:
    std::vector<object_version> sample()
    {
        std::vector<object_version> versions(m_cluster.size());
        for (std::size_t i = 0; i < versions.size(); ++i) {
            bool ready = false;
            versions[i] = m_cluster.onInstance(i, [&](const entry_instance &e) {
                ready = e.ready();
                return e.board().configuration.value().version;
            });
            if (ready && versions[i] < m_highest[i])
                ++m_reversions;
            m_highest[i] = std::max(m_highest[i], versions[i]);
        }
        return versions;
    }

    local_cluster &m_cluster;
    std::vector<object_version> m_highest;
    std::uint64_t m_reversions = 0;
};

std::vector<std::size_t> instancesOf(const local_cluster &cluster, std::size_t dataCentres,
                                     std::size_t first, std::size_t last)
{
    std::vector<std::size_t> out;
    for (std::size_t i = 0; i < cluster.size(); ++i) {
        const std::size_t dc = i % dataCentres + 1;
        if (dc >= first && dc <= last)
            out.push_back(i);
    }
    return out;
}

object_version write(local_cluster &cluster, int step)
{
    const auto document = documentWith(seconds(2) + milliseconds(step));
    return cluster.fleet().putObject("configuration", "current", toJson(document));
}

result<experiment_report> runConfiguration(std::uint64_t seed)
{
    cluster_options options;
    options.partitions = true;
    experiment_runner runner("configuration", seed, options);
    BOOST_OUTCOME_TRYV(runner.start());
    local_cluster &cluster = runner.cluster();
    version_monitor monitor(cluster);
    const auto all = instancesOf(cluster, options.dataCentres, 1, options.dataCentres);
    int step = 0;
    duration worst{};
    duration worstByPeers{};
    duration worstFresh{};
    duration worstHealed{};

    const auto script = [&] {
        for (int i = 0; i < 8; ++i)
            worst = std::max(worst, monitor.awaitVersion(write(cluster, ++step), all));

        // Only data centre 1 reaches the platform: the others learn from peers.
        platform_faults faults;
        faults.cutOff = {data_centre_id("dc2"), data_centre_id("dc3")};
        cluster.fleet().setPlatformFaults(faults);
        for (int i = 0; i < 3; ++i)
            worstByPeers =
                    std::max(worstByPeers, monitor.awaitVersion(write(cluster, ++step), all));

        // A fresh instance without platform takes the newest document of its peers.
        faults.outage = outage_mode::Unanswered;
        const object_version newest = write(cluster, ++step);
        monitor.awaitVersion(newest, all);
        cluster.fleet().setPlatformFaults(faults);
        const std::size_t restarted = seed % cluster.size();
        cluster.shutDownInstance(restarted);
        static_cast<void>(cluster.startInstance(restarted));
        worstFresh = monitor.awaitVersion(newest, all);

        // Data centre 3 is cut off, misses a change and catches up after healing.
        cluster.fleet().setPlatformFaults({});
        cluster.cutOff(3);
        const object_version missed = write(cluster, ++step);
        monitor.awaitVersion(missed, instancesOf(cluster, options.dataCentres, 1, 2));
        cluster.cutOff(0);
        worstHealed = monitor.awaitVersion(missed, all);
    };
    constexpr duration length = seconds(15);
    auto report = runner.report(runner.measure(mixedLoad(200, {}, length), length, script));
    const double limit = toMilliseconds(bound);
    report.bounds = {
            bound_check::atMost("in force on all, ms", limit, toMilliseconds(worst)),
            bound_check::atMost("in force through peers, ms", limit, toMilliseconds(worstByPeers)),
            bound_check::atMost("in force on a fresh instance without platform, ms", limit,
                                toMilliseconds(worstFresh)),
            bound_check::atMost("in force after healing, ms", limit, toMilliseconds(worstHealed)),
            bound_check::atMost("reversions", 0, static_cast<double>(monitor.reversions())),
    };
    addCommonBounds(report);
    return report;
}

} // namespace

void addControlExperiments(std::vector<experiment> &list)
{
    list.push_back(
            {"configuration", "changes with the platform up, cut off and down", runConfiguration});
}

} // namespace peridotwheel
