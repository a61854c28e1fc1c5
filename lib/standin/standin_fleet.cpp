#include "peridotwheel/standin/standin_fleet.h"

#include "fleet_documents.h"
#include "loop_thread.h"
#include "peridotwheel/support/random_source.h"

#include <algorithm>
#include <cassert>
#include <map>

namespace peridotwheel {

class standin_fleet::impl
{
public:
    /// A server and the thread that it lives on.
    struct hosted_server
    {
        loop_thread *thread = nullptr;
        std::unique_ptr<backend_standin> server;
        backend_config config; ///< With the address in use; read without the thread.
    };

    explicit impl(fleet_config c)
        : config(std::move(c))
        , random(config.seed + 1)
    {
    }
    ~impl() { stop(); }

    result<void> start();
    result<void> startServer(backend_config plan, loop_thread &thread);
    void stop();
    void publishSnapshot();
    void publishServer(const hosted_server &hosted, bool leaving);
    std::vector<backend_config> configs() const;

    result<hosted_server *> find(const server_id &id)
    {
        const auto it = servers.find(id);
        if (it == servers.end()) {
            return failure(error_kind::NotFound,
                           "no server '" + id.value() + "'; see /instances of the platform");
        }
        return &it->second;
    }

    void put(const std::string &kind, const std::string &name, const std::string &value)
    {
        platformThread->call([&] { platform->put(kind, name, value); });
    }

