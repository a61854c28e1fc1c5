#include "standin_listener.h"

#include "peridotwheel/support/libevent_loop.h"

#include <array>
#include <cassert>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <vector>

namespace peridotwheel {

namespace {

constexpr int idleTimeoutSeconds = 300;
constexpr std::size_t maxBodyBytes = 256 * 1024;
constexpr std::size_t maxHeaderBytes = 64 * 1024;

ino_t inodeOf(int socket)
{
    struct stat info = {};
    return fstat(socket, &info) == 0 ? info.st_ino : 0;
}

/// Ends a connection before evhttp reads from it. What has already arrived is discarded, since
/// evhttp would otherwise still parse a request from it.
void refuseSocket(int socket)
{
    std::array<char, 4096> discarded{};
    while (recv(socket, discarded.data(), discarded.size(), MSG_DONTWAIT) > 0) {
    }
    shutdown(socket, SHUT_RDWR);
}

} // namespace

standin_listener::standin_listener(libevent_loop &loop, std::size_t limit,
                                   request_handler onRequest, gone_handler onGone)
    : m_loop(loop)
    , m_limit(limit)
    , m_onRequest(std::move(onRequest))
    , m_onGone(std::move(onGone))
    , m_http(evhttp_new(loop.base()))
{
    assert(m_http && "evhttp_new failed: out of memory");
    evhttp_set_timeout(m_http.get(), idleTimeoutSeconds);
    evhttp_set_max_body_size(m_http.get(), maxBodyBytes);
    evhttp_set_max_headers_size(m_http.get(), maxHeaderBytes);
    evhttp_set_bevcb(m_http.get(), &standin_listener::onAccept, this);
    evhttp_set_gencb(m_http.get(), &standin_listener::onHttpRequest, this);
}

standin_listener::~standin_listener()
{
    *m_alive = false;
    m_http.reset();
}

result<endpoint> standin_listener::listen(const endpoint &at)
{
    m_bound = evhttp_bind_socket_with_handle(m_http.get(), at.address.c_str(), at.port);
    if (m_bound == nullptr) {
        return failure(error_kind::Unavailable,
                       "cannot listen on " + at.address + ":" + std::to_string(at.port) +
                               "; check that the address is this machine's and the port is free");
    }
    sockaddr_in bound{};
    socklen_t size = sizeof bound;
    getsockname(evhttp_bound_socket_get_fd(m_bound), reinterpret_cast<sockaddr *>(&bound), &size);
    return endpoint{at.address, ntohs(bound.sin_port)};
}

void standin_listener::close()
{
    if (m_bound != nullptr)
        evhttp_del_accept_socket(m_http.get(), m_bound);
    m_bound = nullptr;
    forgetClosed();
    std::vector<standin_connection *> all;
    all.reserve(m_connections.size());
    for (const auto &entry : m_connections)
        all.push_back(entry.second.get());
    for (auto *connection : all)
        drop(*connection, false);
}

void standin_listener::drop(standin_connection &connection, bool reset)
{
    if (reset) {
        const linger discard{1, 0};
        setsockopt(connection.socket, SOL_SOCKET, SO_LINGER, &discard, sizeof discard);
    }
    if (connection.http == nullptr) {
        refuseSocket(connection.socket);
        return;
    }
    evhttp_connection_free(connection.http);
}

std::size_t standin_listener::open()
{
    forgetClosed();
    return m_connections.size();
}

bufferevent *standin_listener::onAccept(event_base *base, void *arg)
{
    auto *self = static_cast<standin_listener *>(arg);
    bufferevent *stream = bufferevent_socket_new(base, -1, 0);
    // evhttp sets the socket after this call. The task runs in the same round of the loop, before
    // anything is read from the new connection.
    bufferevent_incref(stream);
    self->m_loop.post([self, stream, alive = self->m_alive] {
        if (*alive)
            self->admit(stream);
        bufferevent_decref(stream);
    });
    return stream;
}

void standin_listener::admit(bufferevent *stream)
{
    forgetClosed();
    const int socket = bufferevent_getfd(stream);
    if (m_connections.size() >= m_limit) {
        ++m_refused;
        refuseSocket(socket);
        return;
    }
    auto connection = std::make_unique<standin_connection>();
    connection->stream = stream;
    connection->socket = socket;
    connection->inode = inodeOf(socket);
    m_connections[stream] = std::move(connection);
    m_peak = std::max(m_peak, m_connections.size());
}

void standin_listener::forgetClosed()
{
    for (auto it = m_connections.begin(); it != m_connections.end();) {
        const auto &c = *it->second;
        // Connections that evhttp has shown are removed by its close hook.
        const bool closed = c.http == nullptr && inodeOf(c.socket) != c.inode;
        it = closed ? m_connections.erase(it) : std::next(it);
    }
}

void standin_listener::attach(standin_connection &connection, evhttp_connection *http)
{
    connection.http = http;
    evhttp_connection_set_closecb(http, &standin_listener::onHttpClosed, this);
    // evhttp does not read while a request is being handled, so it would not notice that the
    // client has gone.
    connection.peerClosed.reset(event_new(m_loop.base(), connection.socket, EV_CLOSED | EV_PERSIST,
                                          &standin_listener::onPeerClosed, &connection));
    event_add(connection.peerClosed.get(), nullptr);
}

void standin_listener::onHttpRequest(evhttp_request *req, void *arg)
{
    auto *self = static_cast<standin_listener *>(arg);
    evhttp_connection *http = evhttp_request_get_connection(req);
    const auto it = self->m_connections.find(evhttp_connection_get_bufferevent(http));
    if (it == self->m_connections.end()) {
        evhttp_connection_free(http);
        return;
    }
    standin_connection &connection = *it->second;
    if (connection.http == nullptr)
        self->attach(connection, http);
    self->m_onRequest(req, connection);
}

void standin_listener::onHttpClosed(evhttp_connection *http, void *arg)
{
    auto *self = static_cast<standin_listener *>(arg);
    const auto it = self->m_connections.find(evhttp_connection_get_bufferevent(http));
    if (it == self->m_connections.end())
        return;
    const auto connection = std::move(it->second);
    self->m_connections.erase(it);
    if (connection->pending != nullptr)
        self->m_onGone(*connection);
}

void standin_listener::onPeerClosed(int, short, void *arg)
{
    auto *connection = static_cast<standin_connection *>(arg);
    if (connection->pending != nullptr)
        evhttp_connection_free(connection->http);
}

} // namespace peridotwheel
