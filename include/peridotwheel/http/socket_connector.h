#ifndef PERIDOTWHEEL_HTTP_SOCKET_CONNECTOR_H
#define PERIDOTWHEEL_HTTP_SOCKET_CONNECTOR_H

#include "peridotwheel/http/client_connection.h"
#include "peridotwheel/http/reply_memory.h"
#include "peridotwheel/http/socket_stream.h"

#include <cstddef>
#include <memory>

namespace peridotwheel {

class libevent_loop;

/// Opens `client_connection`s on TCP sockets.
class socket_connector : public client_connector
{
public:
    /// Requests whose reply has a body larger than \p maxReplyBytes fail. All replies in progress
    /// share \p memory.
    socket_connector(libevent_loop &loop, std::size_t maxReplyBytes,
                     std::shared_ptr<reply_memory> memory, tcp_keepalive keepalive)
        : m_loop(loop)
        , m_maxReplyBytes(maxReplyBytes)
        , m_memory(std::move(memory))
        , m_keepalive(keepalive)
    {
    }

    std::unique_ptr<client_connection> open(const endpoint &to,
                                            client_connection_hooks hooks) override;

private:
    libevent_loop &m_loop;
    std::size_t m_maxReplyBytes;
    std::shared_ptr<reply_memory> m_memory;
    tcp_keepalive m_keepalive;
};

} // namespace peridotwheel

#endif
