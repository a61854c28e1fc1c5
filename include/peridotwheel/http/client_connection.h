#ifndef PERIDOTWHEEL_HTTP_CLIENT_CONNECTION_H
#define PERIDOTWHEEL_HTTP_CLIENT_CONNECTION_H

#include "peridotwheel/http/http_connection.h"
#include "peridotwheel/http/message_parser.h"

#include <functional>
#include <memory>
#include <string>

namespace peridotwheel {

class event_loop;

/// A request as it goes to a server, and how to tell its reply from others.
struct exchange_request
{
    std::string text; ///< The whole request in HTTP/1.1.
    bool isHead = false;
    /// False for a reply that answers another request: it is skipped, and the next one is read.
    /// Absent: the first reply is taken.
    std::function<bool(const http_reply &)> isReplyToRequest;
};

/// Transport of one kept connection. It carries one exchange at a time, has no timeouts of its own
/// and is closed by its destruction. Hooks may destroy it.
class client_connection
{
public:
    client_connection() = default;
    client_connection(const client_connection &) = delete;
    client_connection &operator=(const client_connection &) = delete;
    virtual ~client_connection() = default;

    /// Sends a request once the connection is open; \p done is called once, never from within.
    virtual void send(exchange_request request, outcome_hook done) = 0;
    virtual bool busy() const = 0;
    /// Whether the connection has been established and not ended.
    virtual bool open() const = 0;
    /// Whether the exchange in progress has been handed to the transport.
    virtual bool isRequestWritten() const = 0;
};

struct client_connection_hooks
{
    std::function<void()> onOpen;
    /// The connection ended while no exchange was in progress.
    std::function<void()> onClosed;
};

/// Opens connections; tests replace it.
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

/// The text of a request to \p host; \p headers name neither the host nor the length.
std::string requestText(const std::string &method, const std::string &target,
                        const std::string &host, const http_headers &headers,
                        const std::string &body);

} // namespace peridotwheel

#endif
