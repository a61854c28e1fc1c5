// Costs of the servers that an instance knows of.

#include "peridotwheel/limits/connection_share.h"
#include "peridotwheel/membership/server_directory.h"
#include "peridotwheel/platform/http_platform_client.h"
#include "slope_engine.h"
#include "slope_list.h"

#include <nlohmann/json.hpp>
#include <stdexcept>

namespace peridotwheel {

namespace {

const std::vector<std::size_t> serverCounts{1000, 4100, 10000, 41000};
const std::vector<std::size_t> memberCounts{100, 530, 1000, 5300};

std::vector<server_record> fleetServers(std::size_t count)
{
    std::vector<server_record> out;
    for (std::size_t i = 0; i < count; ++i)
        out.push_back(fleetServer(i));
    return out;
}

/// The directory's records and the copy on the blackboard.
double directoryMemory(std::size_t count)
{
    const auto list = fleetServers(count);
    const double before = heapBytes();
    server_directory directory;
    directory.applyList(list, 1);
    blackboard board;
    board.servers.set(directory.servers());
    return heapBytes() - before;
}

double engineMemory(std::size_t count, std::uint64_t seed)
{
    const double before = heapBytes();
    const engine_bench bench(count, 1, 0, seed);
    return heapBytes() - before;
}

/// Timers of an engine without connections and queries, per second of operation.
double idleCpu(std::size_t count, std::uint64_t seed)
{
    engine_bench bench(count, 1, 0, seed);
    constexpr int lengthInSeconds = 4;
    return cpuMicroseconds([&] { bench.loop().advance(seconds(lengthInSeconds)); }) /
           lengthInSeconds;
}

/// Shares of 1000 servers, as computed after each change of the members.
double shareCpu(std::size_t members)
{
    connection_share share(fleetMember(0).id, time_point());
    member_map view;
    for (std::size_t i = 0; i < members; ++i)
        view.emplace(fleetMember(i).id, fleetMember(i));
    share.updateMembers(view, time_point());
    std::uint32_t sum = 0;
    const auto servers = fleetServers(1000);
    const double cpu = cpuMicroseconds([&] {
        for (const auto &s : servers)
            sum += share(s.id, s.connectionLimit);
    });
    return sum > 0 ? cpu : 0;
}

std::string listText(std::size_t servers, std::size_t instances)
{
    nlohmann::json out = {{"instances", nlohmann::json::array()},
                          {"servers", nlohmann::json::array()}};
    const auto text = [](const endpoint &e) { return e.address + ":" + std::to_string(e.port); };
    for (std::size_t i = 0; i < instances; ++i) {
        const member m = fleetMember(i);
        out["instances"].push_back({{"id", m.id.value()},
                                    {"start", m.start.value()},
                                    {"dataCentre", m.dataCentre.value()},
                                    {"peers", text(m.peers)},
                                    {"operators", text(m.operators)},
                                    {"state", "live"}});
    }
    for (std::size_t i = 0; i < servers; ++i) {
        const server_record s = fleetServer(i);
        out["servers"].push_back({{"id", s.id.value()},
                                  {"start", s.start.value()},
                                  {"service", s.service.value()},
                                  {"sharded", s.sharded},
                                  {"dataCentre", s.dataCentre.value()},
                                  {"address", text(s.address)},
                                  {"connectionLimit", s.connectionLimit},
                                  {"state", "live"}});
    }
    return out.dump();
}

/// Answers each request with the same body.
class fixed_reply_client : public http_client
{
public:
    explicit fixed_reply_client(std::string body)
        : m_body(std::move(body))
    {
    }
    void send(const endpoint &, const http_request &, duration, outcome_hook done) override
    {
        done({transport_failure::None, {200, {}, m_body}});
    }

private:
    std::string m_body;
};

/// Reading a list that brings nothing new: parsing and comparing.
double listCpu(std::size_t count)
{
    fixed_reply_client http(listText(count, count / 8));
    http_platform_client platform(http, {});
    server_directory directory;
    bool applied = false;
    const auto read = [&] {
        platform.instances([&](const result<instance_list> &list) {
            applied = list.has_value();
            if (list)
                directory.applyList(list.value().servers, 1);
        });
    };
    read();
    const double cpu = cpuMicroseconds(read);
    if (!applied)
        throw std::runtime_error("the list of " + std::to_string(count) + " servers was refused");
    return cpu;
}

/// The parsed JSON of one list, which is held while the records are made from it.
double listMemory(std::size_t count)
{
    const std::string text = listText(count, count / 8);
    const double before = heapBytes();
    const auto document = nlohmann::json::parse(text);
    return document.is_object() ? heapBytes() - before : 0;
}

/// A map in which each shard has three servers and each server one shard.
shard_map mapOf(std::size_t servers)
{
    constexpr std::size_t replicas = 3;
    shard_map map;
    map.version = index_version(1000);
    for (std::size_t i = 0; i + replicas <= servers; i += replicas)
        map.shards.push_back({shard_id(static_cast<std::uint32_t>(i / replicas)),
                              fleetServer(i / replicas).service,
                              {fleetServer(i).id, fleetServer(i + 1).id, fleetServer(i + 2).id}});
    return map;
}

double mapMemory(std::size_t servers)
{
    const std::string text = toJson(mapOf(servers));
    const double before = heapBytes();
    const auto map = shardMapFromJson(text);
    return map ? heapBytes() - before : 0;
}

} // namespace

void addServerSlopes(std::vector<slope> &list)
{
    list.push_back({"server-memory", "servers known", "bytes in the directory and the blackboard",
                    [](auto) { return pointsAt(serverCounts, directoryMemory); }});
    list.push_back({"engine-server-memory", "servers known",
                    "bytes in the query engine and the blackboard", [](auto seed) {
                        return pointsAt(serverCounts,
                                        [=](auto n) { return engineMemory(n, seed); });
                    }});
    list.push_back({"engine-idle-cpu", "servers known", "microseconds per second without queries",
                    [](auto seed) {
                        return pointsAt(serverCounts, [=](auto n) { return idleCpu(n, seed); });
                    }});
    list.push_back({"share-cpu", "members", "microseconds per 1000 servers and change of members",
                    [](auto) { return pointsAt(memberCounts, shareCpu); }});
    list.push_back({"list-bytes", "servers, with one instance for each 8", "bytes per list read",
                    [](auto) {
                        return pointsAt(serverCounts, [](auto n) {
                            return static_cast<double>(listText(n, n / 8).size());
                        });
                    }});
    list.push_back({"list-cpu", "servers, with one instance for each 8",
                    "microseconds per list read",
                    [](auto) { return pointsAt(serverCounts, listCpu); }});
    list.push_back({"list-memory", "servers, with one instance for each 8",
                    "bytes of the parsed JSON",
                    [](auto) { return pointsAt(serverCounts, listMemory); }});
    list.push_back(
            {"shard-map-bytes", "servers, three for each shard", "bytes of the document", [](auto) {
                 return pointsAt(serverCounts, [](auto n) {
                     return static_cast<double>(toJson(mapOf(n)).size());
                 });
             }});
    list.push_back({"shard-map-memory", "servers, three for each shard", "bytes of one map",
                    [](auto) { return pointsAt(serverCounts, mapMemory); }});
}

} // namespace peridotwheel
