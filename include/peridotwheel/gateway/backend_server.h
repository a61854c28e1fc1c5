#ifndef PERIDOTWHEEL_GATEWAY_BACKEND_SERVER_H
#define PERIDOTWHEEL_GATEWAY_BACKEND_SERVER_H

#include "peridotwheel/gateway/backend_record.h"
#include "peridotwheel/gateway/connection_allowance.h"
#include "peridotwheel/gateway/placement.h"
#include "peridotwheel/gateway/server_health.h"
#include "peridotwheel/gateway/server_limit.h"
#include "peridotwheel/gateway/server_pace.h"
#include "peridotwheel/gateway/wire_dialect.h"
#include "peridotwheel/support/event_loop.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <tuple>
#include <vector>

namespace peridotwheel {

/// A connection to one backend server; unique among the connections to it.
using connection_number = strong_id<struct connection_number_tag, std::uint64_t>;

/// How an attempt ended.
enum class attempt_end {
    Reply,      ///< A reply came; see `attempt_result::verdict`.
    NotSent,    ///< Nothing was written to the server.
    MayHaveRun, ///< Written to the server, but no usable reply came.
};

struct attempt_result
{
    attempt_end end = attempt_end::NotSent;
    reply_verdict verdict = reply_verdict::NotAnAnswer; ///< Valid for `Reply`.
    http_reply reply;                                   ///< Valid for `Reply`.
    /// Valid for `MayHaveRun`: whether the connection was new and had carried no reply, as when a
    /// server resets connections beyond its limit without reading from them. It does not show that
    /// the request has not run.
    bool probablyRefused = false;
};

/// Parameters of one attempt.
struct attempt_spec
{
    class_rank rank;
    /// At this time the attempt is aborted by closing its connection.
    time_point deadline;
    /// Service time on a typical server.
    duration work{};
    /// Use only connections that the server has certainly accepted. A server resets connections
    /// beyond its limit, and after a reset it is unknown whether the request ran.
    bool needsProvenConnection = false;
    /// Connections to the server that are not used. A connection that has carried the request
    /// before may hold a late second copy of the reply to it, which bears the same request id as
    /// the reply to this attempt.
    std::vector<connection_number> excludedConnections;
    std::shared_ptr<const outgoing_request> request;
    /// Called once, and never from within `submit`; not called if the attempt was cancelled,
    /// detached or aborted.
    std::function<void(attempt_result)> done;
};

/// What happened to a connection to a server.
enum class connection_event {
    OpenedForAttempt,
    OpenedInAdvance,
    OpenedForHealthCheck,
    Refused,        ///< Not accepted, or reset before its first reply.
    ClosedByServer, ///< Ended by the server or by the network after it had been accepted.
    ClosedUnused,   ///< Closed here after it had been idle.
};

class backend_server;

/// One attempt to run a request on one server.
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
    /// Whether no connection was free when the attempt was submitted.
    bool hasWaited = false;
    time_point sentAt{};
    /// Valid if `isSent`.
    connection_number connection;
    std::uint64_t number = 0;
};

using backend_attempt_ptr = std::shared_ptr<backend_attempt>;

/// A backend server: its connections, the attempts that wait for a connection, and its measured
/// health.
class backend_server : public std::enable_shared_from_this<backend_server>
{
public:
    struct environment
    {
        event_loop &loop;
        client_connector &connector;
        const wire_dialect &dialect;
        /// Called when this process starts or stops suspecting a server, or when the server states
        /// a change of its limit, or that it leaves or wants no requests for a while, and for each
        /// late reply to another request; \p what names the event.
        std::function<void(const backend_server &, const char *what)> onStateChanged;
        /// Returns the share of the server's limit that this instance may use, from 0 to 1.
        std::function<double(const backend_record &, request_rate limit)> ownShareOfLimit;
        /// Time after which a limit lapses that the server does not name again.
        duration limitLifetime;
        std::function<void(connection_event)> onConnectionEvent;
        /// Called when the server needs frequent maintenance, until `endBusyPeriod` returns true:
        /// it has attempts or opens a connection, or its health is to be checked.
        std::function<void(backend_server &)> onBusy;
        /// Called when the pace of a server begins and when it has ended.
        std::function<void(const backend_server &, bool begins)> onPaceChanged;
        /// Whether servers are paced at all.
        bool pacesServers = true;
    };

