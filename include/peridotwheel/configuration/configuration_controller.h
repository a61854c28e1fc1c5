#ifndef PERIDOTWHEEL_CONFIGURATION_CONFIGURATION_CONTROLLER_H
#define PERIDOTWHEEL_CONFIGURATION_CONFIGURATION_CONTROLLER_H

#include "peridotwheel/peer/version_source.h"
#include "peridotwheel/platform/object_watcher.h"
#include "peridotwheel/state/blackboard.h"
#include "peridotwheel/timeline/timeline_event.h"

namespace peridotwheel {

/// Kind and name of the one configuration object.
extern const object_key configurationKey;

/// Writes the `configuration` section: adopts valid documents of higher versions, from the platform
/// or from peers, and never returns to a lower version.
///
/// State: the current document and its text (at most 1 MB, in practice a few kilobytes).
class configuration_controller
{
public:
    configuration_controller(event_loop &loop, blackboard &board, platform_client &platform,
                             counter_set &counters, event_sink events, std::uint64_t seed,
                             member self, object_watcher_options options = {});

    void start();
    /// Sets the hook that is called after each adoption.
    void setAdoptedHook(adopted_hook hook) { m_onAdopted = std::move(hook); }

    /// Adopts the document and returns true if it is valid and newer than the present one.
    bool offer(const std::string &text, object_version version, version_source source);

    object_version version() const { return m_board.configuration.value().version; }
    /// Returns the JSON text of the present version, for peers that lack it.
    const std::string &text() const { return m_text; }
    bool watching() const { return m_watcher.active(); }

private:
    void onObjects(const std::vector<platform_object> &objects);

    blackboard &m_board;
    event_sink m_events;
    counter &m_adopted;
    counter &m_refused;
    member m_self;
    std::string m_text;
    /// Latest version that was refused, so that it is reported once.
    object_version m_refusedVersion;
    adopted_hook m_onAdopted;
    object_watcher m_watcher;
    subscription m_members;
};

} // namespace peridotwheel

#endif
