#include "view_exchange.h"

#include "peridotwheel/gateway/decision_log.h"
#include "view_codec.h"

namespace peridotwheel {

namespace {

constexpr const char *viewPath = "/peer/view";
/// A change has to be in force within seconds, through one or two instances in between.
constexpr duration askInterval = milliseconds(400);
constexpr duration askTimeout = milliseconds(600);

} // namespace

view_exchange::view_exchange(event_loop &loop, cluster_view &view, http_client &http,
                             decision_log &log, std::uint64_t seed,
                             std::function<std::vector<endpoint>()> addresses)
    : m_loop(loop)
    , m_view(view)
    , m_http(http)
    , m_log(log)
    , m_random(seed)
    , m_addresses(std::move(addresses))
{
}

view_exchange::~view_exchange() = default;

void view_exchange::start()
{
    step();
}

void view_exchange::step()
{
    if (m_view.storeIsAway()) {
        const auto addresses = m_addresses();
        // Two at once, since one of them may be cut off as well.
        if (!addresses.empty()) {
            const std::size_t first = m_random.below(addresses.size());
            ask(addresses[first]);
            if (addresses.size() > 1)
                ask(addresses[(first + 1 + m_random.below(addresses.size() - 1)) %
                              addresses.size()]);
        }
    }
    m_timer = m_loop.schedule(askInterval, [this] { step(); });
}

void view_exchange::ask(const endpoint &to)
{
    http_request request;
    request.method = http_method::Post;
    request.path = viewPath;
    request.body = encodePosition({m_view.version(), m_view.serversAt()});
    m_http.send(to, request, askTimeout,
                [this, to, alive = std::weak_ptr<int>(m_alive)](const http_outcome &outcome) {
                    if (!alive.expired())
                        onReply(to, outcome);
                });
}

void view_exchange::onReply(const endpoint &from, const http_outcome &outcome)
{
    constexpr int ok = 200;
    if (!outcome.ok() || outcome.reply.status != ok) {
        m_log.decision("peer_not_answering").add("address", from.address);
        return;
    }
    const auto &documents = m_view.documents();
    const auto read = decodeSnapshot(outcome.reply.body, documents.configurationKind,
                                     documents.serverKind);
    if (!read) {
        m_log.decision("peer_view_refused").add("reason", read.error().message);
        return;
    }
    m_view.merge(read.value());
}

void view_exchange::answer(const opaque_request &request, client_exchange &client) const
{
    const auto position = decodePosition(request.body);
    if (request.target != viewPath || !position) {
        client.reply({404, {}, "only POST /peer/view with the asker's position is answered\n"});
        return;
    }
    view_snapshot all = m_view.snapshot();
    if (m_view.version() <= position.value().configuration)
        all.configuration.reset();
    if (all.serversAt <= position.value().serversAt) {
        all.serversAt = object_version();
        all.servers.clear();
    }
    client.reply({200, {}, encodeSnapshot(all)});
}

} // namespace peridotwheel
