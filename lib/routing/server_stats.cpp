#include "peridotwheel/routing/server_stats.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace peridotwheel {

namespace {

constexpr double averageWeight = 0.1;
/// Longer samples count as this much: one straggler in a hundred must not turn the work away from a
/// server, while a lasting slowdown still shows after a few replies.
constexpr double outlierFactor = 2.0;
constexpr double outlierMarginUs = 5000;
constexpr double errorWeight = 0.2;
/// The average of an unused server approaches its floor with this half-life.
constexpr double averageHalfLifeUs = 1e6;
constexpr double errorHalfLifeUs = 2e6;
/// The floor rises by this share per second, so that it follows a lasting change of speed.
constexpr double floorRisePerSecond = 0.02;
/// A server that answered a probe is used again, carefully, whatever failed before.
constexpr double recoveredErrorRate = 0.1;
constexpr std::uint32_t failuresForSuspicion = 3;
/// The first probe comes soon because the suspicion may be false; later ones double up to the
/// longest interval.
constexpr duration firstProbe = milliseconds(100);
constexpr duration longestProbeInterval = milliseconds(1600);

double micros(duration d)
{
    return static_cast<double>(d.count());
}

} // namespace

server_stats::server_stats(duration prior, time_point now)
    : m_average(micros(prior))
    , m_floor(micros(prior))
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

void server_stats::settle(time_point now)
{
    assert(m_inFlight > 0 && "every outcome follows a send");
    --m_inFlight;
    m_lastProgress = now;
}

void server_stats::onReply(duration latency, time_point now)
{
    settle(now);
    const double sinceSample = micros(now - m_lastSample);
    const double current = micros(expectedLatency(now));
    const double longest = current * outlierFactor + outlierMarginUs;
    const double sample = m_replies == 0 ? micros(latency) : std::min(micros(latency), longest);
    // The first replies replace the prior quickly.
    const double weight = std::max(averageWeight, 1.0 / static_cast<double>(m_replies + 1));
    m_average = current + weight * (sample - current);
    const double risen = m_floor * (1 + floorRisePerSecond * sinceSample / 1e6);
    m_floor = m_replies == 0 ? m_average : std::min(std::max(risen, 1.0), m_average);
    m_errorRate = errorRate(now) * (1 - errorWeight);
    if (m_suspect)
        m_errorRate = std::min(m_errorRate, recoveredErrorRate);
    m_lastError = now;
    m_lastSample = now;
    ++m_replies;
    m_failuresInRow = 0;
    m_suspect = false;
}

void server_stats::onFailure(time_point now)
{
    settle(now);
    addError(now);
    if (++m_failuresInRow >= failuresForSuspicion)
        becomeSuspect(now);
}

void server_stats::addError(time_point now)
{
    const double rate = errorRate(now);
    m_errorRate = rate + errorWeight * (1 - rate);
    m_lastError = now;
}

void server_stats::onShed(time_point now)
{
    settle(now);
    addError(now);
    m_suspect = false;
    m_failuresInRow = 0;
}

void server_stats::onUntimedReply(time_point now)
{
    settle(now);
    m_suspect = false;
    m_failuresInRow = 0;
}

void server_stats::onAbandoned(time_point)
{
    assert(m_inFlight > 0 && "every outcome follows a send");
    --m_inFlight;
}

void server_stats::onLocalStall(time_point now)
{
    m_lastProgress = now;
}

duration server_stats::quietFor(time_point now) const
{
    return m_inFlight == 0 ? duration::zero() : now - m_lastProgress;
}

bool server_stats::checkSilence(time_point now, duration patience)
{
    if (m_suspect || quietFor(now) < patience)
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
    m_probeInterval = firstProbe;
    m_nextProbe = now + firstProbe;
}

void server_stats::onProbe(time_point now)
{
    m_probeInterval = std::min(m_probeInterval * 2, longestProbeInterval);
    m_nextProbe = now + m_probeInterval;
}

duration server_stats::expectedLatency(time_point now) const
{
    const double idle = micros(now - m_lastSample);
    const double fade = std::exp2(-idle / averageHalfLifeUs);
    return duration(static_cast<duration::rep>(m_floor + (m_average - m_floor) * fade));
}

double server_stats::errorRate(time_point now) const
{
    // Asked for each candidate of each shard, mostly of servers without errors.
    if (m_errorRate == 0)
        return 0;
    return m_errorRate * std::exp2(-micros(now - m_lastError) / errorHalfLifeUs);
}

} // namespace peridotwheel
