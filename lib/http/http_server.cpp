#include "peridotwheel/http/http_server.h"

#include "connection_table.h"
#include "evhttp_message.h"
#include "peridotwheel/support/libevent_loop.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <set>
#include <sys/socket.h>

namespace peridotwheel {

namespace {

class evhttp_responder;

/// evhttp answers a body beyond its own limit with a page that names no remedy. Its limit is this
/// multiple of `maxBodyBytes`, so that callers who exceed `maxBodyBytes` by a little get a reply
/// that tells them what to do.
constexpr std::size_t bodyReadLimitFactor = 2;
/// Interval at which the memory of connections is measured, and freed after they were closed.
constexpr duration memoryInterval = milliseconds(250);

/// State that responders share with their server, which may be destroyed before them.
struct server_state
{
    server_state(libevent_loop &l, const http_server_limits &limits,
                 std::shared_ptr<client_memory> memory)
        : loop(l)
        , connections(limits.maxConnections, limits.idleTimeout, std::move(memory),
                      [this](bufferevent *connection) {
                          loop.post([this, alive = std::weak_ptr<int>(m_alive), connection] {
                              if (!alive.expired())
                                  connections.disconnect(connection);
                          });
                      })
    {
    }

    libevent_loop &loop;
    std::set<evhttp_responder *> pending;
    connection_table connections;

private:
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

class evhttp_responder : public http_responder
{
public:
    evhttp_responder(std::shared_ptr<server_state> state, evhttp_request *req)
        : m_state(std::move(state))
        , m_request(req)
    {
        m_state->pending.insert(this);
    }

    ~evhttp_responder() override
    {
        // Every request gets a reply, even if its handler released the responder without one.
        if (m_request != nullptr)
            reply({500,
                   {},
                   "internal error: no reply; the request may have run, ask for its status\n"});
        m_state->pending.erase(this);
    }

    void reply(const http_reply &r) override;
    void onClientDisconnected(std::function<void()> hook) override
    {
        m_onClientDisconnected = std::move(hook);
    }
    void drop() override;

    evhttp_request *request() const { return m_request; }
    void detachRequest() { m_request = nullptr; }
    void notifyClientDisconnected();

private:
    evhttp_request *takeRequest();

    std::shared_ptr<server_state> m_state;
    evhttp_request *m_request;
    std::function<void()> m_onClientDisconnected;
};

evhttp_request *evhttp_responder::takeRequest()
{
    auto *req = m_request;
    m_request = nullptr;
    m_onClientDisconnected = nullptr;
    m_state->pending.erase(this);
    evhttp_connection *connection = req == nullptr ? nullptr : evhttp_request_get_connection(req);
    if (connection != nullptr) {
        m_state->connections.markIdle(evhttp_connection_get_bufferevent(connection),
                                      m_state->loop.now());
    }
    return req;
}

void evhttp_responder::reply(const http_reply &r)
{
    auto *req = takeRequest();
    if (req == nullptr)
        return;
    addHeaders(evhttp_request_get_output_headers(req), r.headers);
    evbuffer *out = evhttp_request_get_output_buffer(req);
    evbuffer_add(out, r.body.data(), r.body.size());
    evhttp_connection *connection = evhttp_request_get_connection(req);
    bufferevent *stream =
            connection != nullptr ? evhttp_connection_get_bufferevent(connection) : nullptr;
    evhttp_send_reply(req, r.status, nullptr, nullptr);
    if (stream != nullptr)
        m_state->connections.updateMemory(stream, m_state->loop.now());
}

void evhttp_responder::drop()
{
    auto *req = takeRequest();
    if (req == nullptr)
        return;
    evhttp_connection *connection = evhttp_request_get_connection(req);
    if (connection != nullptr)
        evhttp_connection_free(connection);
}

void evhttp_responder::notifyClientDisconnected()
{
    auto hook = std::move(m_onClientDisconnected);
    m_onClientDisconnected = nullptr;
    if (hook)
        hook();
}

} // namespace

class http_server::impl
{
public:
    impl(libevent_loop &loop, http_server_limits limits, request_hook onRequest,
         const std::shared_ptr<client_memory> &memory)
        : m_limits(limits)
        , m_onRequest(std::move(onRequest))
        , m_loop(loop)
        , m_state(std::make_shared<server_state>(loop, limits, memory))
        , m_http(evhttp_new(loop.base()))
    {
        evhttp_set_max_body_size(
                m_http.get(), static_cast<ev_ssize_t>(bodyReadLimitFactor * limits.maxBodyBytes));
        evhttp_set_max_headers_size(m_http.get(), static_cast<ev_ssize_t>(limits.maxHeaderBytes));
        evhttp_set_allowed_methods(m_http.get(), EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT |
                                                         EVHTTP_REQ_DELETE);
        const timeval tv = toTimeval(limits.idleTimeout);
        evhttp_set_timeout_tv(m_http.get(), &tv);
        evhttp_set_bevcb(m_http.get(), &impl::createBufferevent, this);
        evhttp_set_gencb(m_http.get(), &impl::onRequest, this);
        scheduleSweep();
        if (memory)
            measureMemory();
    }

    ~impl()
    {
        for (auto *responder : m_state->pending)
            responder->detachRequest();
        m_http.reset();
        m_state->connections.clear();
    }

