#include "peridotwheel/http/stream_server.h"

#include "peridotwheel/http/client_memory.h"
#include "peridotwheel/http/socket_stream.h"
#include "peridotwheel/support/libevent_loop.h"
#include "peridotwheel/support/unique_fd.h"
#include "reply_text.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <event2/event.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unordered_map>
#include <vector>

namespace peridotwheel {

namespace {

constexpr int listenBacklog = 512;
/// Interval at which timeouts are checked, and so the longest time by which a connection exceeds
/// them.
constexpr duration sweepInterval = milliseconds(250);
/// Once more bytes of pipelined requests are buffered while one is being answered, reading stops.
constexpr std::size_t maxReadAheadBytes = 64 * 1024;
/// A larger buffer for arriving requests is freed as soon as it is empty; most requests fit.
constexpr std::size_t keptReadAheadBytes = 4 * 1024;
/// Time for which a connection stays open after its last reply was handed to the kernel, so that
/// the client can read it.
constexpr duration lingerTimeout = seconds(1);

/// Time within which the first request of a new connection arrives. After accepting has ended, a
/// younger connection stays open for it.
constexpr duration firstRequestTimeout = milliseconds(300);
/// Delay before accepting again after descriptors or memory have run out.
constexpr duration acceptRetryDelay = milliseconds(50);

class connection;
using connection_ptr = std::shared_ptr<connection>;

/// State that connections share with their server.
struct server_state
{
    libevent_loop &loop;
    std::function<stream_limits()> limits;
    exchange_hook onRequest;
    /// Null if clients may use any amount of memory.
    std::shared_ptr<client_memory> memory;
    std::unordered_map<connection *, connection_ptr> connections;
    std::size_t inFlight = 0;
    bool draining = false;
    bool acceptingEnded = false;
};

using state_ptr = std::shared_ptr<server_state>;

class pending_exchange;

class connection : public std::enable_shared_from_this<connection>
{
public:
    connection(state_ptr state, unique_fd fd);

    void sweep(time_point now);
    void closeIfIdle();
    void reply(const http_reply &r, bool keepAlive, bool isHead);
    void setPartBytes(std::size_t bytes);
    void remove();

private:
    void onData(std::string_view data);
    void onEnd();
    void onSent();
    /// Returns whether the next request has to wait: a request is being answered, or its reply has
    /// not been handed to the kernel. Otherwise a client that reads nothing could have any number
    /// of replies buffered.
    bool isOccupied() const { return m_busy || !m_stream.isDrained(); }
    void startNextRequest();
    std::size_t heldBytes() const;
    void enterPhase(client_phase phase);
    void updateHeldBytes(std::size_t moved);
    void releaseMemory();
    void disconnectForRoom();
    void readMessages();
    void refuseInvalidMessage();
    void start();
    void refuse(int status, const char *text);
    void linger();
    void noteSendProgress(time_point now);

    state_ptr m_state;
    message_parser m_parser;
    std::string m_readAhead;
    std::weak_ptr<pending_exchange> m_exchange;
    bool m_busy = false;
    bool m_lingering = false;
    bool m_continueSent = false;
    bool m_hadRequest = false;
    /// Whether this connection was removed, or will be, so that no further request may start.
    bool m_isClosed = false;
    /// Memory of the request that is being answered, and of the parts of its reply.
    std::size_t m_requestBytes = 0;
    std::size_t m_partBytes = 0;
    time_point m_openedAt;
    /// Start of the present phase of the connection, or the latest progress in sending a reply.
    time_point m_phaseStart;
    std::size_t m_unsentBytes = 0;
    duration m_idleTimeout;
    socket_stream m_stream;
    /// Null if the server has no limit.
    std::unique_ptr<client_memory::holder> m_held;
};

class pending_exchange : public http_responder
{
public:
    pending_exchange(state_ptr state, const connection_ptr &at, const opaque_request &request)
        : m_state(std::move(state))
        , m_connection(at)
        , m_keepAlive(request.keepAlive)
        , m_isHead(request.method == "HEAD")
    {
        ++m_state->inFlight;
    }

    ~pending_exchange() override
    {
        // Every request gets a reply, even if its handler released the responder without one.
        if (!m_finished)
            reply({500, {}, "internal error: no reply; the request may have run\n"});
    }

    void reply(const http_reply &r) override
    {
        if (m_finished)
            return;
        finish();
        if (const auto at = m_connection.lock())
            at->reply(r, m_keepAlive && !m_state->draining, m_isHead);
    }

    void onClientDisconnected(std::function<void()> hook) override
    {
        m_onClientDisconnected = std::move(hook);
    }

    void setPartBytes(std::size_t bytes) override
    {
        if (m_finished)
            return;
        if (const auto at = m_connection.lock())
            at->setPartBytes(bytes);
    }

