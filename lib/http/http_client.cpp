#include "peridotwheel/http/http_client.h"

#include <algorithm>

namespace peridotwheel {

pooled_http_client::~pooled_http_client() = default;

void pooled_http_client::send(const endpoint &to, const http_request &request, duration timeout,
                              outcome_hook done)
{
    m_busy.push_back(takeIdle(to));
    http_connection *connection = m_busy.back().get();
    connection->send(request, timeout,
                     [this, to, connection, hook = std::move(done)](http_outcome outcome) {
                         // `finish` may destroy the connection and with it this closure, so the
                         // hook is copied first.
                         auto callback = hook;
                         finish(to, connection);
                         callback(std::move(outcome));
                     });
}

std::unique_ptr<http_connection> pooled_http_client::takeIdle(const endpoint &to)
{
    auto it = m_idle.find(to);
    if (it == m_idle.end() || it->second.empty())
        return m_connector.open(to);
    auto connection = std::move(it->second.back());
    it->second.pop_back();
    return connection;
}

void pooled_http_client::finish(const endpoint &to, http_connection *connection)
{
    auto it = std::find_if(m_busy.begin(), m_busy.end(),
                           [&](const auto &c) { return c.get() == connection; });
    auto owned = std::move(*it);
    m_busy.erase(it);
    if (!owned->established())
        return;
    auto &idle = m_idle[to];
    if (idle.size() < maxIdlePerEndpoint)
        idle.push_back(std::move(owned));
}

} // namespace peridotwheel
