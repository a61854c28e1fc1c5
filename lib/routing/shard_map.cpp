#include "peridotwheel/routing/shard_map.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace peridotwheel {

using nlohmann::json;

namespace {

result<shard> shardFromJson(const json &value)
{
    shard s;
    s.id = shard_id(value.at("id").get<std::uint32_t>());
    s.service = service_name(value.at("service").get<std::string>());
    for (const auto &replica : value.at("replicas"))
        s.replicas.emplace_back(replica.get<std::string>());
    if (s.replicas.empty()) {
        return failure(error_kind::InvalidArgument,
                       "shard " + std::to_string(s.id.value()) +
                               " has no replicas; publish the map with at least one server");
    }
    return s;
}

result<shard_map> mapFromJson(const json &value)
{
    shard_map map;
    map.version = index_version(value.at("version").get<std::uint64_t>());
    for (const auto &element : value.at("shards")) {
        auto s = shardFromJson(element);
        if (!s)
            return s.error();
        map.shards.push_back(std::move(s).value());
    }
    const auto byId = [](const shard &a, const shard &b) { return a.id < b.id; };
    std::sort(map.shards.begin(), map.shards.end(), byId);
    const auto sameId = [](const shard &a, const shard &b) { return a.id == b.id; };
    const auto twice = std::adjacent_find(map.shards.begin(), map.shards.end(), sameId);
    if (twice != map.shards.end()) {
        return failure(error_kind::InvalidArgument, "shard id " +
                                                            std::to_string(twice->id.value()) +
                                                            " occurs twice; ids must be unique");
    }
    return map;
}

} // namespace

std::string toJson(const shard_map &map)
{
    json shards = json::array();
    for (const auto &s : map.shards) {
        json replicas = json::array();
        for (const auto &replica : s.replicas)
            replicas.push_back(replica.value());
        shards.push_back({{"id", s.id.value()},
                          {"service", s.service.value()},
                          {"replicas", std::move(replicas)}});
    }
    return json{{"version", map.version.value()}, {"shards", std::move(shards)}}.dump();
}

result<shard_map> shardMapFromJson(const std::string &text)
{
    try {
        return mapFromJson(json::parse(text));
    } catch (const json::exception &e) {
        return failure(
                error_kind::InvalidArgument,
                std::string("shard map is malformed: ") + e.what() +
                        R"(; expected {"version":V,"shards":[{"id","service","replicas"}]})");
    }
}

} // namespace peridotwheel