    void drop() override
    {
        if (m_finished)
            return;
        finish();
        if (const auto at = m_connection.lock())
            at->remove();
    }

    void notifyClientDisconnected()
    {
        if (m_finished)
            return;
        const auto hook = std::move(m_onClientDisconnected);
        finish();
        if (hook)
            hook();
    }

private:
    void finish()
    {
        m_finished = true;
        m_onClientDisconnected = nullptr;
        --m_state->inFlight;
    }

    state_ptr m_state;
    std::weak_ptr<connection> m_connection;
    std::function<void()> m_onClientDisconnected;
    bool m_keepAlive;
    bool m_isHead;
    bool m_finished = false;
};

connection::connection(state_ptr state, unique_fd fd)
    : m_state(std::move(state))
    , m_parser(message_parser::role::Request)
    , m_openedAt(m_state->loop.now())
    , m_phaseStart(m_openedAt)
    , m_idleTimeout(m_state->limits().idleTimeout)
    , m_stream(m_state->loop, std::move(fd),
               {nullptr, [this](std::string_view data) { onData(data); },
                [this](stream_end) { onEnd(); }, [this] { onSent(); }})
{
    if (!m_state->memory)
        return;
    m_held = std::make_unique<client_memory::holder>(
            *m_state->memory,
            client_memory::holder_hooks{[this] { releaseMemory(); },
                                        [this] { disconnectForRoom(); }},
            m_openedAt);
}

void connection::remove()
{
    m_isClosed = true;
    m_held.reset();
    m_state->connections.erase(this);
}

void connection::onEnd()
{
    const auto self = shared_from_this();
    if (const auto e = m_exchange.lock())
        e->notifyClientDisconnected();
    remove();
}

std::size_t connection::heldBytes() const
{
    return m_parser.heldBytes() + m_readAhead.capacity() + m_stream.unsentBytes() + m_requestBytes +
           m_partBytes;
}

void connection::enterPhase(client_phase phase)
{
    if (m_held)
        m_held->enter(phase, heldBytes(), m_state->loop.now());
}

void connection::updateHeldBytes(std::size_t moved)
{
    if (m_held)
        m_held->update(heldBytes(), moved, m_state->loop.now());
}

void connection::setPartBytes(std::size_t bytes)
{
    if (m_isClosed)
        return;
    m_partBytes = bytes;
    updateHeldBytes(0);
}

void connection::releaseMemory()
{
    m_isClosed = true;
    m_stream.setReading(false);
    m_stream.discardUnsent();
    m_readAhead = std::string();
    m_requestBytes = 0;
    m_partBytes = 0;
    m_parser.reset();
    m_state->loop.post([self = shared_from_this()] {
        if (const auto e = self->m_exchange.lock())
            e->notifyClientDisconnected();
        self->remove();
    });
}

void connection::disconnectForRoom()
{
    const auto self = shared_from_this();
    const client_phase before = m_held->phase();
    if (before == client_phase::Fresh || before == client_phase::Idle) {
        // A request that has arrived must not be cut off.
        m_stream.readPending();
        if (!m_held || m_held->phase() != before || !m_readAhead.empty())
            return;
    }
    remove();
}

void connection::onSent()
{
    const auto self = shared_from_this();
    noteSendProgress(m_state->loop.now());
    if (m_isClosed || m_busy || !m_stream.isDrained())
        return;
    m_phaseStart = m_state->loop.now();
    enterPhase(m_lingering ? client_phase::Closing : client_phase::Idle);
    if (!m_lingering)
        startNextRequest();
}

void connection::startNextRequest()
{
    m_stream.setReading(true);
    if (m_readAhead.empty())
        return;
    // Posted rather than called, since the caller of `reply` has not returned yet.
    m_state->loop.post([self = shared_from_this()] { self->readMessages(); });
}

void connection::onData(std::string_view data)
{
    if (m_lingering || m_isClosed)
        return;
    const auto self = shared_from_this();
    m_readAhead.append(data);
    if (m_readAhead.size() > maxReadAheadBytes && isOccupied())
        m_stream.setReading(false);
    if (isOccupied())
        updateHeldBytes(0);
    else
        readMessages();
}

void connection::readMessages()
{
    while (!isOccupied() && !m_lingering && !m_isClosed && !m_readAhead.empty()) {
        if (m_parser.state() == message_parser::parse_state::Empty) {
            m_phaseStart = m_state->loop.now();
            m_parser.setLimits(m_state->limits().message);
        }
        const std::size_t used = m_parser.feed(m_readAhead.data(), m_readAhead.size());
        m_readAhead.erase(0, used);
        if (m_readAhead.empty() && m_readAhead.capacity() > keptReadAheadBytes)
            m_readAhead = std::string();
        switch (m_parser.state()) {
        case message_parser::parse_state::Complete:
            start();
            break;
        case message_parser::parse_state::Empty:
        case message_parser::parse_state::Incomplete:
            if (!m_continueSent && m_parser.expectsContinue()) {
                m_continueSent = true;
                m_stream.write("HTTP/1.1 100 Continue\r\n\r\n");
            }
            if (m_held && m_held->phase() != client_phase::Receiving)
                enterPhase(client_phase::Receiving);
            else
                updateHeldBytes(used);
            return;
        default:
            refuseInvalidMessage();
            return;
        }
    }
}

void connection::refuseInvalidMessage()
{
    switch (m_parser.state()) {
    case message_parser::parse_state::HeaderTooLarge:
        return refuse(431, "the header is longer than the configuration allows; send less\n");
    case message_parser::parse_state::BodyTooLarge:
        return refuse(413, "the body is longer than the configuration allows; send less\n");
    default:
        return refuse(400, "the request is not valid HTTP/1.1; correct it\n");
    }
}

void connection::refuse(int status, const char *text)
{
    reply({status, {{"Content-Type", "text/plain"}}, text}, false, false);
}

void connection::start()
{
    m_requestBytes = m_parser.heldBytes();
    opaque_request request = m_parser.takeRequest();
    m_busy = true;
    m_hadRequest = true;
    m_continueSent = false;
    auto e = std::make_shared<pending_exchange>(m_state, shared_from_this(), request);
    m_exchange = e;
    if (m_state->memory && !m_state->memory->admit(m_requestBytes)) {
        e->reply({503,
                  {{"Content-Type", "text/plain"}, {"Retry-After", "1"}},
                  "requests in progress take all memory here; not run, try again\n"});
        return;
    }
    enterPhase(client_phase::Running);
    if (m_isClosed)
        return;
    m_state->onRequest(std::move(request), std::move(e));
}

void connection::reply(const http_reply &r, bool keepAlive, bool isHead)
{
    const auto self = shared_from_this();
    if (m_isClosed)
        return;
    m_stream.write(replyText(r, keepAlive, isHead));
    m_unsentBytes = m_stream.unsentBytes();
    m_busy = false;
    m_requestBytes = 0;
    m_partBytes = 0;
    m_phaseStart = m_state->loop.now();
    // The client may rely on the timeout that was in force when it became idle.
    m_idleTimeout = m_state->limits().idleTimeout;
    if (!keepAlive)
        linger();
    const client_phase drained = keepAlive ? client_phase::Idle : client_phase::Closing;
    enterPhase(m_stream.isDrained() ? drained : client_phase::Sending);
    if (!m_lingering && !m_isClosed && m_stream.isDrained())
        startNextRequest();
}

void connection::linger()
{
    // Closing a socket with unread bytes resets the connection, and the reply could be lost.
    m_lingering = true;
    m_readAhead = std::string();
    m_stream.finishWriting();
}

void connection::closeIfIdle()
{
    const auto self = shared_from_this();
    const bool mayBeIdle = !m_busy && !m_lingering && m_readAhead.size() <= maxReadAheadBytes;
    if (mayBeIdle)
        m_stream.readPending();
    const bool awaitsFirstRequest =
            !m_hadRequest && m_state->loop.now() - m_openedAt < firstRequestTimeout;
    const bool isIdle = !m_busy && m_parser.state() == message_parser::parse_state::Empty;
    if (isIdle && m_readAhead.empty() && !m_lingering && !awaitsFirstRequest) {
        linger();
        enterPhase(m_stream.isDrained() ? client_phase::Closing : client_phase::Sending);
    }
}

void connection::noteSendProgress(time_point now)
{
    const std::size_t before = m_unsentBytes;
    m_unsentBytes = m_stream.unsentBytes();
    if (m_unsentBytes >= before)
        return;
    m_phaseStart = now;
    updateHeldBytes(before - m_unsentBytes);
}

void connection::sweep(time_point now)
{
    const auto self = shared_from_this();
    noteSendProgress(now);
    if (m_isClosed)
        return;
    if (m_lingering) {
        const duration timeout = m_stream.isDrained() ? lingerTimeout : m_idleTimeout;
        if (now - m_phaseStart >= timeout)
            remove();
        return;
    }
    if (m_busy)
        return;
    if (m_state->acceptingEnded)
        closeIfIdle();
    if (m_lingering)
        return;
    if (m_parser.state() == message_parser::parse_state::Empty) {
        // The timeout may have been raised since the client became idle, so the longer one applies.
        if (now - m_phaseStart >= std::max(m_idleTimeout, m_state->limits().idleTimeout))
            remove();
        return;
    }
    const bool slowHeader =
            !m_parser.headersComplete() && now - m_phaseStart >= m_state->limits().headerTimeout;
    const bool slowBody = now - m_phaseStart >= m_state->limits().idleTimeout;
    if (slowHeader || slowBody)
        refuse(408, "the request did not arrive in time; not run, send it again\n");
}

} // namespace

class stream_server::impl
{
public:
    impl(libevent_loop &loop, std::function<stream_limits()> limits, exchange_hook onRequest,
         std::shared_ptr<client_memory> memory)
        : m_state(std::make_shared<server_state>(server_state{
                  loop, std::move(limits), std::move(onRequest), std::move(memory), {}}))
    {
        scheduleSweep();
    }

