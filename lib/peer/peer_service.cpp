#include "peridotwheel/peer/peer_service.h"

#include "peridotwheel/peer/peer_client.h"

namespace peridotwheel {

peer_service::peer_service(counter_set &counters, exchange_hook onExchange)
    : m_answered(counters.at("peer.exchanges_answered"))
    , m_bytesSent(counters.at("peer.bytes_sent"))
    , m_bytesReceived(counters.at("peer.bytes_received"))
    , m_malformed(counters.at("peer.malformed"))
    , m_onExchange(std::move(onExchange))
{
}

void peer_service::handle(const http_request &request,
                          const std::shared_ptr<http_responder> &responder)
{
    const http_headers plain{{"Content-Type", "text/plain"}};
    if (request.path != peerExchangePath)
        return responder->reply({404, plain, "unknown path; peers use /peer/exchange\n"});
    if (request.method != http_method::Post)
        return responder->reply({405, plain, "use POST\n"});
    const auto message = decodeExchange(request.body);
    if (!message) {
        m_malformed.add();
        return responder->reply({400, plain, message.error().message + "\n"});
    }
    m_bytesReceived.add(request.body.size());
    http_reply reply;
    reply.status = 200;
    reply.headers.emplace_back("Content-Type", "application/vnd.apache.thrift.compact");
    reply.body = encodeExchange(m_onExchange(message.value()));
    m_answered.add();
    m_bytesSent.add(reply.body.size());
    responder->reply(reply);
}

} // namespace peridotwheel
