#ifndef PERIDOTWHEEL_GATEWAY_SERVER_HEALTH_H
#define PERIDOTWHEEL_GATEWAY_SERVER_HEALTH_H

#include "peridotwheel/gateway/server_report.h"
#include "peridotwheel/support/units.h"

#include <algorithm>
#include <cstdint>
#include <utility>
#include <vector>

namespace peridotwheel {

/// Health of one backend server as measured by this instance, plus the hints of other instances.
/// Load reports of the server itself are ignored, because they lag behind or are misleading.
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
    /// Records a good reply to an attempt sent at \p sentAt, whose service time on a typical server
    /// is \p work.
    void onReply(time_point sentAt, duration work, time_point now);
    /// Records a reply which states that the server did not run the request.
    void onRejected(time_point sentAt, time_point now);
    /// Records a failed request: an error reply, a malformed reply, or a broken connection.
    void onFailed(time_point sentAt, time_point now);
    /// Records an attempt that was given up without an answer. A server that has been silent for
    /// longer than \p tolerance becomes suspect.
    void onAbandoned(time_point sentAt, duration tolerance, time_point now);
    /// Records that the server could not be reached or did not answer a health check.
    void onUnreachable(time_point now);
    /// Records a sign of life, such as an answered health check; clears the suspicion.
    void onHealthy(time_point now);
    /// Discards the measured slowness after the server has kept its time for a while.
    void forgetSlowness() { m_slowness = std::min(m_slowness, 1.0); }
    /// Sets what other instances measured recently; replaces the previous hint.
    void setHint(const server_hint &hint, time_point now);
    const server_hint &hint() const { return m_hint; }
    /// Returns the samples measured since the last call.
    server_samples takeSamples() { return std::exchange(m_samples, {}); }
    /// Restarts the measurement of silence after this process was not scheduled for a while, since
    /// the server is not the cause of that silence.
    void onLocalStall(time_point now) { m_lastResponseAt = now; }

    /// Returns the network round trip.
    duration roundTrip() const { return m_roundTrip; }
    /// Returns the service time as a multiple of that of a typical server. Decays to 1 without
    /// samples, so that a server that was slow is tried again.
    double slowness(time_point now) const;
    /// Returns the share of failed and rejected attempts among the recent ones; decays with time.
    double errorRate(time_point now) const;
    /// Returns the time since the last sign of life, or zero if no attempt is outstanding.
    duration silentFor(time_point now) const;
    /// Returns whether the server was silent or unreachable and has shown no sign of life since.
    /// Placement avoids such a server, and health checks are sent to it until it answers.
    bool isSuspect() const { return m_suspect; }
    std::uint32_t outstanding() const
    {
        return static_cast<std::uint32_t>(m_outstandingSentAt.size());
    }

private:
    /// Records the end of the attempt sent at \p sentAt by a sign of life.
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
    /// Times at which the outstanding attempts were sent, oldest first.
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
