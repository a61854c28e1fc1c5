#ifndef PERIDOTWHEEL_HTTP_EVHTTP_CONNECTOR_H
#define PERIDOTWHEEL_HTTP_EVHTTP_CONNECTOR_H

#include "peridotwheel/http/http_connection.h"

#include <cstddef>

namespace peridotwheel {

class libevent_loop;

/// Opens `http_connection`s that use evhttp.
class evhttp_connector : public http_connector
{
public:
    /// Requests whose reply has a larger body fail. Configuration documents are the largest
    /// replies: the platform stores values of up to one megabyte.
    static constexpr std::size_t maxReplyBytes = 4 * 1024 * 1024;
    static constexpr std::size_t maxReplyHeaderBytes = 64 * 1024;

    explicit evhttp_connector(libevent_loop &loop)
        : m_loop(loop)
    {
    }

    std::unique_ptr<http_connection> open(const endpoint &to) override;

private:
    libevent_loop &m_loop;
};

} // namespace peridotwheel

#endif
