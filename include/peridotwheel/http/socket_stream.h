#ifndef PERIDOTWHEEL_HTTP_SOCKET_STREAM_H
#define PERIDOTWHEEL_HTTP_SOCKET_STREAM_H

#include "peridotwheel/http/http_message.h"
#include "peridotwheel/support/libevent_ptr.h"
#include "peridotwheel/support/unique_fd.h"

#include <functional>
#include <string>
#include <string_view>

namespace peridotwheel {

class libevent_loop;

enum class stream_end {
    Closed,  ///< The peer closed the connection in an orderly way.
    Broken,  ///< The connection was reset, timed out, or could not be opened.
    Refused, ///< Nothing listens at the address.
};

/// Whether TCP keepalive probes are sent on an idle connection, so that an unreachable peer is
/// detected during a long wait for a reply.
enum class tcp_keepalive { Off, On };

/// Callbacks of a stream to its owner. A hook may destroy the stream.
struct stream_hooks
{
    std::function<void()> onConnected;
    std::function<void(std::string_view)> onData;
    std::function<void(stream_end)> onEnd;
    /// Called when the event loop has handed buffered data to the kernel.
    std::function<void()> onSent;
};

/// A TCP connection. A write goes to the socket at once as far as its send buffer has room; the
/// rest is buffered.
class socket_stream
{
public:
    /// Takes ownership of an accepted connection.
    socket_stream(libevent_loop &loop, unique_fd fd, stream_hooks hooks);
    /// Starts to open a connection. `onConnected` or `onEnd` reports the result.
    socket_stream(libevent_loop &loop, const endpoint &to, tcp_keepalive keepalive,
                  stream_hooks hooks);
    socket_stream(const socket_stream &) = delete;
    socket_stream &operator=(const socket_stream &) = delete;
    ~socket_stream();

    void write(std::string_view data);
    bool isConnected() const { return m_connected; }
    /// Returns true if all written data has been handed to the kernel.
    bool isDrained() const { return m_unsent.empty(); }
    /// Returns how much written data has not been handed to the kernel yet.
    std::size_t unsentBytes() const { return m_unsent.size(); }
    /// Discards what has not been handed to the kernel, for a connection that is about to close.
    void discardUnsent();
    /// Starts or stops reading. While reading is stopped, TCP flow control holds back a peer that
    /// sends too much, and its close is not detected.
    void setReading(bool reading);
    /// Reads what has arrived, without waiting for the event loop to report it.
    void readPending();
    /// Shuts down the sending direction once all buffered data has been written.
    void finishWriting();

private:
    void watchRead();
    void onReadable();
    void onWritable();
    /// Returns false if the connection is broken.
    bool flush();
    void end(stream_end how);

    libevent_loop &m_loop;
    unique_fd m_fd;
    stream_hooks m_hooks;
    event_ptr m_readEvent;
    event_ptr m_writeEvent;
    std::string m_unsent;
    bool m_connected = false;
    bool m_isReading = true;
    bool m_shutdownAfterFlush = false;
    bool m_ended = false;
};

} // namespace peridotwheel

#endif
