#ifndef PERIDOTWHEEL_HTTP_CONNECTION_TABLE_H
#define PERIDOTWHEEL_HTTP_CONNECTION_TABLE_H

#include "peridotwheel/support/units.h"

#include <cstddef>
#include <list>
#include <unordered_map>

struct bufferevent;

namespace peridotwheel {

/// Tracks the open connections of one listener from the time they are accepted.
///
/// evhttp has no callback for accepting a connection or for freeing an idle one. The table
/// therefore holds a reference to the bufferevent of each connection, and detects that evhttp has
/// freed the connection by the callbacks that evhttp removed from it.
class connection_table
{
public:
    connection_table(std::size_t maxConnections, duration idleTimeout)
        : m_max(maxConnections)
        , m_idleTimeout(idleTimeout)
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
    void markBusy(bufferevent *connection);
    void markIdle(bufferevent *connection, time_point now);

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
        /// Position in `m_idle`; valid only if neither busy nor closing.
        std::list<bufferevent *>::iterator position;
    };

    void closeOldestIdle();
    void removeReleased();

    std::size_t m_max;
    duration m_idleTimeout;
    std::unordered_map<bufferevent *, record> m_records;
    std::list<bufferevent *> m_idle; // longest idle first
    std::size_t m_closing = 0;
    time_point m_lastSweep{};
};

} // namespace peridotwheel

#endif
