#include "peridotwheel/gateway/cluster_view.h"

#include "peridotwheel/counters/counter_set.h"
#include "peridotwheel/gateway/decision_log.h"
#include "view_watch_options.h"

#include <algorithm>
#include <set>
#include <utility>

namespace peridotwheel {

namespace {

/// Longest wait of one watch as a fraction of `applyWithin`. The store may lose the answer to a
/// watch, which is noticed only when the watch ends.
constexpr double watchWaitFraction = 0.45;
/// Delay before the next watch, during which changes accumulate, as a fraction of `applyWithin`.
constexpr double batchDelayFraction = 0.08;
/// A view older than this fraction of `applyWithin` indicates an outage of the store: one lost
/// answer does not make a view that old.
constexpr double outageAgeFraction = 0.75;
constexpr duration refreshInterval = seconds(1);
/// Limit on recorded removals; instances whose revision predates the recorded ones get the full
/// list.
constexpr std::size_t maxRememberedRemovals = 4096;
/// Source logged for a configuration that this instance read from the store itself.
constexpr std::string_view storeSource = "store";
/// Defects of one version that are logged in full.
constexpr std::size_t maxLoggedDefects = 20;

} // namespace

object_watcher_options viewWatchOptions(duration applyWithin)
{
    object_watcher_options o;
    o.watchWait = scaled(applyWithin, watchWaitFraction);
    // Short delays, since a configuration change must be applied within seconds even right after an
    // outage.
    o.retryFirst = milliseconds(150);
    o.retryMax = milliseconds(1200);
    // Changes often come together; after a delay, one answer carries several of them.
    o.pauseBetweenWatches = scaled(applyWithin, batchDelayFraction);
    // Instances that do not watch request the view from those that do, so idle reads are hardly
    // needed.
    o.idleReadInterval = std::chrono::hours(24);
    return o;
}

cluster_view::cluster_view(event_loop &loop, platform_client &store, counter_set &counters,
                           decision_log &log, std::uint64_t seed, duration applyWithin,
                           cluster_documents documents, cluster_view_hooks hooks)
    : m_loop(loop)
    , m_log(log)
    , m_outageAge(scaled(applyWithin, outageAgeFraction))
    , m_defects(counters.at("configuration.defects"))
    , m_documents(std::move(documents))
    , m_hooks(std::move(hooks))
    , m_configurationWatch(loop, store, counters, m_documents.configurationKind, seed,
                           viewWatchOptions(applyWithin), nullptr)
    , m_serverWatch(loop, store, counters, m_documents.serverKind, seed + 1,
                    viewWatchOptions(applyWithin), nullptr)
{
    m_configurationWatch.setReadHook([this](const watch_result &read, bool) {
        onReadSucceeded();
        for (const auto &object : read.changed)
            applyConfiguration(object, storeSource);
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
    return m_loop.now() - m_lastReadAt;
}

void cluster_view::refreshServers(const char *reason)
{
    const time_point now = m_loop.now();
    if (now < m_nextRefresh)
        return;
    // An instance that does not watch receives the change with its next view exchange.
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

bool cluster_view::isStoreUnavailable() const
{
    return m_failingSince && m_loop.now() - *m_failingSince >= outageThreshold;
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
    recordRead(m_loop.now());
    if (!m_failingSince)
        return;
    m_log.state("store_regained").addMs("away_ms", m_loop.now() - *m_failingSince);
    m_failingSince.reset();
}

void cluster_view::recordRead(time_point readAt)
{
    // An unanswered call is noticed only at its timeout, and calls of other instances are not seen
    // here at all. The age of the view covers both cases.
    const bool hasServers = m_serversRevision.value() != 0;
    if (hasServers && readAt - m_lastReadAt >= m_outageAge)
        m_graceUntil = std::max(m_graceUntil, readAt + reregistrationGrace);
    m_lastReadAt = std::max(m_lastReadAt, readAt);
}

void cluster_view::applyConfiguration(const platform_object &object, std::string_view source)
{
    if (object.key.name != m_documents.configurationName)
        return;
    // Parsing a large document takes long, so one that is known is not parsed again. Revisions of
    // different eras tell nothing about which document is newer.
    if (m_configuration && object.version.era() == m_configuration->version.era() &&
        object.version <= m_configuration->version) {
        if (object.version < m_configuration->version)
            logPassedOver("configuration_passed_over", object, m_configuration->version, source);
        return;
    }
    auto read = m_documents.readConfiguration(object);
    if (!read) {
        m_log.state("configuration_refused").add("reason", read.error().message);
        return;
    }
    const bool hasNothingToServe = !read.value().hasRoutes || !read.value().hasServices;
    if (!m_routes && hasNothingToServe) {
        m_log.state("configuration_refused").add("reason", read.value().defects.back());
        return;
    }
    if (m_routes && read.value().version <= m_routes->version())
        return;
    m_log.state("configuration_received")
            .add("version", static_cast<std::int64_t>(read.value().version.value()))
            .add("source", source)
            .add("bytes", static_cast<std::int64_t>(object.value.size()));
    logDefects(read.value());
    completeFromPresent(read.value());
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

void cluster_view::logDefects(const route_configuration &configuration)
{
    const auto &defects = configuration.defects;
    m_defects.set(defects.size());
    for (std::size_t i = 0; i < std::min(defects.size(), maxLoggedDefects); ++i)
        m_log.decision("configuration_entry_defective")
                .add("version", static_cast<std::int64_t>(configuration.version.value()))
                .add("reason", defects[i]);
    if (!defects.empty())
        m_log.state("configuration_defective")
                .add("version", static_cast<std::int64_t>(configuration.version.value()))
                .add("defects", static_cast<std::int64_t>(defects.size()));
}

void cluster_view::completeFromPresent(route_configuration &configuration) const
{
    if (!configuration.hasRoutes)
        configuration.routes = m_routes->routes();
    if (!configuration.hasServices)
        configuration.services = m_routes->services();
}

bool cluster_view::isOutdated(const platform_object &object, const platform_object &known) const
{
    if (object.version.era() == known.version.era())
        return object.version < known.version;
    const auto record = m_documents.readServer(object);
    const auto it = m_servers.find(server_id(object.key.name));
    if (record && it != m_servers.end()) {
        if (isEarlierReport(record.value(), it->second))
            return true;
        if (isEarlierReport(it->second, record.value()))
            return false;
    }
    return object.version < known.version;
}

bool cluster_view::holdBack(const platform_object &object)
{
    const auto removed = m_removed.find(object.key.name);
    const bool isFromLaterEra = removed != m_removed.end() && removed->second.last &&
                                removed->second.at.era() < object.version.era();
    if (!isFromLaterEra)
        return false;
    const auto record = m_documents.readServer(object);
    if (!record || isEarlierReport(*removed->second.last, record.value()))
        return false;
    if (m_heldBack.insert_or_assign(object.key.name, object).second)
        m_log.decision("server_entry_held_back").add("server", object.key.name);
    if (!m_releaseTimer)
        m_releaseTimer = m_loop.schedule(removalGrace, [this] { releaseHeldBack(); });
    return true;
}

void cluster_view::releaseHeldBack()
{
    m_releaseTimer.cancel();
    for (const auto &[name, object] : std::exchange(m_heldBack, {})) {
        // A run that announced its end has ended, whatever the store holds.
        if (m_removed.at(name).last->draining)
            continue;
        m_removed.erase(name);
        applyServer(object);
    }
    publishServers();
}

void cluster_view::applyServer(const platform_object &object)
{
    const bool isKnown = m_serverObjects.count(object.key.name) != 0;
    if (!isKnown && holdBack(object))
        return;
    platform_object &known = m_serverObjects[object.key.name];
    if (isKnown && isOutdated(object, known))
        return logPassedOver("server_entry_passed_over", object, known.version, "");
    const bool isUnchanged = known.value == object.value;
    known = object;
    const bool isReregistered = m_removed.erase(object.key.name) > 0;
    m_heldBack.erase(object.key.name);
    m_missing.erase(object.key.name);
    if (isReregistered)
        m_changedAt[object.key.name] = object.version;
    if (isUnchanged)
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

void cluster_view::logPassedOver(const char *event, const platform_object &object,
                                 object_version known, std::string_view source)
{
    m_log.decision(event)
            .add("name", object.key.name)
            .add("era", static_cast<std::int64_t>(object.version.era().value()))
            .add("revision", static_cast<std::int64_t>(object.version.value()))
            .add("known_era", static_cast<std::int64_t>(known.era().value()))
            .add("known_revision", static_cast<std::int64_t>(known.value()))
            .add("source", source);
}

void cluster_view::recordRemoval(const std::string &name)
{
    m_heldBack.erase(name);
    removed_server &removed = m_removed[name];
    removed.at = m_serversRevision;
    const auto it = m_servers.find(server_id(name));
    if (it != m_servers.end())
        removed.last = it->second;
    if (m_removed.size() <= maxRememberedRemovals)
        return;
    const auto oldest =
            std::min_element(m_removed.begin(), m_removed.end(), [](const auto &a, const auto &b) {
                return a.second.at < b.second.at;
            });
    m_historyStart = std::max(m_historyStart, oldest->second.at);
    m_heldBack.erase(oldest->first);
    m_removed.erase(oldest);
}

void cluster_view::removeServer(const std::string &name)
{
    m_changedAt.erase(name);
    m_serverObjects.erase(name);
    m_missing.erase(name);
    m_serversChanged = m_servers.erase(server_id(name)) > 0 || m_serversChanged;
}

void cluster_view::handleServerRemoval(const std::string &name)
{
    // Recorded even if the server is unknown here: another instance may have seen it register and
    // have passed it on.
    recordRemoval(name);
    if (m_loop.now() >= m_graceUntil)
        removeServer(name);
    else if (m_serverObjects.count(name) != 0)
        m_missing.insert(name);
}

void cluster_view::removeUnlistedServers(const watch_result &list)
{
    std::set<std::string> present;
    for (const auto &object : list.changed)
        present.insert(object.key.name);
    std::vector<std::string> unlisted;
    for (const auto &[name, object] : m_serverObjects) {
        if (present.count(name) == 0)
            unlisted.push_back(name);
    }
    for (const auto &name : unlisted)
        handleServerRemoval(name);
    for (auto it = m_heldBack.begin(); it != m_heldBack.end();)
        it = present.count(it->first) == 0 ? m_heldBack.erase(it) : std::next(it);
}

void cluster_view::onStoreReturned(object_version position)
{
    m_log.state("store_returned")
            .add("era", static_cast<std::int64_t>(position.era().value()))
            .add("revision", static_cast<std::int64_t>(position.value()))
            .add("former_revision", static_cast<std::int64_t>(m_serversRevision.value()));
    m_graceUntil = std::max(m_graceUntil, m_loop.now() + reregistrationGrace);
    // Instances whose position is of an earlier era get the full list.
    m_historyStart = position;
}

void cluster_view::onServersRead(const watch_result &read, bool isFullList)
{
    if (read.next.era() < m_serversRevision.era())
        return;
    if (m_serversRevision.value() != 0 && read.next.era() > m_serversRevision.era())
        onStoreReturned(read.next);
    m_serversRevision = std::max(m_serversRevision, read.next);
    if (m_historyStart.value() == 0)
        m_historyStart = m_serversRevision;
    if (isFullList)
        removeUnlistedServers(read);
    for (const auto &object : read.changed)
        applyServer(object);
    for (const auto &key : read.removed)
        handleServerRemoval(key.name);
    if (!m_missing.empty()) {
        m_log.state("servers_missing").add("count", static_cast<std::int64_t>(m_missing.size()));
        m_removalTimer =
                m_loop.schedule(m_graceUntil - m_loop.now(), [this] { removeMissingServers(); });
    }
    publishServers();
}

void cluster_view::removeMissingServers()
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
    s.configurationVersion = version();
    s.serversRevision = m_serversRevision;
    if (known.value() != 0 && known >= m_historyStart)
        s.serversSince = known;
    for (const auto &[name, object] : m_serverObjects) {
        const auto changed = m_changedAt.find(name);
        const bool isChanged =
                !s.serversSince || (changed != m_changedAt.end() && changed->second > known);
        if (isChanged && m_missing.count(name) == 0)
            s.servers.push_back(object);
    }
    for (const auto &[name, removed] : m_removed) {
        if (s.serversSince && removed.at > known)
            s.removedServers.push_back(name);
    }
    if (!m_missing.empty())
        s.missingGrace = std::max(m_graceUntil - m_loop.now(), duration::zero());
    return s;
}

void cluster_view::merge(const view_snapshot &other)
{
    // A view from before the store's return is out of date, however recently it was read.
    if (other.serversRevision.era() >= m_serversRevision.era())
        recordRead(m_loop.now() - other.age);
    if (other.configuration)
        applyConfiguration(*other.configuration, other.source);
    if (other.serversRevision.value() == 0)
        return;
    const bool isOld = other.serversRevision < m_serversRevision ||
                       (other.serversSince && other.serversRevision == m_serversRevision);
    // Changes relative to a revision that is not reached here would omit the changes before it.
    if (isOld || (other.serversSince && *other.serversSince > m_serversRevision))
        return;
    m_graceUntil = std::max(m_graceUntil, m_loop.now() + other.missingGrace);
    watch_result list;
    list.changed = other.servers;
    list.next = other.serversRevision;
    for (const auto &name : other.removedServers)
        list.removed.push_back({m_documents.serverKind, name});
    onServersRead(list, !other.serversSince);
}

} // namespace peridotwheel