    backend_server(environment env, backend_record record, std::string healthCheckPath,
                   duration assumedRoundTrip);
    backend_server(const backend_server &) = delete;
    backend_server &operator=(const backend_server &) = delete;
    ~backend_server();

    const backend_record &record() const { return m_record; }
    const server_health &health() const { return m_health; }
    /// Returns the limit that the server has named, if any.
    std::optional<request_rate> limit() const { return m_limit.limit(m_env.loop.now()); }
    /// Applies a newer record of the same run of the server. Attempts that wait for a server that
    /// drains now go on waiting until `failWaitingIfUnwanted`.
    void update(const backend_record &record);
    /// Sets how many connections may be open at once, and how many of them may stay open without a
    /// request. An instance without a share of its own opens single ones on demand, \p onDemand of
    /// them on average, unless that is 0.
    void setConnectionShare(std::uint32_t maxConnections, std::uint32_t standing, double onDemand);
    std::uint32_t standingShare() const { return m_standingShare; }
    /// Returns whether a connection is opened for single attempts only.
    bool isConnectedOnDemand() const { return m_isConnectedOnDemand; }
    /// Returns whether this instance may ever connect to the server.
    bool isWithinReach() const { return m_maxConnections > 0 && !isDraining() && !m_isEvacuated; }
    /// Sets the number of standing connections, which are kept open without a request. One of them
    /// is opened in advance; connections beyond this number are closed soon after use.
    void setStanding(std::uint32_t standing) { m_standing = standing; }
    /// Sets whether a standing connection is opened again after it has ended without being used for
    /// a while. If not, it is opened when a request needs it.
    void setOpenedInAdvance(bool opened) { m_isOpenedInAdvance = opened; }
    /// Sets whether nothing is sent to the server because its data centre is evacuated. Attempts in
    /// flight continue; the waiting ones do so until `failWaitingIfUnwanted`.
    void setEvacuated(bool isEvacuated);
    /// Sets the rate of requests that the server accepts from all instances together while it is
    /// cold; absent if it is not limited.
    void setColdLimit(std::optional<request_rate> limit);
    /// Fails the waiting attempts if the server gets none now, and those that its limits let
    /// through only after their deadline. To be called once all servers are up to date, since the
    /// attempts are handed to others.
    void failWaitingIfUnwanted();
    /// Fails the waiting attempts and takes no part in further placement. Attempts in flight
    /// continue.
    void drain();
    bool isDraining() const { return m_isDraining || m_record.draining; }
    /// Begins the pace of a server that is new to this instance.
    void beginPace() { beginPace(server_pace::leastShare); }
    /// Returns whether the server gets a part of its usual first attempts only.
    bool isPaced() const { return m_pace.isActive(); }
    /// Returns the part of its usual first attempts that the server gets, from 0 to 1.
    double paceShare() const { return m_pace.share(m_env.loop.now()); }

    placement_candidate candidate() const;
    /// Returns the time until this instance may send a request, which is zero unless the server
    /// limits requests or wants none for a while.
    duration availableIn() const;
    backend_attempt_ptr submit(attempt_spec spec);
    /// Cancels an attempt that still waits for a connection. Returns false if it does not wait.
    bool cancelUnsent(const backend_attempt_ptr &a);
    /// Drops the result callback. An attempt that has been sent runs until its reply or its
    /// deadline; one that waits for a connection is cancelled.
    void detach(const backend_attempt_ptr &a);
    /// Ends the attempt; closes its connection if it has been sent.
    void abort(const backend_attempt_ptr &a);

