#include "platform_impl.h"

#include "platform_path.h"

#include <algorithm>
#include <cstdlib>
#include <nlohmann/json.hpp>

namespace peridotwheel {

namespace {

using nlohmann::json;

constexpr const char *instanceKind = "instances";
constexpr const char *serverKind = "servers";

http_server_limits limitsFor(const platform_config &config)
{
    http_server_limits limits;
    // Oversized values must reach the check that explains the limit.
    limits.maxBodyBytes = config.maxValueBytes + 64 * 1024;
    limits.maxConnections = 20000;
    limits.idleTimeout = seconds(300);
    return limits;
}

std::string objectJson(const stored_object &object)
{
    return R"({"version":)" + std::to_string(object.version) + R"(,"value":)" + object.value + "}";
}

std::string itemJson(const std::string &name, const stored_object &object)
{
    return R"({"name":)" + json(name).dump() + R"(,"version":)" + std::to_string(object.version) +
           R"(,"value":)" + object.value + "}";
}

http_reply jsonReply(int status, std::string body)
{
    return {status, {{"Content-Type", "application/json"}}, std::move(body)};
}

http_reply errorReply(int status, const std::string &message)
{
    return jsonReply(status, json{{"error", message}}.dump());
}

data_centre_id callerOf(const http_request &request)
{
    const std::string *from = request.header("X-Data-Centre");
    return data_centre_id(from != nullptr ? *from : std::string());
}

} // namespace

platform_standin::impl::impl(libevent_loop &loop, platform_config config)
    : m_loop(loop)
    , m_config(std::move(config))
    , m_random(m_config.seed)
    , m_store(m_config.maxHistory)
    , m_server(loop, limitsFor(m_config),
               [this](const http_request &r, responder_ptr out) { onRequest(r, std::move(out)); })
{
}

result<void> platform_standin::impl::start()
{
    return m_server.listen(m_config.address);
}

endpoint platform_standin::impl::address() const
{
    return {m_config.address.address, m_server.boundPort()};
}

void platform_standin::impl::onRequest(const http_request &request, responder_ptr out)
{
    if (unreachable(callerOf(request))) {
        meetOutage(std::move(out));
        return;
    }
    if (m_faults.delay == duration::zero()) {
        serve(request, out);
        return;
    }
    m_delayed.emplace_back();
    const auto at = std::prev(m_delayed.end());
    at->out = std::move(out);
    at->due = m_loop.schedule(m_faults.delay, [this, at, request] {
        const responder_ptr responder = at->out;
        m_delayed.erase(at);
        if (unreachable(callerOf(request))) {
            meetOutage(responder);
            return;
        }
        serve(request, responder);
    });
}

bool platform_standin::impl::unreachable(const data_centre_id &from) const
{
    return m_faults.outage != outage_mode::None || m_faults.cutOff.count(from) != 0;
}

void platform_standin::impl::meetOutage(responder_ptr out)
{
    ++m_counters.unserved;
    if (m_faults.outage == outage_mode::Dropped) {
        out->drop();
        return;
    }
    m_unanswered.push_back(std::move(out));
}

void platform_standin::impl::setFaults(const platform_faults &faults)
{
    m_faults = faults;
    // Connections that met the earlier faults break, as they would with a real partition.
    for (const auto &out : m_unanswered)
        out->drop();
    m_unanswered.clear();
    for (auto it = m_watches.begin(); it != m_watches.end();) {
        if (!unreachable(it->from)) {
            ++it;
            continue;
        }
        meetOutage(std::move(it->out));
        it = m_watches.erase(it);
    }
}

std::uint64_t platform_standin::impl::put(const std::string &kind, const std::string &name,
                                          const std::string &value)
{
    const std::uint64_t version = m_store.put(kind, name, value);
    noteChange(kind, name, value);
    return version;
}

void platform_standin::impl::remove(const std::string &kind, const std::string &name)
{
    m_store.remove(kind, name);
    noteChange(kind, name, std::nullopt);
}

void platform_standin::impl::noteChange(const std::string &kind, const std::string &name,
                                        std::optional<std::string> value)
{
    if (kind == instanceKind || kind == serverKind)
        m_unlisted.push_back({m_loop.now() + m_config.listLag, kind, name, std::move(value)});
    for (auto it = m_watches.begin(); it != m_watches.end();) {
        if (it->kind != kind) {
            // Nothing of its kind changed, so that it cannot fall behind the bounded history.
            it->since = m_store.revision();
            ++it;
            continue;
        }
        it->out->reply(jsonReply(200, changesJson(kind, it->since)));
        it = m_watches.erase(it);
    }
}

void platform_standin::impl::serve(const http_request &request, const responder_ptr &out)
{
    const auto parts = pathParts(request.path);
    const bool get = request.method == http_method::Get;
    if (get && parts.size() == 1 && parts[0] == "instances") {
        onInstances(out);
        return;
    }
    if (get && parts.size() == 2 && parts[0] == "watch") {
        onWatch(request, parts[1], out);
        return;
    }
    if (get && parts.size() == 2 && parts[0] == "objects") {
        onList(parts[1], out);
        return;
    }
    if (parts.size() == 3 && parts[0] == "objects" && !parts[2].empty()) {
        onObject(request, parts[1], parts[2], out);
        return;
    }
    out->reply(errorReply(404, "unknown path; use /objects/KIND/NAME, /objects/KIND, "
                               "/watch/KIND?since=R or /instances"));
}

void platform_standin::impl::onObject(const http_request &request, const std::string &kind,
                                      const std::string &name, const responder_ptr &out)
{
    if (request.method != http_method::Get) {
        onWrite(request, kind, name, out);
        return;
    }
    ++m_counters.reads;
    const stored_object *object = m_store.find(kind, name);
    if (object == nullptr) {
        out->reply(errorReply(404, "no object " + kind + "/" + name));
        return;
    }
    out->reply(jsonReply(200, objectJson(*object)));
}

void platform_standin::impl::onWrite(const http_request &request, const std::string &kind,
                                     const std::string &name, const responder_ptr &out)
{
    if (request.method == http_method::Post) {
        out->reply(errorReply(405, "use GET, PUT or DELETE"));
        return;
    }
    const bool put = request.method == http_method::Put;
    if (put && request.body.size() > m_config.maxValueBytes) {
        out->reply(errorReply(413, "value too large; keep it within " +
                                           std::to_string(m_config.maxValueBytes) + " bytes"));
        return;
    }
    if (put && !json::accept(request.body)) {
        out->reply(errorReply(400, "the body is not JSON"));
        return;
    }
    const stored_object *present = m_store.find(kind, name);
    if (!put && present == nullptr) {
        out->reply(errorReply(404, "no object " + kind + "/" + name));
        return;
    }
    write_precondition required;
    required.absent = request.header("If-None-Match") != nullptr;
    if (const std::string *version = request.header("If-Match"))
        required.version = std::strtoull(version->c_str(), nullptr, 10);
    if (!m_store.permits(kind, name, required)) {
        ++m_counters.conflicts;
        out->reply(jsonReply(412,
                             objectJson(present != nullptr ? *present : stored_object{0, "null"})));
        return;
    }
    ++m_counters.writes;
    if (put) {
        replyWritten(kind, this->put(kind, name, request.body), out);
        return;
    }
    remove(kind, name);
    replyWritten(kind, m_store.revision(), out);
}

void platform_standin::impl::replyWritten(const std::string &kind, std::uint64_t version,
                                          const responder_ptr &out)
{
    const bool eligible = m_faults.lostReplyKind.empty() || m_faults.lostReplyKind == kind;
    if (eligible && m_faults.lostReplyFraction > 0 &&
        m_random.fraction() < m_faults.lostReplyFraction) {
        ++m_counters.lostReplies;
        out->drop();
        return;
    }
    out->reply(jsonReply(200, R"({"version":)" + std::to_string(version) + "}"));
}

void platform_standin::impl::onList(const std::string &kind, const responder_ptr &out)
{
    ++m_counters.reads;
    std::string items;
    for (const auto &[name, object] : m_store.list(kind))
        items += (items.empty() ? "" : ",") + itemJson(name, object);
    out->reply(jsonReply(200, R"({"revision":)" + std::to_string(m_store.revision()) +
                                      R"(,"items":[)" + items + "]}"));
}

void platform_standin::impl::onInstances(const responder_ptr &out)
{
    ++m_counters.reads;
    while (!m_unlisted.empty() && m_unlisted.front().due <= m_loop.now()) {
        auto &change = m_unlisted.front();
        auto &kind = m_listed[change.kind];
        kind.erase(change.name);
        if (change.value)
            kind.emplace(change.name, std::move(*change.value));
        m_unlisted.pop_front();
    }
    const auto joined = [this](const char *kind) {
        std::string all;
        for (const auto &entry : m_listed[kind])
            all += (all.empty() ? "" : ",") + entry.second;
        return all;
    };
    out->reply(jsonReply(200, R"({"instances":[)" + joined(instanceKind) + R"(],"servers":[)" +
                                      joined(serverKind) + "]}"));
}

void platform_standin::impl::onWatch(const http_request &request, const std::string &kind,
                                     const responder_ptr &out)
{
    constexpr std::uint64_t defaultWaitMs = 10000;
    ++m_counters.watches;
    const std::uint64_t since = queryNumber(request.path, "since", 0);
    const auto changes = m_store.changesSince(kind, since);
    if (!changes) {
        out->reply(errorReply(410, "changes since this revision are not held; list the objects"));
        return;
    }
    const auto wait = milliseconds(queryNumber(request.path, "timeoutMs", defaultWaitMs));
    if (!changes->empty() || wait.count() == 0) {
        out->reply(jsonReply(200, changesJson(kind, since)));
        return;
    }
    m_watches.push_back({out, callerOf(request), kind, since, {}});
    const auto at = std::prev(m_watches.end());
    at->due = m_loop.schedule(wait, [this, at] {
        at->out->reply(jsonReply(200, changesJson(at->kind, at->since)));
        m_watches.erase(at);
    });
}

std::string platform_standin::impl::changesJson(const std::string &kind, std::uint64_t since) const
{
    std::string changed;
    std::string removed;
    const auto changes = m_store.changesSince(kind, since);
    if (changes) {
        for (const auto &[name, object] : *changes) {
            std::string &list = object != nullptr ? changed : removed;
            list += list.empty() ? "" : ",";
            list += object != nullptr ? itemJson(name, *object) : json(name).dump();
        }
    }
    return R"({"next":)" + std::to_string(m_store.revision()) + R"(,"changed":[)" + changed +
           R"(],"removed":[)" + removed + "]}";
}

} // namespace peridotwheel