    fleet_config config;
    random_source random;
    std::unique_ptr<loop_thread> platformThread;
    std::unique_ptr<platform_standin> platform;
    endpoint platformAddress;
    std::vector<std::unique_ptr<loop_thread>> threads;
    std::map<server_id, hosted_server> servers;
    index_version version{1};
};

result<void> standin_fleet::impl::start()
{
    platformThread = std::make_unique<loop_thread>();
    const auto listening = platformThread->call([this]() -> result<void> {
        platform = std::make_unique<platform_standin>(platformThread->loop(), config.platform);
        BOOST_OUTCOME_TRYV(platform->start());
        platformAddress = platform->address();
        return success();
    });
    BOOST_OUTCOME_TRYV(listening);
    for (std::uint32_t i = 0; i < std::max(config.threads, 1U); ++i)
        threads.push_back(std::make_unique<loop_thread>());
    std::size_t next = 0;
    for (auto &plan : planServers(config)) {
        BOOST_OUTCOME_TRYV(startServer(std::move(plan), *threads[next++ % threads.size()]));
    }
    for (const auto &entry : servers)
        publishServer(entry.second, false);
    publishSnapshot();
    put("configuration", "current", defaultConfigurationDocument());
    return success();
}

result<void> standin_fleet::impl::startServer(backend_config plan, loop_thread &thread)
{
    hosted_server &hosted = servers[plan.id];
    hosted.thread = &thread;
    return thread.call([&]() -> result<void> {
        hosted.server = std::make_unique<backend_standin>(thread.loop(), std::move(plan));
        BOOST_OUTCOME_TRY(hosted.server->start());
        hosted.config = hosted.server->config();
        return success();
    });
}

void standin_fleet::impl::stop()
{
    for (auto &entry : servers)
        entry.second.thread->call([&] { entry.second.server.reset(); });
    servers.clear();
    threads.clear();
    if (platformThread)
        platformThread->call([this] { platform.reset(); });
    platformThread.reset();
}

std::vector<backend_config> standin_fleet::impl::configs() const
{
    std::vector<backend_config> all;
    for (const auto &entry : servers)
        all.push_back(entry.second.config);
    return all;
}

void standin_fleet::impl::publishSnapshot()
{
    put("snapshots", std::to_string(version.value()), snapshotDocument(version, configs()));
    put("snapshots", "current", currentSnapshotDocument(version));
}

void standin_fleet::impl::publishServer(const hosted_server &hosted, bool leaving)
{
    put("servers", hosted.config.id.value(), serverDocument(hosted.config, leaving));
}

standin_fleet::standin_fleet(fleet_config config)
    : m_impl(std::make_unique<impl>(std::move(config)))
{
}

standin_fleet::~standin_fleet() = default;

result<void> standin_fleet::start()
{
    return m_impl->start();
}

void standin_fleet::stop()
{
    m_impl->stop();
}

endpoint standin_fleet::platformAddress() const
{
    return m_impl->platformAddress;
}

std::vector<server_id> standin_fleet::servers() const
{
    std::vector<server_id> ids;
    for (const auto &entry : m_impl->servers)
        ids.push_back(entry.first);
    return ids;
}

result<backend_config> standin_fleet::server(const server_id &id) const
{
    BOOST_OUTCOME_TRY(hosted, m_impl->find(id));
    return hosted->config;
}

index_version standin_fleet::currentVersion() const
{
    return m_impl->version;
}

index_version standin_fleet::publishVersion(std::uint32_t shardsPerService)
{
    const index_version version(m_impl->version.value() + 1);
    std::map<service_name, std::uint32_t> indices;
    for (auto &entry : m_impl->servers) {
        auto &hosted = entry.second;
        if (!hosted.config.sharded)
            continue;
        const auto index = static_cast<std::uint32_t>(indices.size());
        const auto service = indices.emplace(hosted.config.service, index).first->second;
        hosted.config.versions = hosted.thread->call([&] {
            hosted.server->addVersion(version, shardIds(service, shardsPerService));
            return hosted.server->config().versions;
        });
    }
    m_impl->version = version;
    m_impl->publishSnapshot();
    return version;
}

result<void> standin_fleet::setFaults(const server_id &id, const fault_plan &plan)
{
    return changeFaults(id, [&plan](fault_plan &present) { present = plan; });
}

result<void> standin_fleet::changeFaults(const server_id &id,
                                         const std::function<void(fault_plan &)> &change)
{
    BOOST_OUTCOME_TRY(hosted, m_impl->find(id));
    hosted->thread->call([&] {
        fault_plan plan = hosted->server->faults();
        change(plan);
        hosted->server->setFaults(plan);
    });
    return success();
}

result<void> standin_fleet::applyFault(const server_id &id, const std::string &json)
{
    result<void> applied = success();
    BOOST_OUTCOME_TRYV(
            changeFaults(id, [&](fault_plan &plan) { applied = applyFaultJson(json, plan); }));
    return applied;
}

result<void> standin_fleet::startDrain(const server_id &id, bool inHealth, bool inReplies,
                                       bool inList)
{
    BOOST_OUTCOME_TRYV(changeFaults(id, [&](fault_plan &plan) {
        plan.draining = true;
        plan.drainInHealth = inHealth;
        plan.drainInReplies = inReplies;
    }));
    if (inList)
        m_impl->publishServer(m_impl->servers.at(id), true);
    return success();
}

result<void> standin_fleet::finishDrain(const server_id &id)
{
    BOOST_OUTCOME_TRYV(changeFaults(id, [](fault_plan &plan) { plan.dead = true; }));
    m_impl->platformThread->call([&] { m_impl->platform->remove("servers", id.value()); });
    return success();
}

result<void> standin_fleet::restartServer(const server_id &id, std::uint32_t coldReplies)
{
    BOOST_OUTCOME_TRY(hosted, m_impl->find(id));
    constexpr std::uint64_t startIdBound = 1ULL << 53;
    const start_id start(1 + m_impl->random.below(startIdBound - 1));
    hosted->thread->call([&] { hosted->server->restart(start, coldReplies); });
    hosted->config.start = start;
    m_impl->publishServer(*hosted, false);
    return success();
}

void standin_fleet::setPlatformFaults(const platform_faults &faults)
{
    m_impl->platformThread->call([&] { m_impl->platform->setFaults(faults); });
}

result<void> standin_fleet::applyPlatformFault(const std::string &json)
{
    return m_impl->platformThread->call([&]() -> result<void> {
        platform_faults faults = m_impl->platform->faults();
        BOOST_OUTCOME_TRYV(applyFaultJson(json, faults));
        m_impl->platform->setFaults(faults);
        return success();
    });
}

platform_counters standin_fleet::platformCounters() const
{
    return m_impl->platformThread->call([&] { return m_impl->platform->counters(); });
}

object_version standin_fleet::putObject(const std::string &kind, const std::string &name,
                                        const std::string &value)
{
    return object_version(
            m_impl->platformThread->call([&] { return m_impl->platform->put(kind, name, value); }));
}

backend_counters standin_fleet::counters() const
{
    backend_counters sum;
    for (const auto &entry : m_impl->servers) {
        const auto &hosted = entry.second;
        sum.add(hosted.thread->call([&] { return hosted.server->counters(); }));
    }
    return sum;
}

result<backend_counters> standin_fleet::counters(const server_id &id) const
{
    BOOST_OUTCOME_TRY(hosted, m_impl->find(id));
    return hosted->thread->call([&] { return hosted->server->counters(); });
}

} // namespace peridotwheel
