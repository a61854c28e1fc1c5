#include "peridotwheel/gateway/server_health.h"

#include <algorithm>
#include <cmath>

namespace peridotwheel {

namespace {

/// Weight of a new sample in the exponential moving average; a slow phase shows after a few
/// replies.
constexpr double sampleWeight = 0.25;
constexpr double outcomeWeight = 0.1;
/// Bounds of a sample, so that one extreme reply does not exclude a server for long.
constexpr double minSlowness = 0.5;
constexpr double maxSlowness = 20;
/// Half-lives of the measured values. Server faults last for seconds.
constexpr duration slownessHalfLife = seconds(3);
constexpr duration errorHalfLife = seconds(2);
/// Replies from this multiple of the typical service time on count as slow in reports; the normal
/// variation of work stays below it.
constexpr double slowRatio = 2.5;
/// Lifetime of a hint of other instances; several hints arrive within it.
constexpr duration hintLifetime = milliseconds(1500);
/// Minimum service time used as a divisor; below it the network dominates.
constexpr duration minWork = milliseconds(1);

double decayFactor(duration age, duration halfLife)
{
    if (age <= duration::zero())
        return 1;
    return std::exp2(-static_cast<double>(age.count()) / static_cast<double>(halfLife.count()));
}

} // namespace

void server_health::onConnected(duration roundTrip)
{
    // The minimum is free of queueing and of pauses of this process.
    m_roundTrip = m_isRoundTripMeasured ? std::min(m_roundTrip, roundTrip) : roundTrip;
    m_isRoundTripMeasured = true;
}

void server_health::onSent(time_point now)
{
    m_outstandingSentAt.push_back(now);
}

void server_health::removeOutstanding(time_point sentAt)
{
    const auto it = std::find(m_outstandingSentAt.begin(), m_outstandingSentAt.end(), sentAt);
    if (it != m_outstandingSentAt.end())
        m_outstandingSentAt.erase(it);
}

void server_health::onResponse(time_point sentAt, time_point now)
{
    removeOutstanding(sentAt);
    onHealthy(now);
}

void server_health::onHealthy(time_point now)
{
    m_lastResponseAt = now;
    m_suspect = false;
}

void server_health::onReply(time_point sentAt, duration work, time_point now)
{
    onResponse(sentAt, now);
    // A reply that took less than the round trip shows that opening the connection was slow.
    m_roundTrip = std::min(m_roundTrip, now - sentAt);
    const duration typicalWork = std::max(work, minWork);
    const duration served = std::max(now - sentAt - m_roundTrip, duration::zero());
    const double ratio = std::clamp(static_cast<double>(served.count()) /
                                            static_cast<double>(typicalWork.count()),
                                    minSlowness, maxSlowness);
    m_slowness = measuredSlowness(now) * (1 - sampleWeight) + ratio * sampleWeight;
    m_slownessAt = now;
    addOutcome(0, now);
    ++m_samples.replies;
    m_samples.slowReplies += ratio >= slowRatio ? 1 : 0;
    m_samples.slownessSum += ratio;
}

void server_health::onRejected(time_point sentAt, time_point now)
{
    onResponse(sentAt, now);
    addOutcome(1, now);
}

void server_health::onFailed(time_point sentAt, time_point now)
{
    onResponse(sentAt, now);
    addOutcome(1, now);
}

void server_health::onAbandoned(time_point sentAt, duration tolerance, time_point now)
{
    const bool wasSilent = now - std::max(sentAt, m_lastResponseAt) > tolerance;
    removeOutstanding(sentAt);
    if (wasSilent)
        m_suspect = true;
    else if (now - sentAt > tolerance)
        addOutcome(1, now);
}

void server_health::onUnreachable(time_point now)
{
    m_suspect = true;
    addOutcome(1, now);
}

void server_health::addOutcome(double failed, time_point now)
{
    m_errorRate = measuredErrorRate(now) * (1 - outcomeWeight) + failed * outcomeWeight;
    m_errorsAt = now;
    m_samples.failures += failed > 0 ? 1 : 0;
}

void server_health::setHint(const server_hint &hint, time_point now)
{
    m_hint = hint;
    m_hintAt = now;
}

bool server_health::isHintValid(time_point now) const
{
    return now - m_hintAt < hintLifetime;
}

double server_health::slowness(time_point now) const
{
    return isHintValid(now) ? std::max(measuredSlowness(now), m_hint.slowness)
                            : measuredSlowness(now);
}

double server_health::measuredSlowness(time_point now) const
{
    return 1 + (m_slowness - 1) * decayFactor(now - m_slownessAt, slownessHalfLife);
}

double server_health::errorRate(time_point now) const
{
    return isHintValid(now) ? std::max(measuredErrorRate(now), m_hint.errorRate)
                            : measuredErrorRate(now);
}

double server_health::measuredErrorRate(time_point now) const
{
    return m_errorRate * decayFactor(now - m_errorsAt, errorHalfLife);
}

duration server_health::silentFor(time_point now) const
{
    if (m_outstandingSentAt.empty())
        return duration::zero();
    return std::max(now - std::max(m_outstandingSentAt.front(), m_lastResponseAt),
                    duration::zero());
}

} // namespace peridotwheel
