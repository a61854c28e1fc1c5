#include "experiment_list.h"
#include "experiment_runner.h"
#include "peridotwheel/bench/bare_fanout.h"
#include "peridotwheel/bench/cpu_meter.h"

#include <map>
#include <nlohmann/json.hpp>
#include <thread>

namespace peridotwheel {

namespace {

constexpr std::uint32_t concurrency = 8;
constexpr duration measuredFor = seconds(6);
constexpr duration warmUp = seconds(2);

/// Keeps a fixed number of queries in flight at one instance.
class closed_loop
{
public:
    closed_loop(libevent_loop &loop, endpoint to)
        : m_connector(loop)
        , m_client(m_connector)
        , m_to(std::move(to))
    {
    }

    void start()
    {
        for (std::uint32_t i = 0; i < concurrency; ++i)
            sendNext();
    }
    void stop() { m_stopped = true; }
    std::uint64_t answered() const { return m_answered; }
    std::uint64_t failed() const { return m_failed; }

private:
    void sendNext()
    {
        const std::string body = R"({"class":"low","query":"query"})";
        m_client.send(m_to, {http_method::Post, "/query", {}, body}, seconds(10),
                      [this](const http_outcome &outcome) {
                          ++(outcome.ok() && outcome.reply.status == 200 ? m_answered : m_failed);
                          if (!m_stopped)
                              sendNext();
                      });
    }

    evhttp_connector m_connector;
    pooled_http_client m_client;
    endpoint m_to;
    std::uint64_t m_answered = 0;
    std::uint64_t m_failed = 0;
    bool m_stopped = false;
};

struct cpu_rate
{
    double requestsPerCpuSecond = 0.0;
    double requestsPerSecond = 0.0;
    double idle = 0.0;
};

/// Measures server requests per second of the thread's processor time, which other load on the
/// machine disturbs least.
template <class Thread>
cpu_rate measureThread(Thread onThread, const std::function<std::uint64_t()> &requests)
{
    std::this_thread::sleep_for(warmUp);
    const idle_meter idle;
    const std::uint64_t before = requests();
    const duration cpuBefore = onThread();
    std::this_thread::sleep_for(measuredFor);
    const auto count = static_cast<double>(requests() - before);
    const double cpuSeconds = toMilliseconds(onThread() - cpuBefore) / 1000.0;
    return {count / cpuSeconds, count / (toMilliseconds(measuredFor) / 1000.0), idle.idleShare()};
}

cluster_options fastFleet()
{
    cluster_options options;
    options.instances = 1;
    options.dataCentres = 1;
    options.fleet.threads = 4;
    options.fleet.serviceTimeMean = duration::zero();
    options.fleet.connectionLimit = 4 * concurrency;
    // The only instance takes all connections at once, and gives them up before the baseline runs.
    options.entry.engine.connectionHold = duration::zero();
    options.entry.drainGrace = duration::zero();
    return options;
}

std::string shardList(const backend_config &config)
{
    std::string text;
    for (const shard_id id : config.versions.rbegin()->second)
        text += (text.empty() ? "" : ",") + std::to_string(id.value());
    return text;
}

std::vector<fanout_target> oneServerOfEach(standin_fleet &fleet)
{
    std::map<service_name, fanout_target> chosen;
    for (const auto &id : fleet.servers()) {
        const auto config = fleet.server(id);
        if (config && config.value().sharded)
            chosen[config.value().service] = {config.value().address, shardList(config.value())};
    }
    std::vector<fanout_target> out;
    out.reserve(chosen.size());
    for (const auto &[service, target] : chosen)
        out.push_back(target);
    return out;
}

cpu_rate measureBare(standin_fleet &fleet, std::uint64_t &failures)
{
    loop_thread thread;
    std::unique_ptr<bare_fanout> bare;
    thread.call([&] {
        bare = std::make_unique<bare_fanout>(thread.loop(), oneServerOfEach(fleet), concurrency);
        bare->start();
    });
    const cpu_rate rate =
            measureThread([&] { return thread.call([] { return threadCpuTime(); }); },
                          [&] { return thread.call([&] { return bare->serverRequests(); }); });
    thread.call([&] {
        failures = bare->failures();
        bare.reset();
    });
    return rate;
}

cpu_rate measureInstance(local_cluster &cluster)
{
    loop_thread callers;
    std::unique_ptr<closed_loop> load;
    const endpoint to =
            cluster.onInstance(0, [](const entry_instance &e) { return e.callersAddress(); });
    callers.call([&] {
        load = std::make_unique<closed_loop>(callers.loop(), to);
        load->start();
    });
    const cpu_rate rate = measureThread(
            [&] {
                return cluster.onInstance(0,
                                          [](const entry_instance &) { return threadCpuTime(); });
            },
            [&] { return cluster.counterSum("query.attempts.first"); });
    callers.call([&] { load.reset(); });
    return rate;
}

result<experiment_report> runThroughput(std::uint64_t seed)
{
    experiment_runner runner("throughput", seed, fastFleet());
    BOOST_OUTCOME_TRYV(runner.cluster().start());
    const cpu_rate instance = measureInstance(runner.cluster());
    runner.cluster().shutDownInstance(0);
    std::uint64_t bareFailures = 0;
    const cpu_rate bare = measureBare(runner.cluster().fleet(), bareFailures);
    measured_run run;
    run.length = measuredFor;
    run.idle = std::min(instance.idle, bare.idle);
    auto report = runner.report(run);
    report.bounds = {
            bound_check::atLeast("server requests per CPU second, share of bare fan-out", 0.7,
                                 instance.requestsPerCpuSecond / bare.requestsPerCpuSecond),
            {"instance, server requests per CPU second", "reported", instance.requestsPerCpuSecond,
             true},
            {"bare fan-out, server requests per CPU second", "reported", bare.requestsPerCpuSecond,
             true},
            {"instance, server requests per second", "reported", instance.requestsPerSecond, true},
            {"bare fan-out, server requests per second", "reported", bare.requestsPerSecond, true},
    };
    report.bounds.push_back(bound_check::atMost("bare fan-out, replies without results", 0,
                                                static_cast<double>(bareFailures)));
    addCommonBounds(report);
    return report;
}

} // namespace

void addThroughputExperiment(std::vector<experiment> &list)
{
    list.push_back({"throughput", "one instance on one core against a bare libevent fan-out",
                    runThroughput});
}

} // namespace peridotwheel
