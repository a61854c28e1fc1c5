#ifndef PERIDOTWHEEL_UNITTESTS_QUERY_FAKE_SERVERS_H
#define PERIDOTWHEEL_UNITTESTS_QUERY_FAKE_SERVERS_H

#include "peridotwheel/http/http_connection.h"
#include "peridotwheel/support/manual_loop.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace peridotwheel {

/// Configured behaviour and recorded requests of one scripted server.
struct fake_server
{
    duration latency = milliseconds(10);
    /// If set, determines the latency of each request instead of `latency`.
    std::function<duration(const http_request &)> latencyOf;
    bool silent = false;
    bool down = false;
    /// Connections beyond this are closed as soon as they are used.
    int connectionLimit = 1000;
    int status = 200;
    bool notRun = false;
    bool draining = false;
    bool drainingInHealth = false;
    /// Breaks the connection after the request was written.
    bool reset = false;
    std::set<std::uint64_t> versions{1, 2};
    /// Stated in replies instead of the requested version if not 0.
    std::uint64_t statedVersion = 0;
    /// Stated in replies instead of the requested shards if not empty.
    std::string statedShards;
    int open = 0;
    std::vector<http_request> requests; ///< Without health checks.
};

/// Connections to scripted servers, addressed by port.
class fake_connector : public http_connector
{
public:
    explicit fake_connector(manual_loop &loop)
        : m_loop(loop)
    {
    }

    fake_server &at(std::uint16_t port) { return m_servers[port]; }
    std::unique_ptr<http_connection> open(const endpoint &to) override;

    manual_loop &loop() { return m_loop; }

private:
    manual_loop &m_loop;
    std::map<std::uint16_t, fake_server> m_servers;
};

} // namespace peridotwheel

#endif
