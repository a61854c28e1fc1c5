#ifndef PERIDOTWHEEL_HTTP_CLIENT_CONNECTION_H
#define PERIDOTWHEEL_HTTP_CLIENT_CONNECTION_H

#include "peridotwheel/http/http_connection.h"
#include "peridotwheel/http/message_parser.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace peridotwheel {

class event_loop;

/// A serialised request, and a predicate that recognises its reply.
struct exchange_request
{
    std::string text; ///< The whole request in HTTP/1.1.
    bool isHead = false;
    /// Returns false for a reply to another request, which is discarded; the next reply is then
    /// read. If empty, the first reply is taken.
    std::function<bool(const http_reply &)> isReplyToRequest;
};

/// One persistent connection to a server. It carries one exchange at a time, has no timeouts of its
/// own, and closes when it is destroyed. Hooks may destroy it.
class client_connection
{
public:
    client_connection() = default;
    client_connection(const client_connection &) = delete;
    client_connection &operator=(const client_connection &) = delete;
    virtual ~client_connection() = default;

    /// Sends a request as soon as the connection is open. Calls \p done once, never from within
    /// `send`.
    virtual void send(exchange_request request, outcome_hook done) = 0;
    virtual bool busy() const = 0;
    /// Returns true if the connection has been established and has not ended.
    virtual bool open() const = 0;
    /// Returns true if the request of the exchange in progress has been handed to the transport.
    virtual bool isRequestWritten() const = 0;
    /// Returns when bytes of the reply to the exchange in progress last arrived, if any have.
    virtual std::optional<time_point> lastReceivedAt() const = 0;
};

struct client_connection_hooks
{
    std::function<void()> onOpen;
    /// Called when the connection ends while no exchange is in progress.
    std::function<void()> onClosed;
    /// Called for each reply that belongs to another request and is skipped.
    std::function<void()> onReplySkipped;
};

/// Opens connections. Tests substitute their own implementation.
class client_connector
{
public:
    client_connector() = default;
    client_connector(const client_connector &) = delete;
    client_connector &operator=(const client_connector &) = delete;
    virtual ~client_connector() = default;

    virtual std::unique_ptr<client_connection> open(const endpoint &to,
                                                    client_connection_hooks hooks) = 0;
};

/// Serialises a request to \p host. \p headers must contain neither Host nor Content-Length, which
/// are added here.
std::string requestText(const std::string &method, const std::string &target,
                        const std::string &host, const http_headers &headers,
                        const std::string &body);

} // namespace peridotwheel

#endif
