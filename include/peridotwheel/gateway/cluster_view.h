#ifndef PERIDOTWHEEL_GATEWAY_CLUSTER_VIEW_H
#define PERIDOTWHEEL_GATEWAY_CLUSTER_VIEW_H

#include "peridotwheel/gateway/backend_record.h"
#include "peridotwheel/gateway/evacuation_list.h"
#include "peridotwheel/gateway/route.h"
#include "peridotwheel/gateway/server_report.h"
#include "peridotwheel/platform/object_watcher.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace peridotwheel {

class counter;
class counter_set;
class decision_log;

/// Kinds and names of the store objects that make up the view, and the functions that parse them.
struct cluster_documents
{
    std::string configurationKind;
    std::string configurationName;
    std::string serverKind;
    /// Kind of the objects whose names are evacuated data centres.
    std::string evacuationKind;
    std::function<result<route_configuration>(const platform_object &)> readConfiguration;
    std::function<result<backend_record>(const platform_object &)> readServer;
};

/// A list of store objects in the compressed form in which instances send it to each other.
struct compressed_objects
{
    std::string data;
    /// Size before compression.
    std::size_t textBytes = 0;
};

/// The store objects that a view was built from, in the form in which another instance merges them.
struct view_snapshot
{
    std::optional<platform_object> configuration;
    /// Version in force at the sender, whether or not the configuration is included.
    configuration_version configurationVersion;
    /// Revision of the store up to which the servers are known.
    object_version serversRevision;
    /// If present, `servers` holds only the entries that changed after this revision, and
    /// `removedServers` those that were removed after it; otherwise `servers` is the full list.
    std::optional<object_version> serversSince;
    std::vector<platform_object> servers;
    std::vector<std::string> removedServers;
    /// For this long, the entries of servers missing from this view may only have expired during an
    /// outage of the store; afterwards these servers count as removed.
    duration missingGrace{};
    /// Revision of the store up to which the instances are known.
    object_version instancesRevision;
    std::vector<platform_object> instances;
    /// If set, these replace `servers` and `instances` in the encoded view.
    std::shared_ptr<const compressed_objects> compressedServers;
    std::shared_ptr<const compressed_objects> compressedInstances;
    /// Time since the store was last read for this view.
    duration age{};
    /// Combined server measurements of the instances of the data centre; not part of the
    /// configuration or of the server list.
    server_hints hints;
    /// Evacuated data centres, if the sender knows them.
    std::optional<evacuation_list> evacuations;
    /// Address of the instance that sent this view, for the log.
    std::string source;
};

struct cluster_view_hooks
{
    std::function<void(route_table_ptr)> onRoutes;
    std::function<void(const backend_map &)> onServers;
};

/// The configuration and the backend servers as known to this instance.
///
/// Both come from watches on the store, or from other instances while this one does not watch it or
/// gets no reply from it. The configuration's version only rises, whatever the order in which
/// documents arrive. Entries of servers may expire during an outage of the store although the
/// servers still run, so servers that are missing after an outage are removed only if they are
/// still missing after a grace period.
///
/// The store may return from an earlier copy of its objects, whereupon servers and operators write
/// again what they had written since. Until they have, the view stays as it was: the first list of
/// a new era replaces it, except that a server's entry never gives way to an earlier report of the
/// server, and that a server which had left is not used again because the copy contains it.
class cluster_view
{
public:
    /// Running servers have registered again within this time after the store's return.
    static constexpr duration reregistrationGrace = milliseconds(2200);
    /// An entry in the copy of a server that had left is not used for this long, which exceeds the
    /// three heartbeats after which the store removes the entry of a server that is gone.
    static constexpr duration removalGrace = seconds(5);
    /// Reads that fail for at least this long count as an outage of the store.
    static constexpr duration outageThreshold = seconds(1);

    /// \p applyWithin bounds the time from a change in the store until this instance applies it.
    cluster_view(event_loop &loop, platform_client &store, counter_set &counters, decision_log &log,
                 std::uint64_t seed, duration applyWithin, cluster_documents documents,
                 cluster_view_hooks hooks);
    cluster_view(const cluster_view &) = delete;
    cluster_view &operator=(const cluster_view &) = delete;
    ~cluster_view();

