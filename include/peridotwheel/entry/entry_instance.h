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

/// Options that experiments and tests change; the daemon uses the defaults.
struct entry_options
{
    query_engine_options engine;
    admission_queue::options admission;
    control_plane_options control;
    claim_options claims;
    std::size_t timelineCapacity = 4096;
    /// Time between failing the balancer's health check and closing the listener. Balancers check
    /// about once per second.
    duration drainGrace = seconds(3);
    /// Seed of all random choices of the instance.
    std::uint64_t seed = 0;
    /// Identity of this start of the process; the daemon generates it at random.
    start_id start;
    /// Opens all outgoing connections of the instance, if set; experiments simulate partitions with
    /// it.
    std::function<std::unique_ptr<http_connector>(libevent_loop &)> makeConnector;
};

/// Opens the connections of an instance to backend servers, other instances and the platform.
std::unique_ptr<http_connector> makeEntryConnector(libevent_loop &loop);

/// One entry instance with all its components. It must be created, used and destroyed on the
/// thread of its event loop, and has no global state.
class entry_instance
{
public:
    entry_instance(libevent_loop &loop, settings s, entry_options options);
    entry_instance(const entry_instance &) = delete;
    entry_instance &operator=(const entry_instance &) = delete;
    ~entry_instance();

    /// Opens the three listeners and joins the fleet. Fails if an address is not available.
    result<void> start();
    /// Shuts down gracefully: fails the balancer's health check, accepts requests for the grace
    /// period, waits for requests in flight, then calls \p done, at the latest after the shutdown
    /// time of the settings.
    void shutDown(std::function<void()> done);

    /// Returns true if the balancer should send requests to this instance.
    bool ready() const;
    /// Addresses of the listeners, with the ports that the operating system assigned.
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
