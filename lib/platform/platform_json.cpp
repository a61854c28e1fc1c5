#include "platform_json.h"

#include "peridotwheel/support/bounded_json.h"
#include "peridotwheel/support/endpoint_text.h"
#include "peridotwheel/support/json_text.h"

#include <stdexcept>
#include <utility>

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

json parsed(std::string_view text)
{
    auto value = parseBoundedJson(std::string(text));
    if (!value)
        throw malformed_reply(value.error().message);
    return std::move(value).value();
}

/// Reads the arrays of a reply entry by entry, since one entry that cannot be read must not make
/// the others unreadable.
class list_reader
{
public:
    list_reader(std::string_view body, skipped_entries &skipped)
        : m_skipped(skipped)
    {
        auto members = jsonMembers(body);
        if (!members)
            throw malformed_reply("expected a JSON object");
        m_members = std::move(*members);
    }

    std::uint64_t number(const char *field) const
    {
        return requiredNumber(json{{field, parsed(text(field))}}, field);
    }

    /// Returns the results of \p read for the entries of \p field for which it does not throw.
    template <class Read>
    auto entries(const char *field, Read read)
    {
        const auto texts = jsonElements(text(field));
        if (!texts)
            throw malformed_reply(std::string("field '") + field + "' must be an array");
        std::vector<decltype(read(json()))> out;
        out.reserve(texts->size());
        for (const std::string_view entry : *texts) {
            try {
                out.push_back(read(parsed(entry)));
            } catch (const std::exception &e) {
                m_skipped.add(field, e.what());
            }
        }
        return out;
    }

private:
    std::string_view text(const char *field) const
    {
        const auto it = m_members.find(field);
        if (it == m_members.end())
            throw malformed_reply(std::string("field '") + field + "' is missing");
        return it->second;
    }

    std::map<std::string, std::string_view> m_members;
    skipped_entries &m_skipped;
};

/// Runs \p read and converts every exception into an error.
template <class T, class Read>
result<T> readReply(Read read)
{
    try {
        return read();
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
    return readReply<platform_object>([&] {
        const json in = parsed(body);
        return platform_object{
                key, object_version(requiredNumber(in, "version")),
                requiredField(in, "value").dump(-1, ' ', false, json::error_handler_t::replace)};
    });
}

result<object_version> versionFromJson(const std::string &body)
{
    return readReply<object_version>(
            [&] { return object_version(requiredNumber(parsed(body), "version")); });
}

void skipped_entries::add(const char *field, const char *reason)
{
    if (count++ == 0)
        first = std::string(field) + ": " + reason;
}

result<watch_result> listFromJson(const std::string &kind, const std::string &body,
                                  skipped_entries &skipped)
{
    return readReply<watch_result>([&] {
        list_reader reply(body, skipped);
        watch_result out;
        out.next = object_version(reply.number("revision"));
        out.changed =
                reply.entries("items", [&](const json &in) { return objectFromItem(kind, in); });
        return out;
    });
}

result<watch_result> watchFromJson(const std::string &kind, const std::string &body,
                                   skipped_entries &skipped)
{
    return readReply<watch_result>([&] {
        list_reader reply(body, skipped);
        watch_result out;
        out.next = object_version(reply.number("next"));
        out.changed =
                reply.entries("changed", [&](const json &in) { return objectFromItem(kind, in); });
        out.removed = reply.entries("removed", [&](const json &in) {
            return object_key{kind, in.get<std::string>()};
        });
        return out;
    });
}

result<instance_list> instancesFromJson(const std::string &body, skipped_entries &skipped)
{
    return readReply<instance_list>([&] {
        list_reader reply(body, skipped);
        instance_list out;
        out.instances = reply.entries("instances", &instanceFromItem);
        out.servers = reply.entries("servers", &serverFromItem);
        return out;
    });
}

} // namespace peridotwheel
