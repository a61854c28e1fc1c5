#include "fleet_documents.h"

#include "peridotwheel/support/random_source.h"

#include <map>
#include <nlohmann/json.hpp>

namespace peridotwheel {

namespace {

using nlohmann::json;

std::string twoDigits(std::uint32_t n)
{
    return (n < 10 ? "0" : "") + std::to_string(n);
}

/// Start ids stay within the integers that JSON readers represent exactly.
constexpr std::uint64_t startIdBound = 1ULL << 53;

class planner
{
public:
    explicit planner(const fleet_config &config)
        : m_config(config)
        , m_random(config.seed)
    {
    }

    void add(const service_name &service, std::uint32_t index, bool sharded)
    {
        backend_config c;
        c.id = server_id(service.value() + "-" + std::to_string(index + 1));
        c.start = start_id(1 + m_random.below(startIdBound - 1));
        c.service = service;
        c.sharded = sharded;
        const std::uint32_t centre = index % m_config.dataCentres + 1;
        c.dataCentre = data_centre_id("dc" + std::to_string(centre));
        // 127.0.k.1 is left to the instances of data centre k.
        const std::uint32_t host = 10 + m_hosts[centre]++ % 240;
        c.address = {"127.0." + std::to_string(centre) + "." + std::to_string(host), 0};
        c.connectionLimit = sharded ? m_config.connectionLimit : m_config.plainConnectionLimit;
        c.workers = m_config.workers;
        c.queueLimit = m_config.queueLimit;
        c.serviceTimeMean = m_config.serviceTimeMean;
        c.serviceTimeDeviation = m_config.serviceTimeDeviation;
        c.remoteDelay = m_config.remoteDelay;
        c.reportLag = m_config.reportLag;
        c.seed = m_random.next();
        m_servers.push_back(std::move(c));
    }

    backend_config &last() { return m_servers.back(); }
    std::vector<backend_config> take() { return std::move(m_servers); }

private:
    const fleet_config &m_config;
    random_source m_random;
    std::map<std::uint32_t, std::uint32_t> m_hosts;
    std::vector<backend_config> m_servers;
};

json classJson(const char *name, int latencyMs, double coverage, int rank)
{
    return {{"name", name},
            {"latencyTargetMs", latencyMs},
            {"quantile", 0.99},
            {"coverageTarget", coverage},
            {"rank", rank}};
}

} // namespace

std::vector<shard_id> shardIds(std::uint32_t service, std::uint32_t shardsPerService)
{
    std::vector<shard_id> ids;
    for (std::uint32_t i = 0; i < shardsPerService; ++i)
        ids.emplace_back(service * shardsPerService + i + 1);
    return ids;
}

std::vector<backend_config> planServers(const fleet_config &config)
{
    planner plan(config);
    for (std::uint32_t s = 0; s < config.shardedServices; ++s) {
        for (std::uint32_t i = 0; i < config.serversPerService; ++i) {
            plan.add(service_name("service-" + twoDigits(s + 1)), i, true);
            plan.last().versions[index_version(1)] = shardIds(s, config.shardsPerService);
        }
    }
    for (const auto &service : config.plainServices) {
        for (std::uint32_t i = 0; i < service.servers; ++i)
            plan.add(service.name, i, false);
    }
    return plan.take();
}

std::string serverDocument(const backend_config &server, bool leaving)
{
    return json{{"id", server.id.value()},
                {"start", server.start.value()},
                {"service", server.service.value()},
                {"sharded", server.sharded},
                {"dataCentre", server.dataCentre.value()},
                {"address", server.address.address + ":" + std::to_string(server.address.port)},
                {"connectionLimit", server.connectionLimit},
                {"state", leaving ? "leaving" : "live"}}
            .dump();
}

std::string defaultConfigurationDocument()
{
    return json{{"classes",
                 {classJson("urgent", 140, 0.99, 0), classJson("middle", 400, 0.95, 1),
                  classJson("low", 2000, 1.0, 2)}},
                {"words",
                 {{"retry", "retry"}, {"wait", "wait"}, {"giveUp", "give up"}, {"done", "done"}}},
                {"changes", json::array()}}
            .dump();
}

std::string currentSnapshotDocument(index_version version)
{
    return json{{"version", version.value()}}.dump();
}

std::string snapshotDocument(index_version version, const std::vector<backend_config> &servers)
{
    std::map<shard_id, json> shards;
    for (const auto &server : servers) {
        const auto held = server.versions.find(version);
        if (held == server.versions.end())
            continue;
        for (const auto &id : held->second) {
            json &entry = shards[id];
            entry["id"] = id.value();
            entry["service"] = server.service.value();
            entry["replicas"].push_back(server.id.value());
        }
    }
    json list = json::array();
    for (auto &entry : shards)
        list.push_back(std::move(entry.second));
    return json{{"version", version.value()}, {"shards", std::move(list)}}.dump();
}

} // namespace peridotwheel
