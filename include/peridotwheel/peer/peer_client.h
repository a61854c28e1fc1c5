#ifndef PERIDOTWHEEL_PEER_PEER_CLIENT_H
#define PERIDOTWHEEL_PEER_PEER_CLIENT_H

#include "peridotwheel/counters/counter_set.h"
#include "peridotwheel/http/http_client.h"
#include "peridotwheel/peer/exchange.h"

#include <functional>
#include <memory>

namespace peridotwheel {

/// Path for exchanges on the listener for other instances.
extern const std::string peerExchangePath;

/// Sends exchanges to other instances.
class peer_client
{
public:
    using reply_hook = std::function<void(result<exchange>)>;

    peer_client(http_client &http, counter_set &counters);

    /// \p done is called once, unless the client is destroyed before.
    void send(const endpoint &to, const exchange &message, duration timeout, reply_hook done);

private:
    http_client &m_http;
    counter &m_sent;
    counter &m_failed;
    counter &m_bytesSent;
    counter &m_bytesReceived;
    counter &m_malformed;
    std::shared_ptr<peer_client *> m_this;
};

} // namespace peridotwheel

#endif