    /// Opens missing connections, closes stale ones, ends attempts that are past their deadline,
    /// and sends health checks while the server is suspect. To be called a few times a second, and
    /// more often while the server is busy, since only then are there attempts to end.
    void maintain();
    server_samples takeSamples();
    void setHint(const server_hint &hint);
    void noteLocalStall(time_point now) { m_health.onLocalStall(now); }
    std::size_t connections() const { return m_slots.size(); }
    bool isConnected() const;
    bool isBusy() const;
    /// Returns true and ends the busy period that `onBusy` reported if the server needs no frequent
    /// maintenance any more.
    bool endBusyPeriod();
    /// Returns whether a busy period has begun and has not ended.
    bool isInBusyPeriod() const { return m_isInBusyPeriod; }

private:
    struct slot;
    using wait_key = std::tuple<class_rank, time_point, std::uint64_t>;

    slot *idleSlot(const attempt_spec &spec) const;
    slot *idleSlot(bool proven) const;
    bool isProven(const slot &s) const;
    /// Time for which a new connection is not used, because the server may reset it.
    duration acceptanceTime() const;
    bool isAccepted(const slot &s) const;
    slot &open(connection_event reason);
    void report(connection_event event) const;
    void beginBusyPeriod();
    /// Closes an idle connection that \p spec excludes if no further one may be opened.
    void makeRoomFor(const attempt_spec &spec);
    /// Returns whether this instance's part of the server's connections allows another one now.
    bool hasRoom() const;
    /// Returns whether a connection for requests may be opened now.
    bool mayOpen() const;
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
    bool wantsNoRequests() const;
    void release(slot &s);
    void noteEndOfIdle(const slot &s);
    void remove(slot &s);
    void endOverdueAttempts(time_point now);
    void closeStale(time_point now);
    void checkHealth(time_point now);
    void onHealthChecked(slot &s, const http_outcome &outcome);
    void reportSuspicionChange(bool wasSuspect);
    void applyNotice(const http_reply &reply);
    void onLimitChanged();
    void updateLimitShare();
    void setColdFor(duration left);
    void beginPace(double share);
    /// Returns whether the attempt has lasted so long that the server probably has a queue.
    bool isSlow(const backend_attempt &a, time_point now) const;
    /// Lowers the pace of a server that owes a reply, and ends a pace that is over.
    void maintainPace(time_point now);
    /// Starts or ends the limit for cold servers.
    void updateColdLimit();
    /// Returns the time until the server's limits allow a request that waits behind \p ahead
    /// others.
    duration limitDelay(std::size_t ahead) const;

    environment m_env;
    backend_record m_record;
    std::string m_healthCheckPath;
    server_health m_health;
    server_limit m_limit;
    /// In force while the server is cold.
    server_limit m_coldLimit;
    std::optional<request_rate> m_namedColdLimit;
    /// Runs while attempts wait for the server's limit.
    timer m_limitTimer;
    std::vector<std::unique_ptr<slot>> m_slots;
    std::map<wait_key, backend_attempt_ptr> m_waiting;
    std::uint64_t m_nextNumber = 1;
    std::uint64_t m_nextConnection = 1;
    std::uint32_t m_maxConnections = 1;
    std::uint32_t m_standingShare = 0;
    std::uint32_t m_standing = 0;
    connection_allowance m_allowance;
    bool m_isConnectedOnDemand = false;
    bool m_isInBusyPeriod = false;
    bool m_isDraining = false;
    bool m_isEvacuated = false;
    bool m_isOpenedInAdvance = true;
    /// Whether the last connection ended unused, and no attempt was submitted since.
    bool m_endedUnused = false;
    time_point m_coldUntil{};
    server_pace m_pace;
    /// Whether a pace has begun; from then on the server is used as it was measured to be, not as
    /// it states to be.
    bool m_wasPaced = false;
    time_point m_suspectSince{};
    /// Until then the server wants no requests from this instance.
    time_point m_heldOffUntil{};
    time_point m_connectAfter{};
    duration m_connectBackoff{};
    /// When the server last refused a connection or probably did.
    std::optional<time_point> m_refusedAt;
    time_point m_nextCheck{};
};

using backend_server_ptr = std::shared_ptr<backend_server>;

} // namespace peridotwheel

#endif
