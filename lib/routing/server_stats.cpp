#include "peridotwheel/routing/server_stats.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace peridotwheel {

namespace {

constexpr double latencySampleWeight = 0.1;
/// Samples are capped at the average times this factor plus a margin: one straggler in a hundred
/// must not divert the work from a server, while a lasting slowdown still shows after a few
/// replies.
constexpr double outlierFactor = 2.0;
constexpr double outlierMarginUs = 5000;
constexpr double errorSampleWeight = 0.2;
/// Half-life with which the average of an unused server decays to its baseline.
constexpr double averageHalfLifeUs = 1e6;
constexpr double errorHalfLifeUs = 2e6;
/// Share by which the baseline rises per second, so that it follows a lasting change of speed.
constexpr double baselineRisePerSecond = 0.02;
/// Upper bound of the error rate after a reply of a suspect server, so that the server is used
/// again, with caution, whatever failed before.
constexpr double maxRecoveredErrorRate = 0.1;
constexpr std::uint32_t failuresForSuspicion = 3;
/// The first probe follows soon because the suspicion may be false; after it the interval doubles
/// up to the maximum.
constexpr duration firstProbeDelay = milliseconds(100);
constexpr duration maxProbeInterval = milliseconds(1600);

double toMicroseconds(duration d)
{
    return static_cast<double>(d.count());
}

} // namespace

server_stats::server_stats(duration prior, time_point now)
    : m_averageUs(toMicroseconds(prior))
    , m_baselineUs(toMicroseconds(prior))
    , m_lastSample(now)
    , m_lastError(now)
    , m_lastProgress(now)
{
}

void server_stats::onSent(time_point now)
{
    if (m_inFlight == 0)
        m_lastProgress = now;
    ++m_inFlight;
}

void server_stats::recordCompletion(time_point now)
{
    assert(m_inFlight > 0 && "each attempt that ends must have been sent");
    --m_inFlight;
    m_lastProgress = now;
}

void server_stats::onReply(duration latency, time_point now)
{
    recordCompletion(now);
    const double sinceSample = toMicroseconds(now - m_lastSample);
    const double current = toMicroseconds(expectedLatency(now));
    const double sampleCapUs = current * outlierFactor + outlierMarginUs;
    const double sample = m_replies == 0 ? toMicroseconds(latency)
                                         : std::min(toMicroseconds(latency), sampleCapUs);
    // The first replies outweigh the prior latency quickly.
    const double weight = std::max(latencySampleWeight, 1.0 / static_cast<double>(m_replies + 1));
    m_averageUs = current + weight * (sample - current);
    const double risenBaselineUs = m_baselineUs * (1 + baselineRisePerSecond * sinceSample / 1e6);
    m_baselineUs =
            m_replies == 0 ? m_averageUs : std::min(std::max(risenBaselineUs, 1.0), m_averageUs);
    m_errorRate = errorRate(now) * (1 - errorSampleWeight);
    if (m_suspect)
        m_errorRate = std::min(m_errorRate, maxRecoveredErrorRate);
    m_lastError = now;
    m_lastSample = now;
    ++m_replies;
    m_failuresInRow = 0;
    m_suspect = false;
}

void server_stats::onFailure(time_point now)
{
    recordCompletion(now);
    addError(now);
    if (++m_failuresInRow >= failuresForSuspicion)
        becomeSuspect(now);
}

void server_stats::addError(time_point now)
{
    const double rate = errorRate(now);
    m_errorRate = rate + errorSampleWeight * (1 - rate);
    m_lastError = now;
}

void server_stats::onShed(time_point now)
{
    recordCompletion(now);
    addError(now);
    m_suspect = false;
    m_failuresInRow = 0;
}

void server_stats::onUntimedReply(time_point now)
{
    recordCompletion(now);
    m_suspect = false;
    m_failuresInRow = 0;
}

void server_stats::onAbandoned(time_point)
{
    assert(m_inFlight > 0 && "each attempt that ends must have been sent");
    --m_inFlight;
}

void server_stats::onLocalStall(time_point now)
{
    m_lastProgress = now;
}

duration server_stats::silentFor(time_point now) const
{
    return m_inFlight == 0 ? duration::zero() : now - m_lastProgress;
}

bool server_stats::checkSilence(time_point now, duration silenceTimeout)
{
    if (m_suspect || silentFor(now) < silenceTimeout)
        return false;
    becomeSuspect(now);
    return true;
}

void server_stats::becomeSuspect(time_point now)
{
    if (m_suspect)
        return;
    m_suspect = true;
    m_suspectSince = now;
    m_probeInterval = firstProbeDelay;
    m_nextProbe = now + firstProbeDelay;
}

void server_stats::onProbe(time_point now)
{
    m_probeInterval = std::min(m_probeInterval * 2, maxProbeInterval);
    m_nextProbe = now + m_probeInterval;
}

duration server_stats::expectedLatency(time_point now) const
{
    const double idle = toMicroseconds(now - m_lastSample);
    const double decay = std::exp2(-idle / averageHalfLifeUs);
    return duration(
            static_cast<duration::rep>(m_baselineUs + (m_averageUs - m_baselineUs) * decay));
}

double server_stats::errorRate(time_point now) const
{
    // Avoids the exponential: this is called for each candidate of each shard, and most servers
    // have no errors.
    if (m_errorRate == 0)
        return 0;
    return m_errorRate * std::exp2(-toMicroseconds(now - m_lastError) / errorHalfLifeUs);
}

} // namespace peridotwheel
