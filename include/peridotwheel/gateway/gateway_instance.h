#ifndef PERIDOTWHEEL_GATEWAY_GATEWAY_INSTANCE_H
#define PERIDOTWHEEL_GATEWAY_GATEWAY_INSTANCE_H

#include "peridotwheel/gateway/cluster_view.h"
#include "peridotwheel/gateway/gateway_settings.h"
#include "peridotwheel/gateway/wire_dialect.h"
#include "peridotwheel/http/http_client.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace peridotwheel {

class decision_log;
class libevent_loop;

/// The parts of a gateway process that depend on the platform.
struct gateway_environment
{
    const wire_dialect &dialect;
    platform_client &store;
    /// Sends requests to other instances.
    http_client &http;
    cluster_documents documents;
    /// Random number that never leaves the process.
    std::uint64_t secret = 0;
    /// Returns how many replies of the store had no valid era; may be empty.
    std::function<std::uint64_t()> invalidEras;
};

/// One gateway process: its listeners, its view of the cluster and its shutdown.
class gateway_instance
{
public:
    gateway_instance(libevent_loop &loop, gateway_environment environment,
                     gateway_settings settings, decision_log &log, std::uint64_t seed);
    gateway_instance(const gateway_instance &) = delete;
    gateway_instance &operator=(const gateway_instance &) = delete;
    ~gateway_instance();

    /// Listens and starts to read the store.
    result<void> start();
    /// Reports that this instance is not ready, continues to serve while callers move to others,
    /// and calls \p done when nothing is in flight or the time for stopping is over.
    void shutDown(std::function<void()> done);
    /// Applies the seeds and the time for stopping from changed settings; addresses, ids and all
    /// other settings stay until the next start.
    void reload(const result<gateway_settings> &settings);

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace peridotwheel

#endif
