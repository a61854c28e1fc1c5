#ifndef PERIDOTWHEEL_HTTP_HTTP_CONNECTION_H
#define PERIDOTWHEEL_HTTP_HTTP_CONNECTION_H

#include "peridotwheel/http/http_message.h"
#include "peridotwheel/support/units.h"

#include <functional>
#include <memory>
#include <optional>

namespace peridotwheel {

enum class transport_failure {
    None,
    NotSent,    ///< The connection could not be opened, so the peer received nothing.
    MayHaveRun, ///< The request may have been written, and no complete reply arrived.
};

/// The outcome of one HTTP request: a reply, or the kind of failure.
struct http_outcome
{
    transport_failure failure = transport_failure::None;
    /// Valid if `failure` is `None`.
    http_reply reply;
    /// Whether nothing listened at the address, so that the process that did has ended. Implies
    /// `NotSent`.
    bool isRefused = false;

    bool ok() const { return failure == transport_failure::None; }
};

using outcome_hook = std::function<void(http_outcome)>;

/// One keep-alive connection to one endpoint. It carries one request at a time and is opened by the
/// first request.
class http_connection
{
public:
    http_connection() = default;
    http_connection(const http_connection &) = delete;
    http_connection &operator=(const http_connection &) = delete;
    /// Closes the connection. The hook of a request in flight is not called.
    virtual ~http_connection() = default;

    /// Sends \p request, and fails if nothing of the reply arrives for \p timeout; a reply that
    /// only trickles fails after a small multiple of it. Calls \p done once, never from within
    /// `send`. The hook may destroy the connection. No other request may be in flight.
    virtual void send(const http_request &request, duration timeout, outcome_hook done) = 0;
    virtual bool busy() const = 0;
    /// Returns false after a failure; the next request then opens a new connection.
    virtual bool established() const = 0;
};

/// Opens connections. Tests substitute their own implementation.
class http_connector
{
public:
    http_connector() = default;
    http_connector(const http_connector &) = delete;
    http_connector &operator=(const http_connector &) = delete;
    virtual ~http_connector() = default;

    virtual std::unique_ptr<http_connection> open(const endpoint &to) = 0;
};

} // namespace peridotwheel

#endif
