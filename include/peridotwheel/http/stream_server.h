#ifndef PERIDOTWHEEL_HTTP_STREAM_SERVER_H
#define PERIDOTWHEEL_HTTP_STREAM_SERVER_H

#include "peridotwheel/http/http_responder.h"
#include "peridotwheel/http/message_parser.h"
#include "peridotwheel/support/error.h"
#include "peridotwheel/support/units.h"

#include <functional>
#include <memory>

namespace peridotwheel {

class client_memory;
class libevent_loop;

/// Size and time limits of a client's requests.
struct stream_limits
{
    message_limits message;
    /// From the first byte of a request to the end of its headers.
    duration headerTimeout = seconds(10);
    /// For an open connection without a request, from the first byte of a request to its end, and
    /// for a client that reads nothing of a reply.
    duration idleTimeout = seconds(60);
};

using exchange_hook = std::function<void(opaque_request, std::shared_ptr<http_responder>)>;

/// Listens for HTTP/1.1 clients and passes their requests on unchanged.
class stream_server
{
public:
    /// \p limits is called for each request, so that a change also applies to open connections.
    /// \p memory decides which clients are disconnected for want of memory or descriptors; without
    /// it, none are.
    stream_server(libevent_loop &loop, std::function<stream_limits()> limits,
                  exchange_hook onRequest, std::shared_ptr<client_memory> memory = nullptr);
    stream_server(const stream_server &) = delete;
    stream_server &operator=(const stream_server &) = delete;
    ~stream_server();

    /// Port 0 lets the system choose a port, which `boundPort` returns.
    result<void> listen(const endpoint &at);
    std::uint16_t boundPort() const;
    /// Continues to accept connections and to answer, but closes each connection after its next
    /// reply.
    void beginDrain();
    /// Accepts the connections that wait, then stops accepting and closes idle ones. Requests that
    /// have arrived continue, and their connections close after the reply.
    void stopAccepting();
    std::size_t openConnections() const;
    std::size_t requestsInFlight() const;

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace peridotwheel

#endif
