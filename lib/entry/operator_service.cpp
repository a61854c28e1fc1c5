#include "peridotwheel/entry/operator_service.h"

#include "peridotwheel/counters/counter_set.h"
#include "peridotwheel/state/blackboard.h"
#include "peridotwheel/status/status_text.h"
#include "peridotwheel/timeline/event_ring.h"
#include "peridotwheel/timeline/timeline_json.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace peridotwheel {

namespace {

using json = nlohmann::ordered_json;

const char *toString(member_state state)
{
    switch (state) {
    case member_state::Alive:
        return "alive";
    case member_state::Suspect:
        return "suspect";
    case member_state::Leaving:
        return "leaving";
    case member_state::Dead:
        return "dead";
    }
    return "unknown";
}

std::uint64_t currentSnapshot(const blackboard &board)
{
    const shard_map_ptr &map = board.snapshots.value().current;
    return map ? map->version.value() : 0;
}

http_reply jsonPage(std::string body)
{
    return {200, {{"Content-Type", "application/json"}}, std::move(body)};
}

} // namespace

operator_service::operator_service(const blackboard &board, const counter_set &counters,
                                   const event_ring &events, member self)
    : m_board(board)
    , m_counters(counters)
    , m_events(events)
    , m_self(std::move(self))
{
}

http_reply operator_service::handle(const http_request &request) const
{
    if (request.method != http_method::Get)
        return {405, {{"Allow", "GET"}}, "operators' pages are read-only; use GET\n"};
    const std::string path = request.path.substr(0, request.path.find('?'));
    if (path == "/operator/where")
        return jsonPage(wherePage());
    if (path == "/operator/status")
        return jsonPage(statusPage());
    if (path == "/operator/counters")
        return jsonPage(countersPage());
    if (path == "/operator/timeline")
        return jsonPage(serialiseTimelinePage(m_self.id.value(), m_events));
    return {404,
            {},
            "no such page; use /operator/where, /operator/status, /operator/counters or "
            "/operator/timeline\n"};
}

std::string operator_service::wherePage() const
{
    const json page = {{"instance", m_self.id.value()},
                       {"dataCentre", m_self.dataCentre.value()},
                       {"start", m_self.start.value()},
                       {"configurationVersion", m_board.configuration.value().version.value()},
                       {"snapshotVersion", currentSnapshot(m_board)}};
    return page.dump();
}

std::string operator_service::statusPage() const
{
    const platform_health &health = m_board.platformHealth.value();
    json members = json::array();
    for (const auto &[id, m] : m_board.members.value()) {
        members.push_back(
                {{"id", id.value()},
                 {"dataCentre", m.dataCentre.value()},
                 {"operators", {{"address", m.operators.address}, {"port", m.operators.port}}},
                 {"state", toString(m.state)}});
    }
    const server_map &servers = m_board.servers.value();
    const auto leaving = std::count_if(servers.begin(), servers.end(),
                                       [](const auto &entry) { return entry.second.leaving; });
    const json page = {{"instance", m_self.id.value()},
                       {"dataCentre", m_self.dataCentre.value()},
                       {"phase", peridotwheel::toString(m_board.phase.value().phase)},
                       {"platformReachable", health.reachable},
                       {"platformSinceMs", health.since.time_since_epoch().count()},
                       {"servers", servers.size()},
                       {"serversLeaving", leaving},
                       {"members", members}};
    return page.dump();
}

std::string operator_service::countersPage() const
{
    json counters = json::object();
    for (const auto &[name, c] : m_counters.all())
        counters[name] = c.value();
    const json page = {{"instance", m_self.id.value()}, {"counters", counters}};
    return page.dump();
}

} // namespace peridotwheel
