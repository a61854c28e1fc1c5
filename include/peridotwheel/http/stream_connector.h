#ifndef PERIDOTWHEEL_HTTP_STREAM_CONNECTOR_H
#define PERIDOTWHEEL_HTTP_STREAM_CONNECTOR_H

#include "peridotwheel/http/client_connection.h"
#include "peridotwheel/http/http_connection.h"

namespace peridotwheel {

class event_loop;

/// Opens `http_connection`s on top of a `client_connector`. With `socket_connector`, unreachable
/// peers are detected through TCP_USER_TIMEOUT and, if enabled, TCP keepalive.
class stream_connector : public http_connector
{
public:
    stream_connector(event_loop &loop, std::unique_ptr<client_connector> connector)
        : m_loop(loop)
        , m_connector(std::move(connector))
    {
    }

    std::unique_ptr<http_connection> open(const endpoint &to) override;

private:
    event_loop &m_loop;
    std::unique_ptr<client_connector> m_connector;
};

} // namespace peridotwheel

#endif
