#ifndef PERIDOTWHEEL_LIB_GATEWAY_EVACUATION_VIEW_H
#define PERIDOTWHEEL_LIB_GATEWAY_EVACUATION_VIEW_H

#include "peridotwheel/gateway/evacuation_list.h"
#include "peridotwheel/platform/object_watcher.h"

#include <functional>
#include <optional>
#include <set>
#include <string>

namespace peridotwheel {

class decision_log;

/// The data centres that operators have evacuated, as known to this instance.
///
/// Read from the store by the instances that watch it, and taken over from their views by the
/// others. A list that could not be read leaves the last one in force, so that an evacuation lasts
/// through an outage of the store. After the store's return from an earlier copy, the evacuations
/// in force stay for a while beside those of the copy, in which operators write again what the copy
/// lacks.
class evacuation_view
{
public:
    struct settings
    {
        /// Kind of the store's objects; their names are data centres.
        std::string kind;
        std::uint64_t seed = 0;
        /// Longest time from a change in the store until it is applied here.
        duration applyWithin = seconds(5);
    };

    using evacuations_hook = std::function<void(const std::set<data_centre_id> &)>;

    /// \p onChanged is called with all evacuated data centres once they are known and after each
    /// change.
    evacuation_view(event_loop &loop, platform_client &store, counter_set &counters,
                    decision_log &log, const settings &s, evacuations_hook onChanged);
    evacuation_view(const evacuation_view &) = delete;
    evacuation_view &operator=(const evacuation_view &) = delete;
    ~evacuation_view();

    /// Starts or stops watching the store.
    void setWatching(bool watching);
    /// Reads the store at once if this instance watches it and the list is from an earlier era.
    void onStoreReturned(store_era era);
    /// Takes over the list of another instance if it is newer.
    void merge(const evacuation_list &other);
    /// Returns the list as read from the store; absent until one is known.
    const std::optional<evacuation_list> &list() const { return m_list; }

private:
    void onRead(const watch_result &read, bool isFullList);
    void apply(evacuation_list list, const char *source);
    void keepEvacuationsInForce();
    /// Passes the evacuations in force on if they changed, or if these are the first known.
    void publish(const char *source, bool isFirst);

    event_loop &m_loop;
    duration m_applyWithin;
    decision_log &m_log;
    evacuations_hook m_onChanged;
    object_watcher m_watch;
    std::optional<evacuation_list> m_list;
    /// Evacuations from before the store's return that stay in force until the timer fires.
    std::set<data_centre_id> m_kept;
    timer m_keepTimer;
    std::set<data_centre_id> m_inForce;
    /// Latest era whose list was requested because of the store's return.
    store_era m_requestedEra;
    bool m_isStarted = false;
};

} // namespace peridotwheel

#endif
