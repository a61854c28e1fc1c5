#ifndef PERIDOTWHEEL_HTTP_HTTP_RESPONDER_H
#define PERIDOTWHEEL_HTTP_HTTP_RESPONDER_H

#include "peridotwheel/http/http_message.h"

#include <cstddef>
#include <functional>

namespace peridotwheel {

/// Sends the reply to one received request. It may outlive the connection: replying after the
/// client has disconnected has no effect.
class http_responder
{
public:
    http_responder() = default;
    http_responder(const http_responder &) = delete;
    http_responder &operator=(const http_responder &) = delete;
    virtual ~http_responder() = default;

    /// Sends the reply; only the first call has an effect.
    virtual void reply(const http_reply &r) = 0;
    /// Sets the hook that is called once if the connection ends before the reply.
    virtual void onClientDisconnected(std::function<void()> hook) = 0;
    /// Sets how much memory the parts of the reply occupy that have arrived so far. The client may
    /// be disconnected for it, but not from within the call.
    virtual void setPartBytes(std::size_t /*bytes*/) {}
    /// Closes the connection without a reply.
    virtual void drop() = 0;
};

} // namespace peridotwheel

#endif
