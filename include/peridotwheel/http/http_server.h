#ifndef PERIDOTWHEEL_HTTP_HTTP_SERVER_H
#define PERIDOTWHEEL_HTTP_HTTP_SERVER_H

#include "peridotwheel/http/http_responder.h"
#include "peridotwheel/support/error.h"
#include "peridotwheel/support/units.h"

#include <cstddef>
#include <functional>
#include <memory>

namespace peridotwheel {

class client_memory;
class libevent_loop;

/// Limits of one listener. Requests beyond them get an error status or their connection is closed.
struct http_server_limits
{
    std::size_t maxBodyBytes = 64 * 1024;
    std::size_t maxHeaderBytes = 8 * 1024;
    /// Open connections, with or without a request. Beyond this number, the connection that has
    /// been idle for longest is closed to make room for the new one.
    std::size_t maxConnections = 1024;
    /// Requests that have been received and not yet answered.
    std::size_t maxWaitingRequests = 512;
    /// A connection is closed if it does not send a complete request, or does not read a reply,
    /// within this time, even if single bytes arrive.
    duration idleTimeout = seconds(30);
};

using request_hook = std::function<void(const http_request &, std::shared_ptr<http_responder>)>;

/// An HTTP listener on one address, implemented with evhttp, that enforces `http_server_limits`.
class http_server
{
public:
    /// \p memory decides which clients are disconnected for want of memory; without it, none are.
    http_server(libevent_loop &loop, http_server_limits limits, request_hook onRequest,
                const std::shared_ptr<client_memory> &memory = nullptr);
    http_server(const http_server &) = delete;
    http_server &operator=(const http_server &) = delete;
    ~http_server();

    /// Port 0 lets the system choose a port, which `boundPort` returns.
    result<void> listen(const endpoint &at);
    std::uint16_t boundPort() const;
    /// Stops accepting connections; open connections continue to be served.
    void stopListening();
    std::size_t openConnections() const;
    std::size_t requestsInFlight() const;

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace peridotwheel

#endif
