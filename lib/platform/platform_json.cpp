#include "platform_json.h"

#include "peridotwheel/support/bounded_json.h"
#include "peridotwheel/support/endpoint_text.h"

#include <stdexcept>

namespace peridotwheel {

namespace {

using json = nlohmann::json;

/// Thrown by the parsers below for an invalid field, and converted to an error by `parseReply`.
struct malformed_reply : std::runtime_error
{
    using std::runtime_error::runtime_error;
};

const json &requiredField(const json &in, const char *name)
{
    if (!in.is_object())
        throw malformed_reply(std::string("expected a JSON object with field '") + name + "'");
    auto it = in.find(name);
    if (it == in.end())
        throw malformed_reply(std::string("field '") + name + "' is missing");
    return *it;
}

std::uint64_t requiredNumber(const json &in, const char *name)
{
    const json &value = requiredField(in, name);
    if (!value.is_number_unsigned())
        throw malformed_reply(std::string("field '") + name + "' must be a non-negative integer");
    return value.get<std::uint64_t>();
}

std::string requiredText(const json &in, const char *name)
{
    const json &value = requiredField(in, name);
    if (!value.is_string() || value.get_ref<const std::string &>().empty())
        throw malformed_reply(std::string("field '") + name + "' must be a non-empty string");
    return value.get<std::string>();
}

const json &requiredArray(const json &in, const char *name)
{
    const json &value = requiredField(in, name);
    if (!value.is_array())
        throw malformed_reply(std::string("field '") + name + "' must be an array");
    return value;
}

endpoint requiredEndpoint(const json &in, const char *name)
{
    auto parsed = endpointFromText(requiredText(in, name));
    if (!parsed)
        throw malformed_reply(std::string("field '") + name + "': " + parsed.error().message);
    return parsed.value();
}

bool isLeaving(const json &in)
{
    const std::string state = requiredText(in, "state");
    if (state != "live" && state != "leaving")
        throw malformed_reply("field 'state' must be 'live' or 'leaving'");
    return state == "leaving";
}

platform_object objectFromItem(const std::string &kind, const json &in)
{
    return {{kind, requiredText(in, "name")},
            object_version(requiredNumber(in, "version")),
            requiredField(in, "value").dump(-1, ' ', false, json::error_handler_t::replace)};
}

member instanceFromItem(const json &in)
{
    member m;
    m.id = instance_id(requiredText(in, "id"));
    m.start = start_id(requiredNumber(in, "start"));
    m.dataCentre = data_centre_id(requiredText(in, "dataCentre"));
    m.peers = requiredEndpoint(in, "peers");
    m.operators = requiredEndpoint(in, "operators");
    m.state = isLeaving(in) ? member_state::Leaving : member_state::Alive;
    return m;
}

server_record serverFromItem(const json &in)
{
    server_record s;
    s.id = server_id(requiredText(in, "id"));
    s.start = start_id(requiredNumber(in, "start"));
    s.service = service_name(requiredText(in, "service"));
    const json &sharded = requiredField(in, "sharded");
    if (!sharded.is_boolean())
        throw malformed_reply("field 'sharded' must be true or false");
    s.sharded = sharded.get<bool>();
    s.dataCentre = data_centre_id(requiredText(in, "dataCentre"));
    s.address = requiredEndpoint(in, "address");
    const auto limit = requiredNumber(in, "connectionLimit");
    if (limit > 1000000)
        throw malformed_reply("field 'connectionLimit' must be at most 1000000");
    s.connectionLimit = static_cast<std::uint32_t>(limit);
    s.leaving = isLeaving(in);
    return s;
}

/// Parses the JSON \p body, runs \p parse on it, and converts every exception into an error.
template <class T, class Parse>
result<T> parseReply(const std::string &body, Parse parse)
{
    const auto document = parseBoundedJson(body);
    if (!document)
        return failure(error_kind::InvalidArgument,
                       "the platform's reply is malformed: " + document.error().message);
    try {
        return parse(document.value());
    } catch (const std::exception &e) {
        return failure(error_kind::InvalidArgument,
                       std::string("the platform's reply is malformed: ") + e.what());
    }
}

} // namespace

result<endpoint> endpointFromText(const std::string &text)
{
    if (const auto parsed = parseEndpoint(text))
        return *parsed;
    return failure(error_kind::InvalidArgument,
                   "'" + text.substr(0, 64) + "' is not an address; write it as IP:PORT");
}

result<platform_object> objectFromJson(const object_key &key, const std::string &body)
{
    return parseReply<platform_object>(body, [&](const json &in) {
        return platform_object{
                key, object_version(requiredNumber(in, "version")),
                requiredField(in, "value").dump(-1, ' ', false, json::error_handler_t::replace)};
    });
}

result<object_version> versionFromJson(const std::string &body)
{
    return parseReply<object_version>(
            body, [](const json &in) { return object_version(requiredNumber(in, "version")); });
}

result<watch_result> listFromJson(const std::string &kind, const std::string &body)
{
    return parseReply<watch_result>(body, [&](const json &in) {
        watch_result out;
        out.next = object_version(requiredNumber(in, "revision"));
        for (const json &i : requiredArray(in, "items"))
            out.changed.push_back(objectFromItem(kind, i));
        return out;
    });
}

result<watch_result> watchFromJson(const std::string &kind, const std::string &body)
{
    return parseReply<watch_result>(body, [&](const json &in) {
        watch_result out;
        out.next = object_version(requiredNumber(in, "next"));
        for (const json &i : requiredArray(in, "changed"))
            out.changed.push_back(objectFromItem(kind, i));
        for (const json &name : requiredArray(in, "removed")) {
            if (!name.is_string())
                throw malformed_reply("field 'removed' must be an array of strings");
            out.removed.push_back({kind, name.get<std::string>()});
        }
        return out;
    });
}

result<instance_list> instancesFromJson(const std::string &body)
{
    return parseReply<instance_list>(body, [](const json &in) {
        instance_list out;
        for (const json &i : requiredArray(in, "instances"))
            out.instances.push_back(instanceFromItem(i));
        for (const json &s : requiredArray(in, "servers"))
            out.servers.push_back(serverFromItem(s));
        return out;
    });
}

} // namespace peridotwheel
