#include "peridotwheel/peer/peer_client.h"

namespace peridotwheel {

const std::string peerExchangePath = "/peer/exchange";

peer_client::peer_client(http_client &http, counter_set &counters)
    : m_http(http)
    , m_sent(counters.at("peer.exchanges_sent"))
    , m_failed(counters.at("peer.exchanges_failed"))
    , m_bytesSent(counters.at("peer.bytes_sent"))
    , m_bytesReceived(counters.at("peer.bytes_received"))
    , m_malformed(counters.at("peer.malformed"))
    , m_this(std::make_shared<peer_client *>(this))
{
}

void peer_client::send(const endpoint &to, const exchange &message, duration timeout,
                       reply_hook done)
{
    http_request request;
    request.method = http_method::Post;
    request.path = peerExchangePath;
    request.headers.emplace_back("Content-Type", "application/vnd.apache.thrift.compact");
    request.body = encodeExchange(message);
    m_sent.add();
    m_bytesSent.add(request.body.size());
    std::weak_ptr<peer_client *> weak = m_this;
    m_http.send(to, request, timeout, [weak, done = std::move(done)](const http_outcome &outcome) {
        const auto self = weak.lock();
        if (!self)
            return;
        if (!outcome.ok() || outcome.reply.status != 200) {
            (*self)->m_failed.add();
            return done(
                    failure(error_kind::Unavailable, "the peer did not answer with status 200"));
        }
        (*self)->m_bytesReceived.add(outcome.reply.body.size());
        auto reply = decodeExchange(outcome.reply.body);
        if (!reply)
            (*self)->m_malformed.add();
        done(std::move(reply));
    });
}

} // namespace peridotwheel