    ~impl()
    {
        m_state->onRequest = [](const opaque_request &, const std::shared_ptr<http_responder> &) {};
        m_state->connections.clear();
    }

    result<void> listen(const endpoint &at);
    void stopAccepting();

    state_ptr state() const { return m_state; }
    std::uint16_t port() const { return m_port; }

private:
    void onAcceptable();
    void pauseAccepting();
    void scheduleSweep();

    state_ptr m_state;
    unique_fd m_listener;
    event_ptr m_acceptable;
    std::uint16_t m_port = 0;
    timer m_sweep;
    timer m_acceptRetry;
};

result<void> stream_server::impl::listen(const endpoint &at)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(at.port);
    unique_fd fd(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    const int on = 1;
    const bool isOpen =
            fd && inet_pton(AF_INET, at.address.c_str(), &address.sin_addr) == 1 &&
            setsockopt(fd.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) == 0 &&
            bind(fd.get(), reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0 &&
            ::listen(fd.get(), listenBacklog) == 0;
    if (!isOpen) {
        return failure(error_kind::Unavailable,
                       "cannot listen on " + at.address + ":" + std::to_string(at.port) +
                               "; check that the address is this machine's and the port is free");
    }
    socklen_t size = sizeof address;
    getsockname(fd.get(), reinterpret_cast<sockaddr *>(&address), &size);
    m_port = ntohs(address.sin_port);
    m_listener = std::move(fd);
    const auto acceptable = [](evutil_socket_t, short, void *self) {
        static_cast<impl *>(self)->onAcceptable();
    };
    m_acceptable.reset(event_new(m_state->loop.base(), m_listener.get(), EV_READ | EV_PERSIST,
                                 acceptable, this));
    event_add(m_acceptable.get(), nullptr);
    return success();
}

void stream_server::impl::onAcceptable()
{
    for (;;) {
        unique_fd fd(accept4(m_listener.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
        if (!fd) {
            if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM)
                pauseAccepting();
            return;
        }
        if (m_state->memory && !m_state->memory->makeRoom(m_state->loop.now()))
            continue;
        auto c = std::make_shared<connection>(m_state, std::move(fd));
        m_state->connections.emplace(c.get(), c);
    }
}

void stream_server::impl::pauseAccepting()
{
    // Without descriptors or memory, accepting any of the waiting connections would fail at once.
    event_del(m_acceptable.get());
    m_acceptRetry = m_state->loop.schedule(acceptRetryDelay, [this] {
        if (m_acceptable)
            event_add(m_acceptable.get(), nullptr);
    });
}

void stream_server::impl::stopAccepting()
{
    // Connections that wait to be accepted may hold requests, which closing the listener would cut
    // off.
    if (m_listener)
        onAcceptable();
    m_acceptable.reset();
    m_listener.reset();
    m_state->draining = true;
    m_state->acceptingEnded = true;
    std::vector<connection_ptr> open;
    for (const auto &[key, c] : m_state->connections)
        open.push_back(c);
    for (const auto &c : open)
        c->closeIfIdle();
}

void stream_server::impl::scheduleSweep()
{
    m_sweep = m_state->loop.schedule(sweepInterval, [this] {
        std::vector<connection_ptr> open;
        open.reserve(m_state->connections.size());
        for (const auto &[key, c] : m_state->connections)
            open.push_back(c);
        const time_point now = m_state->loop.now();
        for (const auto &c : open)
            c->sweep(now);
        scheduleSweep();
    });
}

stream_server::stream_server(libevent_loop &loop, std::function<stream_limits()> limits,
                             exchange_hook onRequest, std::shared_ptr<client_memory> memory)
    : m_impl(std::make_unique<impl>(loop, std::move(limits), std::move(onRequest),
                                    std::move(memory)))
{
}

stream_server::~stream_server() = default;

result<void> stream_server::listen(const endpoint &at)
{
    return m_impl->listen(at);
}

std::uint16_t stream_server::boundPort() const
{
    return m_impl->port();
}

void stream_server::beginDrain()
{
    m_impl->state()->draining = true;
}

void stream_server::stopAccepting()
{
    m_impl->stopAccepting();
}

std::size_t stream_server::openConnections() const
{
    return m_impl->state()->connections.size();
}

std::size_t stream_server::requestsInFlight() const
{
    return m_impl->state()->inFlight;
}

} // namespace peridotwheel