    result<void> listen(const endpoint &at);
    void stopListening();
    std::uint16_t port() const { return m_port; }
    std::size_t openConnections()
    {
        m_state->connections.sweep(m_loop.now());
        return m_state->connections.open();
    }
    std::size_t inFlight() const { return m_state->pending.size(); }

private:
    static void onRequest(evhttp_request *req, void *arg);
    static void onClosed(evhttp_connection *connection, void *arg);
    static bufferevent *createBufferevent(event_base *base, void *arg);
    void scheduleSweep();
    void measureMemory();

    http_server_limits m_limits;
    request_hook m_onRequest;
    libevent_loop &m_loop;
    std::shared_ptr<server_state> m_state;
    evhttp_ptr m_http;
    evhttp_bound_socket *m_socket = nullptr;
    std::uint16_t m_port = 0;
    timer m_sweep;
    timer m_measurement;
};

result<void> http_server::impl::listen(const endpoint &at)
{
    m_socket = evhttp_bind_socket_with_handle(m_http.get(), at.address.c_str(), at.port);
    if (m_socket == nullptr) {
        return failure(error_kind::Unavailable,
                       "cannot listen on " + at.address + ":" + std::to_string(at.port) +
                               "; check that the address is this machine's and the port is free");
    }
    sockaddr_in bound{};
    socklen_t size = sizeof bound;
    getsockname(evhttp_bound_socket_get_fd(m_socket), reinterpret_cast<sockaddr *>(&bound), &size);
    m_port = ntohs(bound.sin_port);
    return success();
}

void http_server::impl::stopListening()
{
    if (m_socket != nullptr)
        evhttp_del_accept_socket(m_http.get(), m_socket);
    m_socket = nullptr;
}

void http_server::impl::onRequest(evhttp_request *req, void *arg)
{
    auto *self = static_cast<impl *>(arg);
    evhttp_connection *connection = evhttp_request_get_connection(req);
    evhttp_connection_set_closecb(connection, &impl::onClosed, arg);
    self->m_state->connections.markBusy(evhttp_connection_get_bufferevent(connection),
                                        self->m_loop.now());
    auto responder = std::make_shared<evhttp_responder>(self->m_state, req);
    if (self->m_state->pending.size() > self->m_limits.maxWaitingRequests) {
        responder->reply({503,
                          {{"Connection", "close"}, {"X-Not-Run", "1"}, {"Retry-After", "1"}},
                          "too many waiting requests, not run; retry after a second\n"});
        return;
    }
    const std::size_t size = evbuffer_get_length(evhttp_request_get_input_buffer(req));
    if (size > self->m_limits.maxBodyBytes) {
        responder->reply({413,
                          {{"Connection", "close"}, {"X-Not-Run", "1"}},
                          "the body has " + std::to_string(size) + " bytes, at most " +
                                  std::to_string(self->m_limits.maxBodyBytes) +
                                  " are accepted; not run, send a smaller request\n"});
        return;
    }
    http_request request;
    request.method = fromEvhttp(evhttp_request_get_command(req));
    request.path = evhttp_request_get_uri(req);
    request.headers = copyHeaders(evhttp_request_get_input_headers(req));
    request.body = copyBody(evhttp_request_get_input_buffer(req));
    self->m_onRequest(request, std::move(responder));
}

void http_server::impl::onClosed(evhttp_connection *connection, void *arg)
{
    auto *self = static_cast<impl *>(arg);
    const auto pending = self->m_state->pending;
    for (auto *responder : pending) {
        auto *req = responder->request();
        if (req != nullptr && evhttp_request_get_connection(req) == connection)
            responder->notifyClientDisconnected();
    }
}

bufferevent *http_server::impl::createBufferevent(event_base *base, void *arg)
{
    auto *self = static_cast<impl *>(arg);
    bufferevent *connection = bufferevent_socket_new(base, -1, 0);
    if (connection == nullptr)
        return nullptr;
    // evhttp keeps reading while a reply waits to be read. The longest request has to fit.
    const http_server_limits &limits = self->m_limits;
    bufferevent_setwatermark(connection, EV_READ, 0,
                             bodyReadLimitFactor * limits.maxBodyBytes + limits.maxHeaderBytes);
    self->m_state->connections.add(connection, self->m_loop.now());
    return connection;
}

void http_server::impl::scheduleSweep()
{
    // Sweeping every quarter of the timeout bounds how long a connection outlives its timeout.
    m_sweep = m_loop.schedule(m_limits.idleTimeout / 4, [this] {
        m_state->connections.sweep(m_loop.now());
        scheduleSweep();
    });
}

void http_server::impl::measureMemory()
{
    m_measurement = m_loop.schedule(memoryInterval, [this] {
        m_state->connections.updateMemory(m_loop.now());
        measureMemory();
    });
}

http_server::http_server(libevent_loop &loop, http_server_limits limits, request_hook onRequest,
                         const std::shared_ptr<client_memory> &memory)
    : m_impl(std::make_unique<impl>(loop, limits, std::move(onRequest), memory))
{
}

http_server::~http_server() = default;

result<void> http_server::listen(const endpoint &at)
{
    return m_impl->listen(at);
}

std::uint16_t http_server::boundPort() const
{
    return m_impl->port();
}

void http_server::stopListening()
{
    m_impl->stopListening();
}

std::size_t http_server::openConnections() const
{
    return m_impl->openConnections();
}

std::size_t http_server::requestsInFlight() const
{
    return m_impl->inFlight();
}

} // namespace peridotwheel
