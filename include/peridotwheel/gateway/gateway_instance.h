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

/// What differs from platform to platform.
struct gateway_environment
{
    const wire_dialect &dialect;
    platform_client &store;
    /// Reaches other instances.
    http_client &http;
    cluster_documents documents;
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
    /// Stops to be ready, goes on serving while callers move away, and calls \p done when nothing
    /// is in flight or the time is over.
    void shutDown(std::function<void()> done);
    /// Takes over changed settings. Addresses and ids stay until the next start.
    void reload(const result<gateway_settings> &settings);

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace peridotwheel

#endif
