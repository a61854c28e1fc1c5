#include "peridotwheel/bench/bare_fanout.h"

#include "peridotwheel/support/libevent_loop.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <string>

namespace peridotwheel {

/// One query at a time over its own connections, one to each target.
struct bare_fanout::lane
{
    bare_fanout *owner = nullptr;
    std::vector<evhttp_connection_ptr> connections;
    std::size_t open = 0;
    std::size_t replyBytes = 0;
};

bare_fanout::bare_fanout(libevent_loop &loop, std::vector<fanout_target> targets,
                         std::uint32_t concurrency)
    : m_loop(loop)
    , m_targets(std::move(targets))
{
    for (std::uint32_t i = 0; i < concurrency; ++i) {
        auto l = std::make_unique<lane>();
        l->owner = this;
        for (const auto &t : m_targets) {
            l->connections.emplace_back(evhttp_connection_base_new(
                    m_loop.base(), nullptr, t.server.address.c_str(), t.server.port));
        }
        m_lanes.push_back(std::move(l));
    }
}

bare_fanout::~bare_fanout() = default;

void bare_fanout::start()
{
    for (auto &l : m_lanes)
        startQuery(*l);
}

void bare_fanout::startQuery(lane &l)
{
    l.open = m_targets.size();
    for (std::size_t i = 0; i < m_targets.size(); ++i) {
        evhttp_request *req = evhttp_request_new(&bare_fanout::onReply, &l);
        evkeyvalq *headers = evhttp_request_get_output_headers(req);
        evhttp_add_header(headers, "Host", "backend");
        evhttp_add_header(headers, "X-Attempt", "1");
        evhttp_add_header(headers, "X-Deadline-Ms", "1000");
        evhttp_add_header(headers, "X-Index-Version", "1");
        evhttp_add_header(headers, "X-Shards", m_targets[i].shards.c_str());
        evhttp_add_header(headers, "X-Data-Centre", "dc1");
        evbuffer_add(evhttp_request_get_output_buffer(req), "query", 5);
        evhttp_make_request(l.connections[i].get(), req, EVHTTP_REQ_POST, "/search");
    }
}

void bare_fanout::onReply(evhttp_request *req, void *arg)
{
    auto *l = static_cast<lane *>(arg);
    auto *self = l->owner;
    ++self->m_serverRequests;
    if (req == nullptr || evhttp_request_get_response_code(req) != 200)
        ++self->m_failures;
    else
        l->replyBytes += evbuffer_get_length(evhttp_request_get_input_buffer(req));
    if (--l->open == 0 && !self->m_stopped)
        self->startQuery(*l);
}

} // namespace peridotwheel