    /// Starts or stops watching the store. While this instance does not watch, others supply the
    /// view.
    void setWatching(bool watching);
    bool isWatching() const { return m_watching; }
    /// Lists the servers again because the known ones proved to be out of date. Does nothing while
    /// this instance does not watch the store, and reads at most once a second.
    void refreshServers(const char *reason);
    /// Merges the parts of another instance's view that are newer. The view here also adopts the
    /// other one's age if that is lower, since it is then at least as current.
    void merge(const view_snapshot &other);
    /// Puts a configuration into force if it is newer. \p source is named in the log.
    void applyConfiguration(const platform_object &object, std::string_view source);
    /// Returns the store object of the configuration in force, if any.
    const std::optional<platform_object> &configuration() const { return m_configuration; }
    /// Returns the time since the store was last read for this view, by this instance or by another
    /// one that supplied it.
    duration age() const;
    /// Returns the view for an instance that knows the servers up to revision \p known; 0 stands
    /// for an instance that knows none. Servers renew their entries continually, so only entries
    /// that really changed are included if the changes since \p known are recorded.
    view_snapshot snapshot(object_version known = object_version()) const;
    const cluster_documents &documents() const { return m_documents; }
    configuration_version version() const;
    object_version serversRevision() const { return m_serversRevision; }
    /// Returns whether reads of the store have failed for at least `outageThreshold`.
    bool isStoreUnavailable() const;

private:
    void logDefects(const route_configuration &configuration);
    /// Keeps the routes or services in force if \p configuration has no readable list of them, so
    /// that its other parts can be put into force.
    void completeFromPresent(route_configuration &configuration) const;
    void onServersRead(const watch_result &read, bool isFullList);
    void store(const platform_object &object);
    void onStoreReturned(object_version position);
    void applyServer(const platform_object &object);
    bool isOutdated(const platform_object &object, const platform_object &known) const;
    /// Holds back the entry of a server that had left before the store returned from a copy;
    /// returns whether it does.
    bool holdBack(const platform_object &object);
    void releaseHeldBack();
    void logPassedOver(const char *event, const platform_object &object, object_version known,
                       std::string_view source);
    void removeUnlistedServers(const watch_result &list);
    void removeServer(const std::string &name);
    void handleServerRemoval(const std::string &name);
    void recordRemoval(const std::string &name);
    void removeMissingServers();
    void onReadSucceeded();
    void recordRead(time_point readAt);
    void onReadFailed(const error &problem);
    void publishServers();

    event_loop &m_loop;
    decision_log &m_log;
    duration m_outageAge;
    counter &m_defects;
    cluster_documents m_documents;
    cluster_view_hooks m_hooks;
    object_watcher m_configurationWatch;
    object_watcher m_serverWatch;
    route_table_ptr m_routes;
    std::optional<platform_object> m_configuration;
    object_version m_serversRevision;
    std::map<std::string, platform_object> m_serverObjects;
    backend_map m_servers;
    /// Servers missing from the store whose entries may only have expired during an outage.
    std::set<std::string> m_missing;
    /// Revisions at which this instance saw servers change or disappear; never earlier than the
    /// actual change.
    std::map<std::string, object_version> m_changedAt;
    struct removed_server
    {
        object_version at;
        /// Last report, if the server was known here.
        std::optional<backend_record> last;
    };
    std::map<std::string, removed_server> m_removed;
    /// Entries held back until `removalGrace` has passed.
    std::map<std::string, platform_object> m_heldBack;
    timer m_releaseTimer;
    /// Changes after this revision are recorded individually.
    object_version m_historyStart;
    bool m_serversChanged = false;
    std::optional<time_point> m_failingSince;
    /// Servers missing from the store are kept until then, since their entries may only have
    /// expired.
    time_point m_graceUntil{};
    timer m_removalTimer;
    time_point m_nextRefresh{};
    time_point m_lastReadAt{};
    bool m_watching = false;
    bool m_started = false;
};

} // namespace peridotwheel

#endif
