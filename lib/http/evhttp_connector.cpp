#include "peridotwheel/http/evhttp_connector.h"

#include "evhttp_message.h"
#include "peridotwheel/support/libevent_loop.h"

#include <cassert>
#include <event2/buffer.h>
#include <event2/bufferevent.h>

namespace peridotwheel {

namespace {

constexpr duration timeoutGranularity = milliseconds(100);

class evhttp_client_connection : public http_connection
{
public:
    evhttp_client_connection(libevent_loop &loop, endpoint to)
        : m_loop(loop)
        , m_to(std::move(to))
        , m_host(m_to.address + ":" + std::to_string(m_to.port))
    {
    }

    void send(const http_request &request, duration timeout, outcome_hook done) override;
    bool busy() const override { return m_done != nullptr; }
    bool established() const override { return m_established; }

private:
    static void onReply(evhttp_request *req, void *arg);
    static void onError(evhttp_request_error, void *arg);
    static void onClosed(evhttp_connection *, void *arg);

    void openIfNeeded();
    void applyTimeout(duration timeout);
    void finish(http_outcome outcome);
    void finishLater(transport_failure failure);

    libevent_loop &m_loop;
    endpoint m_to;
    std::string m_host;
    evhttp_connection_ptr m_connection;
    outcome_hook m_done;
    timer m_deferred;
    duration m_timeout{};
    bool m_established = false;
    bool m_inMakeRequest = false;
    bool m_errorReported = false;
};

void evhttp_client_connection::openIfNeeded()
{
    if (m_connection)
        return;
    m_connection.reset(
            evhttp_connection_base_new(m_loop.base(), nullptr, m_to.address.c_str(), m_to.port));
    assert(m_connection && "evhttp_connection_base_new failed: out of memory");
    evhttp_connection_set_closecb(m_connection.get(), &evhttp_client_connection::onClosed, this);
    evhttp_connection_set_max_body_size(m_connection.get(), evhttp_connector::maxReplyBytes);
    evhttp_connection_set_max_headers_size(m_connection.get(),
                                           evhttp_connector::maxReplyHeaderBytes);
}

void evhttp_client_connection::applyTimeout(duration timeout)
{
    // Setting a timeout rearms two timers. Successive requests have nearly the same timeout, so it
    // is rounded up and usually stays unchanged. Callers that need an exact deadline enforce it
    // themselves.
    const duration rounded = (timeout / timeoutGranularity + 1) * timeoutGranularity;
    if (rounded == m_timeout)
        return;
    m_timeout = rounded;
    const timeval tv = toTimeval(rounded);
    evhttp_connection_set_timeout_tv(m_connection.get(), &tv);
}

void evhttp_client_connection::send(const http_request &request, duration timeout,
                                    outcome_hook done)
{
    assert(!busy() && "one request at a time on a connection");
    openIfNeeded();
    m_done = std::move(done);
    m_errorReported = false;
    applyTimeout(timeout);

    evhttp_request *req = evhttp_request_new(&evhttp_client_connection::onReply, this);
    evhttp_request_set_error_cb(req, &evhttp_client_connection::onError);
    evkeyvalq *headers = evhttp_request_get_output_headers(req);
    evhttp_add_header(headers, "Host", m_host.c_str());
    addHeaders(headers, request.headers);
    if (!request.body.empty()) {
        evbuffer_add(evhttp_request_get_output_buffer(req), request.body.data(),
                     request.body.size());
    }
    m_inMakeRequest = true;
    const int rc = evhttp_make_request(m_connection.get(), req, toEvhttp(request.method),
                                       request.path.c_str());
    m_inMakeRequest = false;
    if (rc != 0 && m_done && !m_deferred)
        finishLater(transport_failure::NotSent);
}

void evhttp_client_connection::onReply(evhttp_request *req, void *arg)
{
    auto *self = static_cast<evhttp_client_connection *>(arg);
    const int status = req != nullptr ? evhttp_request_get_response_code(req) : 0;
    if (status != 0) {
        http_outcome outcome;
        outcome.reply.status = status;
        outcome.reply.headers = copyHeaders(evhttp_request_get_input_headers(req));
        outcome.reply.body = copyBody(evhttp_request_get_input_buffer(req));
        self->m_established = true;
        self->finish(std::move(outcome));
        return;
    }
    // evhttp reports a connection that never opened by a request without a status, and every later
    // failure through the error callback. Only in the former case is it certain that nothing was
    // written.
    const bool neverOpened = req != nullptr && !self->m_errorReported;
    const auto failure = neverOpened ? transport_failure::NotSent : transport_failure::MayHaveRun;
    self->m_established = false;
    if (self->m_inMakeRequest) {
        self->finishLater(failure);
        return;
    }
    http_outcome outcome;
    outcome.failure = failure;
    self->finish(std::move(outcome));
}

void evhttp_client_connection::onError(evhttp_request_error, void *arg)
{
    static_cast<evhttp_client_connection *>(arg)->m_errorReported = true;
}

void evhttp_client_connection::onClosed(evhttp_connection *, void *arg)
{
    static_cast<evhttp_client_connection *>(arg)->m_established = false;
}

void evhttp_client_connection::finish(http_outcome outcome)
{
    // The hook may destroy this connection, so no member is accessed after the call.
    auto done = std::move(m_done);
    m_done = nullptr;
    if (done)
        done(std::move(outcome));
}

void evhttp_client_connection::finishLater(transport_failure failure)
{
    m_deferred = m_loop.schedule(duration::zero(), [this, failure] {
        http_outcome outcome;
        outcome.failure = failure;
        m_deferred.cancel();
        finish(std::move(outcome));
    });
}

} // namespace

std::unique_ptr<http_connection> evhttp_connector::open(const endpoint &to)
{
    return std::make_unique<evhttp_client_connection>(m_loop, to);
}

} // namespace peridotwheel
