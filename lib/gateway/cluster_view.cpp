#include "peridotwheel/gateway/cluster_view.h"

#include "peridotwheel/gateway/decision_log.h"

#include <algorithm>
#include <set>

namespace peridotwheel {

namespace {

/// Share of the time that a change may take which one watch waits at most: the store may lose the
/// answer to a watch, and only its end shows that.
constexpr double watchShare = 0.45;
/// Share of that time for which changes are collected before the next watch.
constexpr double batchShare = 0.08;
/// Share of that time beyond which a view is older than a lost answer makes it: the store was away.
constexpr double outageShare = 0.75;
constexpr duration refreshInterval = seconds(1);
/// Servers that went which are remembered; older positions get the whole list.
constexpr std::size_t maxGone = 4096;

object_watcher_options watchOptions(duration applyWithin)
{
    object_watcher_options o;
    o.watchWait = scaled(applyWithin, watchShare);
    // A change of the configuration has to be in force within seconds, also right after an outage.
    o.retryFirst = milliseconds(150);
    o.retryMax = milliseconds(1200);
    // Changes often come together; one answer then carries several.
    o.pauseBetweenWatches = scaled(applyWithin, batchShare);
    // Instances that do not watch ask those that do.
    o.idleReadInterval = std::chrono::hours(24);
    return o;
}

} // namespace

cluster_view::cluster_view(event_loop &loop, platform_client &store, counter_set &counters,
                           decision_log &log, std::uint64_t seed, duration applyWithin,
                           cluster_documents documents, cluster_view_hooks hooks)
    : m_loop(loop)
    , m_log(log)
    , m_outageAge(scaled(applyWithin, outageShare))
    , m_documents(std::move(documents))
    , m_hooks(std::move(hooks))
    , m_configurationWatch(loop, store, counters, m_documents.configurationKind, seed,
                           watchOptions(applyWithin), nullptr)
    , m_serverWatch(loop, store, counters, m_documents.serverKind, seed + 1,
                    watchOptions(applyWithin), nullptr)
{
    m_configurationWatch.setReadHook([this](const watch_result &read, bool) {
        onReadSucceeded();
        for (const auto &object : read.changed)
            onConfiguration(object);
    });
    m_serverWatch.setReadHook([this](const watch_result &read, bool isFullList) {
        onReadSucceeded();
        onServersRead(read, isFullList);
    });
    m_configurationWatch.setFailureHook([this](const error &problem) { onReadFailed(problem); });
    m_serverWatch.setFailureHook([this](const error &problem) { onReadFailed(problem); });
}

cluster_view::~cluster_view() = default;

void cluster_view::setWatching(bool watching)
{
    if (m_watching == watching)
        return;
    m_watching = watching;
    {
        auto line = m_log.state(watching ? "watch_started" : "watch_ended");
        if (m_routes)
            line.addMs("view_age_ms", age());
        else
            line.add("view_age_ms", "none");
    }
    m_configurationWatch.setActive(watching);
    m_serverWatch.setActive(watching);
    if (m_started || !watching)
        return;
    m_started = true;
    m_configurationWatch.start();
    m_serverWatch.start();
}

duration cluster_view::age() const
{
    return m_loop.now() - m_confirmedAt;
}

void cluster_view::refreshServers(const char *reason)
{
    const time_point now = m_loop.now();
    if (now < m_nextRefresh)
        return;
    // Instances that do not watch hear of the change within their next exchange.
    if (!m_watching)
        return;
    m_nextRefresh = now + refreshInterval;
    m_log.state("servers_read_again").add("reason", reason);
    m_serverWatch.refresh();
}

configuration_version cluster_view::version() const
{
    return m_routes ? m_routes->version() : configuration_version();
}

bool cluster_view::storeIsAway() const
{
    return m_failingSince && m_loop.now() - *m_failingSince >= outageAfter;
}

void cluster_view::onReadFailed(const error &problem)
{
    if (m_failingSince)
        return;
    m_failingSince = m_loop.now();
    m_log.state("store_lost").add("reason", problem.message);
}

void cluster_view::onReadSucceeded()
{
    confirm(m_loop.now());
    if (!m_failingSince)
        return;
    m_log.state("store_regained").addMs("away_ms", m_loop.now() - *m_failingSince);
    m_failingSince.reset();
}

void cluster_view::confirm(time_point readAt)
{
    // A call without an answer shows only at its timeout, and other instances' calls not at all;
    // the age of the view covers both.
    const bool hasServers = m_serversAt.value() != 0;
    if (hasServers && readAt - m_confirmedAt >= m_outageAge)
        m_graceUntil = std::max(m_graceUntil, readAt + lapsedGrace);
    m_confirmedAt = std::max(m_confirmedAt, readAt);
}

void cluster_view::onConfiguration(const platform_object &object)
{
    if (object.key.name != m_documents.configurationName)
        return;
    auto read = m_documents.readConfiguration(object);
    if (!read) {
        m_log.state("configuration_refused").add("reason", read.error().message);
        return;
    }
    if (m_routes && read.value().version <= m_routes->version())
        return;
    m_configuration = object;
    m_routes = std::make_shared<route_table>(std::move(read).value());
    m_hooks.onRoutes(m_routes);
    std::set<service_name> present;
    for (const auto &[id, server] : m_servers)
        present.insert(server.service);
    for (const auto &r : m_routes->routes()) {
        for (const auto &name : servicesOf(*r)) {
            if (present.count(name) == 0)
                return refreshServers("a configured service has no servers");
        }
    }
}

void cluster_view::takeServer(const platform_object &object)
{
    platform_object &known = m_serverObjects[object.key.name];
    if (!known.key.name.empty() && object.version < known.version)
        return;
    const bool isSame = known.value == object.value;
    known = object;
    const bool isBack = m_goneAt.erase(object.key.name) > 0;
    m_missing.erase(object.key.name);
    if (isBack)
        m_changedAt[object.key.name] = object.version;
    if (isSame)
        return;
    auto record = m_documents.readServer(object);
    const server_id id(object.key.name);
    if (!record) {
        m_log.decision("server_entry_refused").add("reason", record.error().message);
        m_changedAt[object.key.name] = object.version;
        m_serversChanged = m_servers.erase(id) > 0 || m_serversChanged;
        return;
    }
    const auto it = m_servers.find(id);
    if (it != m_servers.end() && it->second == record.value())
        return;
    m_servers[id] = std::move(record).value();
    m_changedAt[object.key.name] = object.version;
    m_serversChanged = true;
}

void cluster_view::noteGone(const std::string &name)
{
    m_goneAt[name] = m_serversAt;
    if (m_goneAt.size() <= maxGone)
        return;
    const auto oldest =
            std::min_element(m_goneAt.begin(), m_goneAt.end(),
                             [](const auto &a, const auto &b) { return a.second < b.second; });
    m_changesFrom = std::max(m_changesFrom, oldest->second);
    m_goneAt.erase(oldest);
}

void cluster_view::removeServer(const std::string &name)
{
    m_changedAt.erase(name);
    m_serverObjects.erase(name);
    m_missing.erase(name);
    m_serversChanged = m_servers.erase(server_id(name)) > 0 || m_serversChanged;
}

void cluster_view::loseServer(const std::string &name)
{
    // Also if it was not known here: another instance may have seen it come and told of it.
    noteGone(name);
    if (m_loop.now() >= m_graceUntil)
        removeServer(name);
    else if (m_serverObjects.count(name) != 0)
        m_missing.insert(name);
}

void cluster_view::removeMissing(const watch_result &list)
{
    std::set<std::string> present;
    for (const auto &object : list.changed)
        present.insert(object.key.name);
    std::vector<std::string> lost;
    for (const auto &[name, object] : m_serverObjects) {
        if (present.count(name) == 0)
            lost.push_back(name);
    }
    for (const auto &name : lost)
        loseServer(name);
}

void cluster_view::onServersRead(const watch_result &read, bool isFullList)
{
    m_serversAt = std::max(m_serversAt, read.next);
    if (m_changesFrom.value() == 0)
        m_changesFrom = m_serversAt;
    if (isFullList)
        removeMissing(read);
    for (const auto &object : read.changed)
        takeServer(object);
    for (const auto &key : read.removed)
        loseServer(key.name);
    if (!m_missing.empty()) {
        m_log.state("servers_missing").add("count", static_cast<std::int64_t>(m_missing.size()));
        m_dropTimer = m_loop.schedule(m_graceUntil - m_loop.now(), [this] { dropLapsed(); });
    }
    publishServers();
}

void cluster_view::dropLapsed()
{
    const auto missing = m_missing;
    for (const auto &name : missing)
        removeServer(name);
    publishServers();
}

void cluster_view::publishServers()
{
    if (!m_serversChanged)
        return;
    m_serversChanged = false;
    m_hooks.onServers(m_servers);
}

view_snapshot cluster_view::snapshot(object_version known) const
{
    view_snapshot s;
    s.age = age();
    s.configuration = m_configuration;
    s.serversAt = m_serversAt;
    if (known.value() != 0 && known >= m_changesFrom)
        s.serversSince = known;
    for (const auto &[name, object] : m_serverObjects) {
        const auto changed = m_changedAt.find(name);
        const bool isNews =
                !s.serversSince || (changed != m_changedAt.end() && changed->second > known);
        if (isNews && m_missing.count(name) == 0)
            s.servers.push_back(object);
    }
    for (const auto &[name, at] : m_goneAt) {
        if (s.serversSince && at > known)
            s.goneServers.push_back(name);
    }
    if (!m_missing.empty())
        s.missingFor = std::max(m_graceUntil - m_loop.now(), duration::zero());
    return s;
}

void cluster_view::merge(const view_snapshot &other)
{
    confirm(m_loop.now() - other.age);
    if (other.configuration)
        onConfiguration(*other.configuration);
    const bool isOld =
            other.serversAt < m_serversAt || (other.serversSince && other.serversAt == m_serversAt);
    // Changes after a revision that is not reached here would leave out those before it.
    if (isOld || (other.serversSince && *other.serversSince > m_serversAt))
        return;
    m_graceUntil = std::max(m_graceUntil, m_loop.now() + other.missingFor);
    watch_result list;
    list.changed = other.servers;
    list.next = other.serversAt;
    for (const auto &name : other.goneServers)
        list.removed.push_back({m_documents.serverKind, name});
    onServersRead(list, !other.serversSince);
}

} // namespace peridotwheel
