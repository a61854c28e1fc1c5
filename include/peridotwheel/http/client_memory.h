#ifndef PERIDOTWHEEL_HTTP_CLIENT_MEMORY_H
#define PERIDOTWHEEL_HTTP_CLIENT_MEMORY_H

#include "peridotwheel/support/units.h"

#include <cstddef>
#include <functional>
#include <vector>

namespace peridotwheel {

/// Bounds of what the clients of a process occupy together.
struct client_limits
{
    /// Memory held for clients.
    std::size_t bytes = 0;
    std::size_t connections = 0;

    /// Returns limits for a process that may use \p processBytes of memory and open
    /// \p processDescriptors descriptors.
    static client_limits forProcess(std::size_t processBytes, std::size_t processDescriptors);
};

/// What a client connection does at present.
enum class client_phase {
    Fresh,     ///< No byte of a first request has arrived.
    Idle,      ///< Between two requests.
    Receiving, ///< Part of a request has arrived.
    Running,   ///< A request is being answered.
    Sending,   ///< Part of a reply has not been handed to the kernel yet.
    Closing,   ///< The last reply has been handed to the kernel.
};

const char *clientPhaseName(client_phase phase);

/// Decides which clients are disconnected, and which requests are refused, so that everything held
/// for clients stays within the memory and the descriptors of a process. Does no I/O.
///
/// A client that reads and sends at `minPaceBytesPerSecond` or faster lags by nothing; one that is
/// slower lags by the time that it is behind. If the memory is exceeded, the client that lags most
/// is disconnected; among those that lag equally, the one that occupies most. One client alone may
/// exceed the memory while the others occupy at most half of it, so that a single long request or
/// reply is always served.
///
/// Designed for some thousand connections: changes take constant time while the limits are kept,
/// and each disconnection takes one pass over all connections.
class client_memory
{
public:
    enum class exceeded_limit { Memory, Connections };

    /// A slower client is behind. Far below what callers of a data centre need, and enough to
    /// receive the longest reply of 8 MB in about two minutes.
    static constexpr std::size_t minPaceBytesPerSecond = 64 * 1024;

    struct holder_hooks
    {
        /// Releases the memory held for the client at once, and disconnects it after the call,
        /// which may come from a hook of its own connection.
        std::function<void()> release;
        /// Disconnects the client, unless a request of it has arrived meanwhile. May destroy the
        /// holder.
        std::function<void()> disconnect;
    };

    /// The part of one client connection. Starts as fresh.
    class holder
    {
    public:
        holder(client_memory &memory, holder_hooks hooks, time_point now);
        holder(const holder &) = delete;
        holder &operator=(const holder &) = delete;
        ~holder();

        /// Begins a phase; \p bytes are held for the client from now on. May call hooks of any
        /// holder.
        void enter(client_phase phase, std::size_t bytes, time_point now);
        /// Sets the bytes that are held and adds those that the client has sent or received since
        /// the last call. May call hooks of any holder.
        void update(std::size_t bytes, std::size_t moved, time_point now);
        client_phase phase() const { return m_phase; }

    private:
        friend class client_memory;

        duration lag(time_point now) const;

        client_memory &m_memory;
        holder_hooks m_hooks;
        std::size_t m_index;
        client_phase m_phase = client_phase::Fresh;
        time_point m_since;
        std::size_t m_bytes = 0;
        std::size_t m_moved = 0;
    };

    struct decision_hooks
    {
        /// Called for each client that is disconnected, with the bytes held for it.
        std::function<void(exceeded_limit, client_phase, std::size_t bytes)> onDropped;
        /// Called for each request that is refused, with its bytes, and for each connection.
        std::function<void(exceeded_limit, std::size_t bytes)> onRefused;
    };

    client_memory(client_limits limits, decision_hooks hooks)
        : m_limits(limits)
        , m_hooks(std::move(hooks))
    {
    }
    client_memory(const client_memory &) = delete;
    client_memory &operator=(const client_memory &) = delete;

    /// Returns whether a request that occupies \p bytes may run; if not, it counts as refused.
    /// Requests that run take half of the memory at most, except one alone.
    bool admit(std::size_t bytes);
    /// Returns whether one more connection may be accepted, after disconnecting another one if
    /// necessary: one that has been fresh for a while, else the one that lags most, else the one
    /// that has been idle for longest.
    bool makeRoom(time_point now);
    std::size_t bytes() const { return m_bytes; }
    std::size_t connections() const { return m_holders.size(); }

private:
    void change(holder &h, client_phase phase, std::size_t bytes);
    void dropUntilWithinLimit(time_point now);
    bool isExceeded() const;
    holder *connectionToClose(time_point now) const;

    client_limits m_limits;
    decision_hooks m_hooks;
    std::vector<holder *> m_holders;
    std::size_t m_bytes = 0;
    std::size_t m_runningBytes = 0;
};

} // namespace peridotwheel

#endif
