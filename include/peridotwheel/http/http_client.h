#ifndef PERIDOTWHEEL_HTTP_HTTP_CLIENT_H
#define PERIDOTWHEEL_HTTP_HTTP_CLIENT_H

#include "peridotwheel/http/http_connection.h"

#include <cstddef>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace peridotwheel {

/// Sends single requests to the platform and to peers over persistent connections.
class http_client
{
public:
    http_client() = default;
    http_client(const http_client &) = delete;
    http_client &operator=(const http_client &) = delete;
    virtual ~http_client() = default;

    /// Calls \p done once, never from within `send`. Does not call it if the client is destroyed
    /// first.
    virtual void send(const endpoint &to, const http_request &request, duration timeout,
                      outcome_hook done) = 0;
};

/// An `http_client` that keeps up to `maxIdlePerEndpoint` idle connections for each lane of an
/// endpoint.
class pooled_http_client : public http_client
{
public:
    static constexpr std::size_t maxIdlePerEndpoint = 4;

    explicit pooled_http_client(http_connector &connector)
        : m_connector(connector)
    {
    }
    ~pooled_http_client() override;

    void send(const endpoint &to, const http_request &request, duration timeout,
              outcome_hook done) override;

private:
    using connection_list = std::vector<std::unique_ptr<http_connection>>;

    /// An endpoint and the lane of the requests to it.
    using idle_key = std::pair<endpoint, std::string>;

    std::unique_ptr<http_connection> takeIdle(const idle_key &key);
    void finish(const idle_key &key, bool isAlone, http_connection *connection);

    http_connector &m_connector;
    std::map<idle_key, connection_list> m_idle;
    connection_list m_busy;
};

} // namespace peridotwheel

#endif
