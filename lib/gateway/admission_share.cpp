#include "admission_share.h"

#include "peridotwheel/limits/rank_floors.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace peridotwheel {

namespace {

/// Minimum share: enough queries to detect that the queues have drained.
constexpr double minAdmittedShare = 0.01;
/// Target queueing delay as a fraction of the shortest latency target. It is small because a query
/// waits for the slowest of many parts, and urgent queries share the queues with all others.
constexpr double queueShareOfTarget = 0.1;
/// Interval between changes of the share; a change takes about one query duration to show.
constexpr duration adjustInterval = milliseconds(40);
/// Minimum number of samples in an interval, since a single query may have met a slow server.
/// Instances with few callers extend the interval until they have this many samples.
constexpr int minSamples = 2;
/// Cap of a sample as a multiple of the target queueing delay, for the same reason.
constexpr int maxSampleFactor = 4;
/// Gains for shrinking: the logarithm of the shrink factor is the negated sum of `excessGain` times
/// the excess and `excessGrowthGain` times the growth of the excess since the last interval. The
/// excess is relative: 0 at the target queueing delay, -1 without queueing.
constexpr double excessGain = 0.1;
constexpr double excessGrowthGain = 0.3;
/// Bound of the logarithm of one shrink step.
constexpr double maxLogShrink = 0.7;
/// Additive growth per interval, scaled by the negative excess. Additive increase makes the shares
/// of all instances converge.
constexpr double growthPerInterval = 0.015;
/// After this time with hardly any queueing the overload counts as over, and the share also grows
/// by a factor that rises with each further interval.
constexpr duration recoveryDelay = milliseconds(250);
/// Excess up to which there is hardly any queueing.
constexpr double lowQueueingExcess = -0.7;
constexpr double recoveryGrowth = 0.05;
/// Cap on the intervals that one growth step covers, for instances with few callers.
constexpr double maxCountedIntervals = 10;
/// A queue that shrinks at least by this factor per interval is already draining; refusing more
/// callers would leave the shards idle afterwards.
constexpr double drainingFactor = 0.98;
/// Added to the excess in proportion to the share of parts that full servers rejected. Servers with
/// short queues reject work long before the queueing delay becomes too long.
constexpr double rejectionExcess = 2;
/// Without new samples, the last queueing delay is not used for longer than this.
constexpr duration sampleLifetime = seconds(2);
/// Time in which the sums of offered and finished work decay to 1 / e.
constexpr duration workDecayTime = milliseconds(400);
/// Lower bound of the share, relative to the ratio of finished to offered work. In an overload the
/// shards finish what they can, so with this bound queues shrink quickly without leaving the shards
/// idle.
constexpr double finishedWorkFloor = 0.7;
/// Minimum retry delay, which grows as the share falls. An overload lasts for seconds, and callers
/// that retry too soon would only be refused again.
constexpr duration minRetryDelay = seconds(1);
/// Bound of the retry delay before jitter, so that callers return soon after an overload has ended.
constexpr duration maxRetryDelay = seconds(10);
constexpr double retryJitter = 0.5;

} // namespace

std::map<class_rank, double> divideAdmission(double admitted, const rank_demands &demands)
{
    double reserved = 0;
    for (const auto &[rank, d] : demands)
        reserved += std::min(d.offered, d.floor * admitted);
    std::map<class_rank, double> shares;
    double left = admitted;
    for (const auto &[rank, d] : demands) {
        reserved -= std::min(d.offered, d.floor * admitted);
        const double given = std::clamp(left - reserved, 0.0, d.offered);
        shares[rank] = d.offered > 0 ? given / d.offered : 1;
        left -= given;
    }
    return shares;
}

admission_share::admission_share(const std::map<class_name, class_spec> &classes)
{
    setClasses(classes);
}

void admission_share::setClasses(const std::map<class_name, class_spec> &classes)
{
    m_floors = rankFloors(classes);
    duration shortest = duration::max();
    for (const auto &[name, spec] : classes)
        shortest = std::min(shortest, spec.latencyTarget);
    m_queueingTarget = scaled(shortest, queueShareOfTarget);
}

void admission_share::decay(time_point now)
{
    const double age = toMilliseconds(now - m_decayedAt) / toMilliseconds(workDecayTime);
    const double kept = std::exp(-std::max(age, 0.0));
    m_decayedAt = now;
    m_finished *= kept;
    for (auto &[rank, offered] : m_offered)
        offered *= kept;
}

