#include "peridotwheel/http/socket_stream.h"

#include "peridotwheel/support/libevent_loop.h"

#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <event2/event.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace peridotwheel {

namespace {

/// Bytes read by one call; most messages fit into it.
constexpr std::size_t readChunkBytes = 16 * 1024;
/// A peer that lost power or is unreachable sends nothing, not even a reset. A connection opened
/// here is closed after about this time with unacknowledged data and, with keepalive, after about
/// the same idle time without an answer to the probes. The limit is below the time within which a
/// configuration change must take effect. It does not apply to accepted connections, since it also
/// ends a connection whose peer only does not read for a while.
constexpr int tcpUserTimeoutMs = 2000;
constexpr int tcpKeepaliveIdleSeconds = 1;
constexpr int tcpKeepaliveIntervalSeconds = 1;
constexpr int tcpKeepaliveProbes = 2;

void setOption(int fd, int level, int option, int value)
{
    // Without the option, latency is higher or a lost peer is detected later, but nothing is
    // incorrect.
    static_cast<void>(setsockopt(fd, level, option, &value, sizeof value));
}

void sendWithoutDelay(int fd)
{
    setOption(fd, IPPROTO_TCP, TCP_NODELAY, 1);
}

void enableTcpKeepalive(int fd)
{
    setOption(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(fd, IPPROTO_TCP, TCP_KEEPIDLE, tcpKeepaliveIdleSeconds);
    setOption(fd, IPPROTO_TCP, TCP_KEEPINTVL, tcpKeepaliveIntervalSeconds);
    setOption(fd, IPPROTO_TCP, TCP_KEEPCNT, tcpKeepaliveProbes);
}

/// Returns the size of the address, or 0 if \p from is not a numeric IP address.
socklen_t fillAddress(const endpoint &from, sockaddr_storage &out)
{
    auto &v4 = reinterpret_cast<sockaddr_in &>(out);
    if (inet_pton(AF_INET, from.address.c_str(), &v4.sin_addr) == 1) {
        v4.sin_family = AF_INET;
        v4.sin_port = htons(from.port);
        return sizeof v4;
    }
    auto &v6 = reinterpret_cast<sockaddr_in6 &>(out);
    if (inet_pton(AF_INET6, from.address.c_str(), &v6.sin6_addr) == 1) {
        v6.sin6_family = AF_INET6;
        v6.sin6_port = htons(from.port);
        return sizeof v6;
    }
    return 0;
}

unique_fd startConnecting(const endpoint &to, tcp_keepalive keepalive)
{
    sockaddr_storage address{};
    const socklen_t size = fillAddress(to, address);
    if (size == 0)
        return {};
    unique_fd fd(socket(address.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (!fd)
        return {};
    sendWithoutDelay(fd.get());
    setOption(fd.get(), IPPROTO_TCP, TCP_USER_TIMEOUT, tcpUserTimeoutMs);
    if (keepalive == tcp_keepalive::On)
        enableTcpKeepalive(fd.get());
    const int rc = connect(fd.get(), reinterpret_cast<const sockaddr *>(&address), size);
    if (rc != 0 && errno != EINPROGRESS)
        return {};
    return fd;
}

bool isTemporary(int code)
{
    return code == EAGAIN || code == EINTR;
}

} // namespace

socket_stream::socket_stream(libevent_loop &loop, unique_fd fd, stream_hooks hooks)
    : m_loop(loop)
    , m_fd(std::move(fd))
    , m_hooks(std::move(hooks))
    , m_connected(true)
{
    sendWithoutDelay(m_fd.get());
    watchRead();
}

socket_stream::socket_stream(libevent_loop &loop, const endpoint &to, tcp_keepalive keepalive,
                             stream_hooks hooks)
    : m_loop(loop)
    , m_fd(startConnecting(to, keepalive))
    , m_hooks(std::move(hooks))
{
    const auto writable = [](evutil_socket_t, short, void *self) {
        static_cast<socket_stream *>(self)->onWritable();
    };
    // Without a descriptor, the event only serves to report the failure from the event loop.
    const int fd = m_fd ? m_fd.get() : -1;
    m_writeEvent.reset(event_new(m_loop.base(), fd, m_fd ? EV_WRITE : 0, writable, this));
    if (m_fd)
        event_add(m_writeEvent.get(), nullptr);
    else
        event_active(m_writeEvent.get(), EV_WRITE, 0);
}

socket_stream::~socket_stream() = default;

void socket_stream::watchRead()
{
    const auto readable = [](evutil_socket_t, short, void *self) {
        static_cast<socket_stream *>(self)->onReadable();
    };
    m_readEvent.reset(event_new(m_loop.base(), m_fd.get(), EV_READ | EV_PERSIST, readable, this));
    event_add(m_readEvent.get(), nullptr);
}

void socket_stream::setReading(bool reading)
{
    if (!m_readEvent || m_ended)
        return;
    m_isReading = reading;
    if (reading)
        event_add(m_readEvent.get(), nullptr);
    else
        event_del(m_readEvent.get());
}

void socket_stream::readPending()
{
    if (m_connected && !m_ended)
        onReadable();
}

void socket_stream::onReadable()
{
    std::array<char, readChunkBytes> readBuffer;
    const ssize_t got = recv(m_fd.get(), readBuffer.data(), readBuffer.size(), 0);
    if (got > 0) {
        // The hook may destroy this stream, so a copy of it is called.
        const auto hook = m_hooks.onData;
        hook(std::string_view(readBuffer.data(), static_cast<std::size_t>(got)));
        return;
    }
    if (got < 0 && isTemporary(errno))
        return;
    end(got == 0 ? stream_end::Closed : stream_end::Broken);
}

void socket_stream::onWritable()
{
    if (!m_fd)
        return end(stream_end::Broken);
    if (m_connected) {
        if (!flush()) {
            // Otherwise the next read fails, after it has delivered what arrived before.
            if (!m_isReading)
                end(stream_end::Broken);
            return;
        }
        if (const auto hook = m_hooks.onSent)
            hook();
        return;
    }
    int problem = 0;
    socklen_t size = sizeof problem;
    if (getsockopt(m_fd.get(), SOL_SOCKET, SO_ERROR, &problem, &size) != 0 || problem != 0)
        return end(problem == ECONNREFUSED ? stream_end::Refused : stream_end::Broken);
    m_connected = true;
    watchRead();
    if (!m_unsent.empty())
        flush();
    if (const auto hook = m_hooks.onConnected)
        hook();
}

void socket_stream::write(std::string_view data)
{
    if (m_ended)
        return;
    const bool mustQueue = !m_connected || !m_unsent.empty();
    if (mustQueue) {
        m_unsent.append(data);
        return;
    }
    const ssize_t sent = send(m_fd.get(), data.data(), data.size(), MSG_NOSIGNAL);
    // A broken connection also fails the next read, which calls `onEnd`.
    if (sent < 0 && !isTemporary(errno))
        return;
    const std::size_t taken = sent < 0 ? 0 : static_cast<std::size_t>(sent);
    if (taken == data.size())
        return;
    m_unsent.assign(data.substr(taken));
    flush();
}

void socket_stream::discardUnsent()
{
    m_unsent = std::string();
    if (m_writeEvent)
        event_del(m_writeEvent.get());
}

bool socket_stream::flush()
{
    if (!m_writeEvent) {
        const auto writable = [](evutil_socket_t, short, void *self) {
            static_cast<socket_stream *>(self)->onWritable();
        };
        m_writeEvent.reset(event_new(m_loop.base(), m_fd.get(), EV_WRITE, writable, this));
    }
    const ssize_t sent = send(m_fd.get(), m_unsent.data(), m_unsent.size(), MSG_NOSIGNAL);
    if (sent < 0 && !isTemporary(errno)) {
        m_unsent = std::string();
        return false;
    }
    if (sent > 0)
        m_unsent.erase(0, static_cast<std::size_t>(sent));
    if (!m_unsent.empty()) {
        event_add(m_writeEvent.get(), nullptr);
        return true;
    }
    // Frees the buffer, which a long reply has made large.
    m_unsent = std::string();
    if (m_shutdownAfterFlush)
        shutdown(m_fd.get(), SHUT_WR);
    return true;
}

void socket_stream::finishWriting()
{
    m_shutdownAfterFlush = true;
    if (m_connected && m_unsent.empty())
        shutdown(m_fd.get(), SHUT_WR);
}

void socket_stream::end(stream_end how)
{
    if (m_ended)
        return;
    m_ended = true;
    if (m_readEvent)
        event_del(m_readEvent.get());
    // The hook may destroy this stream, so no member is accessed after the call.
    const auto hook = std::move(m_hooks.onEnd);
    hook(how);
}

} // namespace peridotwheel
