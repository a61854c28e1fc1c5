#include "peridotwheel/http/http_client.h"

#include <algorithm>

namespace peridotwheel {

pooled_http_client::~pooled_http_client() = default;

void pooled_http_client::send(const endpoint &to, const http_request &request, duration timeout,
                              outcome_hook done)
{
    const idle_key key(to, request.lane);
    m_busy.push_back(request.isAlone ? m_connector.open(to) : takeIdle(key));
    http_connection *connection = m_busy.back().get();
    connection->send(request, timeout,
                     [this, key, isAlone = request.isAlone, connection,
                      hook = std::move(done)](http_outcome outcome) {
                         // `finish` may destroy the connection and with it this closure, so the
                         // hook is copied first.
                         auto callback = hook;
                         finish(key, isAlone, connection);
                         callback(std::move(outcome));
                     });
}

std::unique_ptr<http_connection> pooled_http_client::takeIdle(const idle_key &key)
{
    auto it = m_idle.find(key);
    if (it == m_idle.end() || it->second.empty())
        return m_connector.open(key.first);
    auto connection = std::move(it->second.back());
    it->second.pop_back();
    return connection;
}

void pooled_http_client::finish(const idle_key &key, bool isAlone, http_connection *connection)
{
    auto it = std::find_if(m_busy.begin(), m_busy.end(),
                           [&](const auto &c) { return c.get() == connection; });
    auto owned = std::move(*it);
    m_busy.erase(it);
    if (isAlone || !owned->established())
        return;
    auto &idle = m_idle[key];
    if (idle.size() < maxIdlePerEndpoint)
        idle.push_back(std::move(owned));
}

} // namespace peridotwheel
