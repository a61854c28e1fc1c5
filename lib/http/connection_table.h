#ifndef PERIDOTWHEEL_HTTP_CONNECTION_TABLE_H
#define PERIDOTWHEEL_HTTP_CONNECTION_TABLE_H

#include "peridotwheel/support/units.h"

#include <cstddef>
#include <list>
#include <unordered_map>

struct bufferevent;

namespace peridotwheel {

/// The open connections of one listener, from their acceptance on.
///
/// evhttp tells neither when it accepts a connection nor when it frees an idle one. The table
/// therefore holds a reference on the bufferevent of each and notices by the removed hooks that
/// evhttp has let go of it.
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

    /// Gives up all references; needed before the event base goes.
    void clear();

    /// Records a new connection. Beyond the bound the one idle for longest is closed; if none is
    /// idle, the next `sweep` closes the new one as soon as it is idle.
    void add(bufferevent *connection, time_point now);
    /// The connection carries a request now and is not closed until `markIdle`.
    void markBusy(bufferevent *connection);
    void markIdle(bufferevent *connection, time_point now);

    /// Forgets connections that evhttp has closed and closes those that are idle for too long.
    void sweep(time_point now);

    /// Connections that are open and not being closed.
    std::size_t open() const { return m_records.size() - m_closing; }

private:
    struct record
    {
        time_point idleSince;
        bool busy = false;
        bool closing = false;
        /// Position in `m_idle`; meaningful if neither busy nor closing.
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
