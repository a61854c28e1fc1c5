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
    Closed, ///< The peer has closed the connection in order.
    Broken, ///< Reset, timed out, or never opened.
};

/// Whether the system probes a connection on which nothing is sent, so that a silent peer is
/// noticed while an answer is awaited for long.
enum class tcp_keepalive { Off, On };

/// What the owner of a stream is told. A hook may destroy the stream.
struct stream_hooks
{
    std::function<void()> onConnected;
    std::function<void(std::string_view)> onData;
    std::function<void(stream_end)> onEnd;
};

/// A TCP connection. Writes go to the socket at once as far as it takes them.
class socket_stream
{
public:
    /// Takes over an accepted connection.
    socket_stream(libevent_loop &loop, unique_fd fd, stream_hooks hooks);
    /// Opens a connection; `onConnected` or `onEnd` follows.
    socket_stream(libevent_loop &loop, const endpoint &to, tcp_keepalive keepalive,
                  stream_hooks hooks);
    socket_stream(const socket_stream &) = delete;
    socket_stream &operator=(const socket_stream &) = delete;
    ~socket_stream();

    void write(std::string_view data);
    bool isConnected() const { return m_connected; }
    /// Whether all that was written has been handed to the system.
    bool isDrained() const { return m_unsent.empty(); }
    /// Stops reading, so that a peer that sends too much has to wait; its close is not seen then.
    void setReading(bool reading);
    /// Sends the end of the stream once everything is written.
    void finishWriting();

private:
    void watchRead();
    void onReadable();
    void onWritable();
    void flush();
    void end(stream_end how);

    libevent_loop &m_loop;
    unique_fd m_fd;
    stream_hooks m_hooks;
    event_ptr m_readEvent;
    event_ptr m_writeEvent;
    std::string m_unsent;
    bool m_connected = false;
    bool m_shutdownAfterFlush = false;
    bool m_ended = false;
};

} // namespace peridotwheel

#endif