double admission_share::totalOffered() const
{
    double all = 0;
    for (const auto &[rank, offered] : m_offered)
        all += offered;
    return all;
}

void admission_share::adjust(time_point now)
{
    if (now < m_intervalEnd)
        return;
    if (m_samples < minSamples && now - m_intervalEnd < sampleLifetime)
        return;
    if (m_samples == 0)
        m_share = 1;
    else
        step(updateExcess(), now);
    m_queueingSum = {};
    m_rejectedSum = 0;
    m_samples = 0;
    m_queueSamples = 0;
    m_intervalEnd = now + adjustInterval;
}

double admission_share::updateExcess()
{
    // If no server accepted a part in this interval, the last queueing delay is the best estimate.
    if (m_queueSamples > 0)
        m_queueingExcess =
                toMilliseconds(m_queueingSum / m_queueSamples) / toMilliseconds(m_queueingTarget) -
                1;
    return m_queueingExcess + rejectionExcess * m_rejectedSum / m_samples;
}

void admission_share::grow(double excess, time_point now)
{
    const auto intervalsIn = [](duration d) {
        return toMilliseconds(d) / toMilliseconds(adjustInterval);
    };
    const double passed = std::min(intervalsIn(now - m_lastStepAt), maxCountedIntervals);
    const double idle = std::max(intervalsIn(now - m_lastQueueingAt - recoveryDelay), 0.0);
    const double factor = 1 + recoveryGrowth * std::min(idle, maxCountedIntervals) * passed;
    m_share = std::min(m_share * factor - growthPerInterval * excess * passed, 1.0);
}

void admission_share::step(double excess, time_point now)
{
    const double before = std::exchange(m_lastExcess, excess);
    if (excess > lowQueueingExcess)
        m_lastQueueingAt = now;
    if (excess <= 0)
        grow(excess, now);
    m_lastStepAt = now;
    if (excess <= 0)
        return;
    // A single interval with excess may come from a short burst or a pause of this process.
    const bool isStanding = before > 0 || m_share < 1;
    const bool isDraining = 1 + excess < drainingFactor * (1 + before);
    const double change = excessGain * excess + excessGrowthGain * (excess - before);
    if (isStanding && !isDraining)
        shrink(std::exp(-std::clamp(change, 0.0, maxLogShrink)));
}

void admission_share::shrink(double factor)
{
    const double offered = totalOffered();
    const double minBusyShare = offered > 0 ? finishedWorkFloor * m_finished / offered : 0;
    m_share = std::clamp(std::max(m_share * factor, minBusyShare), minAdmittedShare, m_share);
}

bool admission_share::admit(class_rank rank, duration work, double chance, time_point now)
{
    decay(now);
    m_offered[rank] += toMilliseconds(work);
    adjust(now);
    if (m_share >= 1)
        return true;
    const double all = totalOffered();
    rank_demands demands;
    for (const auto &[r, offered] : m_offered) {
        const auto floor = m_floors.find(r);
        demands[r] = {offered / all, floor == m_floors.end() ? 0 : floor->second};
    }
    return chance < divideAdmission(m_share, demands).at(rank);
}

void admission_share::onQueryEnded(const query_progress &query, time_point now)
{
    decay(now);
    m_finished += toMilliseconds(query.work) * (1 - query.rejectedShare);
    addSample(query, now);
}

void admission_share::addSample(const query_progress &query, time_point now)
{
    // Adjusts first, so that queries that end together, as after a pause of this process, are
    // sampled in the same interval.
    adjust(now);
    if (query.queueingDelay) {
        m_queueingSum += std::min(*query.queueingDelay, maxSampleFactor * m_queueingTarget);
        ++m_queueSamples;
    }
    m_rejectedSum += query.rejectedShare;
    ++m_samples;
}

void admission_share::onQueryRunning(const query_progress &query, time_point now)
{
    // A running query gives only a lower bound of its queueing delay.
    if (query.queueingDelay && *query.queueingDelay > m_queueingTarget)
        addSample(query, now);
}

duration admission_share::retryAfter(double chance) const
{
    const duration delay = std::min(scaled(minRetryDelay, 1 / m_share), maxRetryDelay);
    return scaled(delay, 1 + retryJitter * chance);
}

} // namespace peridotwheel
