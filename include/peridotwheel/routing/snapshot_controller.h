#ifndef PERIDOTWHEEL_ROUTING_SNAPSHOT_CONTROLLER_H
#define PERIDOTWHEEL_ROUTING_SNAPSHOT_CONTROLLER_H

#include "peridotwheel/peer/version_source.h"
#include "peridotwheel/platform/object_watcher.h"
#include "peridotwheel/state/blackboard.h"
#include "peridotwheel/timeline/timeline_event.h"

namespace peridotwheel {

/// Kind of the platform's shard map objects, and name of the object that says which map is current.
extern const std::string snapshotKind;
extern const std::string currentSnapshotName;

/// Writes the `snapshots` section. The current map is the one that the platform's `current` object
/// names; its version never decreases.
///
/// Holds at most `maxRetainedMaps` adopted maps and as many published ones that are not yet
/// current.
class snapshot_controller
{
public:
    /// Sufficient because queries keep a map for seconds at most and servers hold two versions.
    static constexpr std::size_t maxRetainedMaps = 4;
    /// Delay before a map that is current but could not be read is requested again.
    static constexpr duration fetchRetryDelay = seconds(1);

    snapshot_controller(event_loop &loop, blackboard &board, platform_client &platform,
                        counter_set &counters, event_sink events, std::uint64_t seed, member self,
                        object_watcher_options options = {});

    void start();
    void setAdoptedHook(adopted_hook hook) { m_onAdopted = std::move(hook); }

    /// Adopts the map that a peer has as its current one, if it is newer than the present one.
    bool offer(const std::string &text, index_version version, version_source source);

    /// Returns the version of the current map, or zero if none is known.
    index_version version() const;
    const std::string &text() const { return m_text; }

private:
    void onObjects(const std::vector<platform_object> &objects);
    void onMapObject(const platform_object &object);
    void adopt(shard_map_ptr map, version_source source);
    void adoptTarget();
    void fetchTarget();
    void onFetched(index_version requestedVersion);
    void reportRefused(const std::string &what, const std::string &why);

    event_loop &m_loop;
    blackboard &m_board;
    platform_client &m_platform;
    event_sink m_events;
    counter &m_adopted;
    counter &m_refused;
    member m_self;
    /// Highest version that the `current` object has named.
    index_version m_targetVersion;
    bool m_fetching = false;
    timer m_retry;
    /// Published maps above the current version.
    std::map<index_version, shard_map_ptr> m_published;
    std::string m_text;
    adopted_hook m_onAdopted;
    object_watcher m_watcher;
    subscription m_members;
    /// Expires with the controller, so that late replies of the platform do not access it.
    std::shared_ptr<snapshot_controller *> m_this;
};

} // namespace peridotwheel

#endif
