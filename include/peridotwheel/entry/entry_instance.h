#ifndef PERIDOTWHEEL_ENTRY_ENTRY_INSTANCE_H
#define PERIDOTWHEEL_ENTRY_ENTRY_INSTANCE_H

#include "peridotwheel/claims/claim_options.h"
#include "peridotwheel/configuration/settings.h"
#include "peridotwheel/counters/counter_set.h"
#include "peridotwheel/entry/control_plane.h"
#include "peridotwheel/limits/admission_queue.h"
#include "peridotwheel/query/query_engine.h"
#include "peridotwheel/state/blackboard.h"

#include <functional>
#include <memory>

namespace peridotwheel {

class libevent_loop;

/// What experiments and tests vary; the daemon uses the defaults.
struct entry_options
{
    query_engine_options engine;
    admission_queue::options admission;
    control_plane_options control;
    claim_options claims;
    std::size_t timelineCapacity = 4096;
    /// Time between failing the balancer's check and the end of accepting requests. Balancers check
    /// every second or so.
    duration drainGrace = seconds(3);
    /// Seed of all random choices of the instance.
    std::uint64_t seed = 0;
    /// Start identity; a daemon draws it at random.
    start_id start;
    /// Opens all outgoing connections of the instance, if set; experiments cut links with it.
    std::function<std::unique_ptr<http_connector>(libevent_loop &)> makeConnector;
};

/// Opens the connections of an instance to backend servers, other instances and the platform.
std::unique_ptr<http_connector> makeEntryConnector(libevent_loop &loop);

/// One entry instance: all components, connected. It lives on one event loop, whose thread makes,
/// uses and destroys it, and has no global state.
class entry_instance
{
public:
    entry_instance(libevent_loop &loop, settings s, entry_options options);
    entry_instance(const entry_instance &) = delete;
    entry_instance &operator=(const entry_instance &) = delete;
    ~entry_instance();

    /// Opens the three listeners and joins the fleet. Error: an address is not available.
    result<void> start();
    /// Stops gracefully: fails the balancer's check, accepts for the grace period, lets requests in
    /// flight end, then calls \p done; at the latest after the settings' shutdown time.
    void shutDown(std::function<void()> done);

    /// Whether the balancer should send requests here.
    bool ready() const;
    /// Addresses in use, with the ports that the system chose.
    endpoint callersAddress() const;
    endpoint peersAddress() const;
    endpoint operatorsAddress() const;

    const blackboard &board() const;
    const counter_set &counters() const;

private:
    struct components;

    void finishShutDown();

    libevent_loop &m_loop;
    settings m_settings;
    entry_options m_options;
    std::unique_ptr<components> m_components;
};

} // namespace peridotwheel

#endif
