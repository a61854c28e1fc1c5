#ifndef PERIDOTWHEEL_PEER_PEER_SERVICE_H
#define PERIDOTWHEEL_PEER_PEER_SERVICE_H

#include "peridotwheel/counters/counter_set.h"
#include "peridotwheel/http/http_server.h"
#include "peridotwheel/peer/exchange.h"

#include <functional>

namespace peridotwheel {

/// Answers `POST /peer/exchange`. Malformed messages are answered with 400 and are not passed to
/// the hook.
///
/// The listener must allow bodies of `maxPeerBodyBytes`.
class peer_service
{
public:
    using exchange_hook = std::function<exchange(const exchange &)>;

    peer_service(counter_set &counters, exchange_hook onExchange);

    void handle(const http_request &request, const std::shared_ptr<http_responder> &responder);

private:
    counter &m_answered;
    counter &m_bytesSent;
    counter &m_bytesReceived;
    counter &m_malformed;
    exchange_hook m_onExchange;
};

} // namespace peridotwheel

#endif
