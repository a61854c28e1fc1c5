#include "peridotwheel/routing/shard_map.h"

#include "peridotwheel/support/bounded_json.h"

#include <algorithm>
#include <limits>
#include <stdexcept>

namespace peridotwheel {

namespace {

using json = nlohmann::json;

std::uint64_t unsignedField(const json &in, const char *name, std::uint64_t max)
{
    const json &value = in.at(name);
    if (!value.is_number_unsigned() || value.get<std::uint64_t>() > max)
        throw std::runtime_error(std::string("'") + name + "' must be a whole number up to " +
                                 std::to_string(max));
    return value.get<std::uint64_t>();
}

shard shardFrom(const json &in)
{
    shard out;
    out.id = shard_id(static_cast<std::uint32_t>(
            unsignedField(in, "id", std::numeric_limits<std::uint32_t>::max())));
    out.service = service_name(in.at("service").get<std::string>());
    for (const json &replica : in.at("replicas"))
        out.replicas.emplace_back(replica.get<std::string>());
    if (out.replicas.empty())
        throw std::runtime_error("shard " + std::to_string(out.id.value()) +
                                 " has no replicas; list at least one");
    return out;
}

} // namespace

std::string toJson(const shard_map &map)
{
    json shards = json::array();
    for (const auto &s : map.shards) {
        json replicas = json::array();
        for (const auto &r : s.replicas)
            replicas.push_back(r.value());
        shards.push_back({{"id", s.id.value()},
                          {"service", s.service.value()},
                          {"replicas", std::move(replicas)}});
    }
    const json out = {{"version", map.version.value()}, {"shards", std::move(shards)}};
    return out.dump(-1, ' ', false, json::error_handler_t::replace);
}

result<shard_map> shardMapFromJson(const std::string &text)
{
    const auto parsed = parseBoundedJson(text);
    if (!parsed)
        return parsed.error();
    try {
        shard_map map;
        map.version = index_version(unsignedField(parsed.value(), "version",
                                                  std::numeric_limits<std::uint64_t>::max()));
        for (const json &s : parsed.value().at("shards"))
            map.shards.push_back(shardFrom(s));
        std::sort(map.shards.begin(), map.shards.end(),
                  [](const shard &a, const shard &b) { return a.id < b.id; });
        const auto duplicate =
                std::adjacent_find(map.shards.begin(), map.shards.end(),
                                   [](const shard &a, const shard &b) { return a.id == b.id; });
        if (duplicate != map.shards.end())
            throw std::runtime_error("shard " + std::to_string(duplicate->id.value()) +
                                     " appears twice; shard ids must be unique");
        return map;
    } catch (const std::exception &e) {
        return failure(error_kind::InvalidArgument,
                       std::string("the shard map is malformed: ") + e.what());
    }
}

} // namespace peridotwheel
