#ifndef PERIDOTWHEEL_LIB_GATEWAY_VIEW_EXCHANGE_H
#define PERIDOTWHEEL_LIB_GATEWAY_VIEW_EXCHANGE_H

#include "peridotwheel/gateway/cluster_view.h"
#include "peridotwheel/http/http_client.h"
#include "peridotwheel/http/stream_server.h"
#include "peridotwheel/support/random_source.h"

#include <functional>
#include <memory>
#include <vector>

namespace peridotwheel {

class decision_log;

/// Asks other instances for newer objects while the store does not answer here, and answers them.
class view_exchange
{
public:
    /// \p addresses names the instances that can be asked.
    view_exchange(event_loop &loop, cluster_view &view, http_client &http, decision_log &log,
                  std::uint64_t seed, std::function<std::vector<endpoint>()> addresses);
    view_exchange(const view_exchange &) = delete;
    view_exchange &operator=(const view_exchange &) = delete;
    ~view_exchange();

    void start();
    void answer(const opaque_request &request, client_exchange &client) const;

private:
    void step();
    void ask(const endpoint &to);
    void onReply(const endpoint &from, const http_outcome &outcome);

    event_loop &m_loop;
    cluster_view &m_view;
    http_client &m_http;
    decision_log &m_log;
    random_source m_random;
    std::function<std::vector<endpoint>()> m_addresses;
    timer m_timer;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

} // namespace peridotwheel

#endif
