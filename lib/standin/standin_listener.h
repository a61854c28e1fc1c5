#ifndef PERIDOTWHEEL_LIB_STANDIN_STANDIN_LISTENER_H
#define PERIDOTWHEEL_LIB_STANDIN_STANDIN_LISTENER_H

#include "peridotwheel/http/http_message.h"
#include "peridotwheel/support/error.h"
#include "peridotwheel/support/libevent_ptr.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <sys/types.h>
#include <unordered_map>

struct bufferevent;
struct evhttp_bound_socket;
struct evhttp_request;

namespace peridotwheel {

class libevent_loop;

/// One accepted connection. `evhttp` tells of it only with its first request.
struct standin_connection
{
    bufferevent *stream = nullptr;
    int socket = -1;
    ino_t inode = 0; ///< Tells a closed socket from another one that reuses its number.
    evhttp_connection *http = nullptr;
    event_ptr peerClosed;
    /// The work that waits for a reply, owned by the request hook's owner; null if none.
    void *pending = nullptr;
};

/// An evhttp listener that limits all open connections, including those that have sent nothing, and
/// closes further ones at once. It works on evhttp requests directly: stand-ins must be cheaper
/// than the instances that they measure.
class standin_listener
{
public:
    using request_handler = std::function<void(evhttp_request *, standin_connection &)>;
    /// Called when a connection with `pending` set has closed; its request is freed.
    using gone_handler = std::function<void(standin_connection &)>;

    standin_listener(libevent_loop &loop, std::size_t limit, request_handler onRequest,
                     gone_handler onGone);
    standin_listener(const standin_listener &) = delete;
    standin_listener &operator=(const standin_listener &) = delete;
    ~standin_listener();

    /// Port 0 lets the system choose; returns the address with the port in use.
    result<endpoint> listen(const endpoint &at);
    /// Closes the listening socket and every connection.
    void close();
    /// Closes one connection; with \p reset the peer sees a reset instead of an orderly end.
    static void drop(standin_connection &connection, bool reset);

    std::size_t open();
    std::size_t peak() const { return m_peak; }
    std::size_t refused() const { return m_refused; }

private:
    static bufferevent *onAccept(event_base *base, void *arg);
    static void onHttpRequest(evhttp_request *req, void *arg);
    static void onHttpClosed(evhttp_connection *connection, void *arg);
    static void onPeerClosed(int, short, void *arg);

    void admit(bufferevent *stream);
    void attach(standin_connection &connection, evhttp_connection *http);
    void forgetClosed();

    libevent_loop &m_loop;
    std::size_t m_limit;
    request_handler m_onRequest;
    gone_handler m_onGone;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    evhttp_ptr m_http;
    evhttp_bound_socket *m_bound = nullptr;
    std::unordered_map<bufferevent *, std::unique_ptr<standin_connection>> m_connections;
    std::size_t m_peak = 0;
    std::size_t m_refused = 0;
};

} // namespace peridotwheel

#endif
