#ifndef PERIDOTWHEEL_GATEWAY_BACKEND_SERVER_H
#define PERIDOTWHEEL_GATEWAY_BACKEND_SERVER_H

#include "peridotwheel/gateway/backend_record.h"
#include "peridotwheel/gateway/placement.h"
#include "peridotwheel/gateway/server_health.h"
#include "peridotwheel/gateway/wire_dialect.h"
#include "peridotwheel/support/event_loop.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <tuple>
#include <vector>

namespace peridotwheel {

/// How an attempt ended.
enum class attempt_end {
    Reply,      ///< See the verdict.
    NotSent,    ///< Nothing was written to the server.
    MayHaveRun, ///< Written, but no usable reply came.
};

struct attempt_result
{
    attempt_end end = attempt_end::NotSent;
    reply_verdict verdict = reply_verdict::NotAnAnswer; ///< Valid for `Reply`.
    http_reply reply;                                   ///< Valid for `Reply`.
    /// With `MayHaveRun`: the connection was new and had answered nothing, as when a server resets
    /// connections beyond its limit without reading them.
    bool probablyRefused = false;
};

/// What one attempt needs.
struct attempt_spec
{
    class_rank rank;
    /// The connection is given up at this time.
    time_point deadline;
    /// Time that the work takes on a usual server.
    duration work{};
    /// Use only connections that have proved to be accepted by the server. A server resets
    /// connections beyond its limit, and after a reset nobody knows whether the request ran.
    bool needsProvenConnection = false;
    std::shared_ptr<const outgoing_request> request;
    /// Called once, never from within `submit`, unless the attempt is withdrawn or detached.
    std::function<void(attempt_result)> done;
};

class backend_server;

/// One request on its way to one server.
class backend_attempt
{
public:
    explicit backend_attempt(attempt_spec s)
        : spec(std::move(s))
    {
    }

    attempt_spec spec;
    bool isSent = false;
    bool isOver = false;
    time_point sentAt{};
    std::uint64_t number = 0;
};

using backend_attempt_ptr = std::shared_ptr<backend_attempt>;

/// One backend server: its connections, the attempts that wait for one, and what was measured.
class backend_server : public std::enable_shared_from_this<backend_server>
{
public:
    struct environment
    {
        event_loop &loop;
        client_connector &connector;
        const wire_dialect &dialect;
        /// Told of each change of what this process believes about a server.
        std::function<void(const backend_server &, const char *what)> onSuspicionChanged;
    };

    backend_server(environment env, backend_record record, std::string healthCheckPath,
                   duration assumedRoundTrip);
    backend_server(const backend_server &) = delete;
    backend_server &operator=(const backend_server &) = delete;
    ~backend_server();

    const backend_record &record() const { return m_record; }
    const server_health &health() const { return m_health; }
    /// Takes over a newer record of the same run of the server.
    void update(const backend_record &record);
    /// Connections that may be open at once, and those among them that may stay open without need.
    void setConnectionShare(std::uint32_t maxConnections, std::uint32_t standing)
    {
        m_maxConnections = maxConnections;
        m_standingShare = standing;
    }
    std::uint32_t standingShare() const { return m_standingShare; }
    /// Connections that are kept open without need. One of them is opened ahead of need; those
    /// beyond are closed soon after use.
    void setStanding(std::uint32_t standing) { m_standing = standing; }
    /// No new attempts; what is on its way goes on.
    void drain();
    bool isDraining() const { return m_isDraining || m_record.draining; }

    placement_candidate candidate() const;
    backend_attempt_ptr submit(attempt_spec spec);
    /// Takes back an attempt that has not been sent; false if it has.
    bool cancelUnsent(const backend_attempt_ptr &a);
    /// The result is not wanted any more. What has been sent runs to its end.
    void detach(const backend_attempt_ptr &a);
    /// Ends the attempt by closing its connection.
    void abort(const backend_attempt_ptr &a);

    /// Opens missing connections, closes stale ones, ends attempts at their deadline, checks the
    /// health of a suspect. Called a few times a second.
    void maintain();
    server_samples takeSamples() { return m_health.takeSamples(); }
    void setHint(const server_hint &hint) { m_health.setHint(hint, m_env.loop.now()); }
    void noteLocalStall(time_point now) { m_health.onLocalStall(now); }
    std::size_t connections() const { return m_slots.size(); }
    bool isConnected() const;
    bool isBusy() const;

private:
    struct slot;
    using wait_key = std::tuple<class_rank, time_point, std::uint64_t>;

    slot *idleSlot(bool proven) const;
    slot &open();
    void openIfNeeded();
    void onOpen(slot &s);
    void onClosed(slot &s);
    void backOffConnects();
    void dispatch();
    void send(slot &s, const backend_attempt_ptr &a);
    void onOutcome(slot &s, const backend_attempt_ptr &a, http_outcome outcome);
    void recordHealth(const backend_attempt &a, const attempt_result &result, time_point now);
    void complete(const backend_attempt_ptr &a, attempt_result result);
    void failWaiting();
    void release(slot &s);
    void remove(slot &s);
    void endOverdueAttempts(time_point now);
    void closeStale(time_point now);
    void checkHealth(time_point now);
    void onHealthChecked(slot &s, const http_outcome &outcome);
    void reportSuspicionChange(bool wasSuspect);

    environment m_env;
    backend_record m_record;
    std::string m_healthCheckPath;
    server_health m_health;
    std::vector<std::unique_ptr<slot>> m_slots;
    std::map<wait_key, backend_attempt_ptr> m_waiting;
    std::uint64_t m_nextNumber = 1;
    std::uint32_t m_maxConnections = 1;
    std::uint32_t m_standingShare = 0;
    std::uint32_t m_standing = 0;
    bool m_isDraining = false;
    time_point m_coldUntil{};
    time_point m_connectAfter{};
    duration m_connectBackoff{};
    time_point m_nextCheck{};
};

using backend_server_ptr = std::shared_ptr<backend_server>;

} // namespace peridotwheel

#endif
