#ifndef PERIDOTWHEEL_HTTP_CONNECTION_TABLE_H
#define PERIDOTWHEEL_HTTP_CONNECTION_TABLE_H

#include "peridotwheel/http/client_memory.h"
#include "peridotwheel/support/units.h"

#include <cstddef>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <unordered_map>

struct bufferevent;

namespace peridotwheel {

/// Tracks the open connections of one listener from the time they are accepted.
///
/// evhttp has no callback for accepting a connection or for freeing an idle one. The table
/// therefore holds a reference to the bufferevent of each connection, and detects that evhttp has
/// freed the connection by the callbacks that evhttp removed from it.
///
/// With a `client_memory`, the table tells it what each connection holds: the unsent part of a
/// reply, and what was received beyond the request in progress.
class connection_table
{
public:
    /// \p memory may be null. \p disconnectLater must call `disconnect` after the current callback,
    /// which may be one of the connection itself.
    connection_table(std::size_t maxConnections, duration idleTimeout,
                     std::shared_ptr<client_memory> memory,
                     std::function<void(bufferevent *)> disconnectLater)
        : m_max(maxConnections)
        , m_idleTimeout(idleTimeout)
        , m_memory(std::move(memory))
        , m_disconnectLater(std::move(disconnectLater))
    {
    }
    connection_table(const connection_table &) = delete;
    connection_table &operator=(const connection_table &) = delete;
    ~connection_table();

    /// Releases all references. Must be called before the event base is destroyed.
    void clear();

    /// Adds a new connection, which counts as idle. If the limit is reached, closes the connection
    /// that has been idle for longest. If none is idle, a later `sweep` closes the new connection
    /// unless it carries a request by then.
    void add(bufferevent *connection, time_point now);
    /// Marks a connection as carrying a request. The table does not close it until `markIdle`.
    void markBusy(bufferevent *connection, time_point now);
    void markIdle(bufferevent *connection, time_point now);

    /// Reports to the client memory what the connection holds now.
    void updateMemory(bufferevent *connection, time_point now);
    /// The same for all connections; also frees the memory of those that are closed.
    void updateMemory(time_point now);
    /// Closes a connection that the client memory has dropped, if it is still open.
    void disconnect(bufferevent *connection);

    /// Removes connections that evhttp has closed, and closes those that exceed the idle timeout or
    /// the connection limit, longest idle first.
    void sweep(time_point now);

    /// Returns the number of connections that are open and not being closed.
    std::size_t open() const { return m_records.size() - m_closing; }

private:
    struct record
    {
        time_point idleSince;
        bool busy = false;
        bool closing = false;
        std::optional<client_memory::holder> holder;
        std::size_t heldBytes = 0;
        /// Position in `m_idle`; valid only if neither busy nor closing.
        std::list<bufferevent *>::iterator position;
    };

    void closeOldestIdle();
    void close(bufferevent *connection, record &r);
    void removeReleased();
    void updateMemory(bufferevent *connection, record &r, time_point now);

    std::size_t m_max;
    duration m_idleTimeout;
    std::shared_ptr<client_memory> m_memory;
    std::function<void(bufferevent *)> m_disconnectLater;
    std::unordered_map<bufferevent *, record> m_records;
    std::list<bufferevent *> m_idle; // longest idle first
    std::size_t m_closing = 0;
    time_point m_lastSweep{};
};

} // namespace peridotwheel

#endif
