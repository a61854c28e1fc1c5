#include "peridotwheel/standin/standin_control.h"

#include "loop_thread.h"
#include "peridotwheel/http/http_server.h"
#include "peridotwheel/standin/standin_fleet.h"

#include <nlohmann/json.hpp>

namespace peridotwheel {

namespace {

using nlohmann::json;

/// Removes field \p name from \p doc and returns its text; empty if absent or no text.
std::string takeText(json &doc, const char *name)
{
    const auto it = doc.find(name);
    if (it == doc.end())
        return {};
    std::string text = it->is_string() ? it->get<std::string>() : std::string();
    doc.erase(it);
    return text;
}

std::uint32_t numberOf(const json &doc, const char *name, std::uint32_t fallback)
{
    const auto it = doc.find(name);
    return it != doc.end() && it->is_number_unsigned() ? it->get<std::uint32_t>() : fallback;
}

json countersJson(const backend_counters &c)
{
    std::uint64_t repeatedRuns = 0;
    for (const auto &entry : c.runs)
        repeatedRuns += entry.second > 1 ? 1 : 0;
    return {{"received", c.received},
            {"executed", c.executed},
            {"cancelled", c.cancelled},
            {"shed", c.shed},
            {"expired", c.expired},
            {"versionNotHeld", c.versionNotHeld},
            {"refusedConnections", c.refusedConnections},
            {"openConnections", c.openConnections},
            {"peakConnections", c.peakConnections},
            {"receivedAfterDrain", c.receivedAfterDrain},
            {"runRequestIds", c.runs.size()},
            {"runRequestIdsExecutedTwice", repeatedRuns}};
}

json platformJson(const platform_counters &c)
{
    return {{"reads", c.reads},     {"writes", c.writes},     {"conflicts", c.conflicts},
            {"watches", c.watches}, {"unserved", c.unserved}, {"lostReplies", c.lostReplies}};
}

} // namespace

class standin_control::impl
{
public:
    explicit impl(standin_fleet &f)
        : m_fleet(f)
    {
    }
    ~impl()
    {
        m_thread.call([this] { m_server.reset(); });
    }

    result<void> start(const endpoint &at);
    endpoint address() const { return m_address; }

private:
    result<json> handle(const http_request &request);
    result<json> applyFault(json doc);
    result<json> drain(const json &doc, const server_id &id);

    standin_fleet &m_fleet;
    loop_thread m_thread;
    std::unique_ptr<http_server> m_server;
    endpoint m_address;
};

result<void> standin_control::impl::start(const endpoint &at)
{
    return m_thread.call([&]() -> result<void> {
        const auto answer = [this](const http_request &request,
                                   const std::shared_ptr<http_responder> &out) {
            const auto done = handle(request);
            if (done) {
                out->reply({200, {}, done.value().dump() + "\n"});
                return;
            }
            out->reply({done.error().kind == error_kind::NotFound ? 404 : 400,
                        {},
                        json{{"error", done.error().message}}.dump() + "\n"});
        };
        m_server = std::make_unique<http_server>(m_thread.loop(), http_server_limits{}, answer);
        BOOST_OUTCOME_TRYV(m_server->listen(at));
        m_address = {at.address, m_server->boundPort()};
        return success();
    });
}

result<json> standin_control::impl::handle(const http_request &request)
{
    if (request.path == "/counters") {
        return json{{"servers", countersJson(m_fleet.counters())},
                    {"platform", platformJson(m_fleet.platformCounters())}};
    }
    const json doc = json::parse(request.body, nullptr, false);
    if (!doc.is_object())
        return failure(error_kind::InvalidArgument, "the body is not a JSON object; send {...}");
    if (request.path == "/fault")
        return applyFault(doc);
    if (request.path == "/platform-fault") {
        BOOST_OUTCOME_TRYV(m_fleet.applyPlatformFault(request.body));
        return json{{"applied", 1}};
    }
    if (request.path == "/publish")
        return json{
                {"version", m_fleet.publishVersion(numberOf(doc, "shardsPerService", 1)).value()}};
    json rest = doc;
    const server_id id(takeText(rest, "server"));
    if (request.path == "/drain")
        return drain(doc, id);
    if (request.path == "/restart") {
        BOOST_OUTCOME_TRYV(m_fleet.restartServer(id, numberOf(doc, "coldReplies", 0)));
        return json{{"applied", 1}};
    }
    return failure(error_kind::NotFound, "unknown path; use /fault, /platform-fault, /publish, "
                                         "/drain, /restart or /counters");
}

result<json> standin_control::impl::drain(const json &doc, const server_id &id)
{
    if (doc.value("finish", json(false)) == json(true)) {
        BOOST_OUTCOME_TRYV(m_fleet.finishDrain(id));
        return json{{"finished", id.value()}};
    }
    BOOST_OUTCOME_TRYV(m_fleet.startDrain(id));
    return json{{"draining", id.value()}};
}

result<json> standin_control::impl::applyFault(json doc)
{
    const std::string id = takeText(doc, "server");
    const std::string service = takeText(doc, "service");
    const std::string dataCentre = takeText(doc, "dataCentre");
    if (id.empty() && service.empty() && dataCentre.empty()) {
        return failure(error_kind::InvalidArgument,
                       "no servers selected; name a server, a service or a dataCentre, or use "
                       "\"server\": \"*\" for all");
    }
    const std::string faults = doc.dump();
    std::size_t applied = 0;
    for (const auto &candidate : m_fleet.servers()) {
        const auto server = m_fleet.server(candidate);
        const bool named = id.empty() || id == "*" || candidate.value() == id;
        if (!named || (!service.empty() && server.value().service.value() != service) ||
            (!dataCentre.empty() && server.value().dataCentre.value() != dataCentre))
            continue;
        BOOST_OUTCOME_TRYV(m_fleet.applyFault(candidate, faults));
        ++applied;
    }
    if (applied == 0)
        return failure(error_kind::NotFound, "no such server; see /instances of the platform");
    return json{{"applied", applied}};
}

standin_control::standin_control(standin_fleet &fleet)
    : m_impl(std::make_unique<impl>(fleet))
{
}

standin_control::~standin_control() = default;

result<void> standin_control::start(const endpoint &at)
{
    return m_impl->start(at);
}

endpoint standin_control::address() const
{
    return m_impl->address();
}

} // namespace peridotwheel
