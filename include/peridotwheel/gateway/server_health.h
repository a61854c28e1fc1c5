#ifndef PERIDOTWHEEL_GATEWAY_SERVER_HEALTH_H
#define PERIDOTWHEEL_GATEWAY_SERVER_HEALTH_H

#include "peridotwheel/gateway/server_report.h"
#include "peridotwheel/support/units.h"

#include <cstdint>
#include <utility>
#include <vector>

namespace peridotwheel {

/// What one instance measured about one backend server. A server's own statements about its load
/// play no part: they lag or mislead.
class server_health
{
public:
    /// \p roundTrip is the round trip assumed until the first connection opens.
    server_health(duration roundTrip, time_point now)
        : m_roundTrip(roundTrip)
        , m_lastResponseAt(now)
        , m_slownessAt(now)
        , m_errorsAt(now)
    {
    }

    void onConnected(duration roundTrip);
    void onSent(time_point now);
    /// A good reply to an attempt sent at \p sentAt whose work takes \p work on a usual server.
    void onReply(time_point sentAt, duration work, time_point now);
    /// The server answers, but did not run the request.
    void onRejected(time_point sentAt, time_point now);
    /// The request failed: an error reply, bytes that are no reply, or a broken connection.
    void onFailed(time_point sentAt, time_point now);
    /// The attempt was given up without an answer. A server that has been silent all the while is
    /// suspect from now on.
    void onAbandoned(time_point sentAt, duration tolerance, time_point now);
    /// The server could not be reached or did not answer a health check.
    void onUnreachable(time_point now);
    /// A health check was answered.
    void onHealthy(time_point now);
    /// What other instances measured lately; replaces what they said before.
    void setHint(const server_hint &hint, time_point now);
    const server_hint &hint() const { return m_hint; }
    /// What was measured since the last call.
    server_samples takeSamples() { return std::exchange(m_samples, {}); }
    /// This process did not run for a while: silence in that time is not the server's.
    void onLocalStall(time_point now) { m_lastResponseAt = now; }

    /// Round trip on the network.
    duration roundTrip() const { return m_roundTrip; }
    /// Time of work as a multiple of that of a usual server; fades to 1 without samples, so that a
    /// server that was slow is tried again.
    double slowness(time_point now) const;
    /// Share of failed and rejected attempts among the recent ones; fades with time.
    double errorRate(time_point now) const;
    /// Time since the last sign of life while attempts are outstanding.
    duration silentFor(time_point now) const;
    /// Silent, unreachable, or not heard of since: gets health checks only, until it answers one.
    bool isSuspect() const { return m_suspect; }
    std::uint32_t outstanding() const
    {
        return static_cast<std::uint32_t>(m_outstandingSentAt.size());
    }

private:
    void onResponse(time_point sentAt, time_point now);
    void removeOutstanding(time_point sentAt);
    void addOutcome(double failed, time_point now);
    bool isHintValid(time_point now) const;
    double measuredSlowness(time_point now) const;
    double measuredErrorRate(time_point now) const;

    duration m_roundTrip;
    bool m_isRoundTripMeasured = false;
    bool m_suspect = false;
    double m_slowness = 1;
    double m_errorRate = 0;
    /// Times of the attempts that are outstanding, oldest first.
    std::vector<time_point> m_outstandingSentAt;
    time_point m_lastResponseAt;
    time_point m_slownessAt;
    time_point m_errorsAt;
    server_samples m_samples;
    server_hint m_hint;
    time_point m_hintAt{};
};

} // namespace peridotwheel

#endif
