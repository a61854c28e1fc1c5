#include "admission_share.h"

#include "peridotwheel/limits/rank_floors.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace peridotwheel {

namespace {

/// Minimum share: enough queries to detect that the queues have drained.
constexpr double minAdmittedShare = 0.01;
/// Target queueing delay during an overload, as a fraction of the shortest latency target. It is
/// small because a query waits for the slowest of many parts, and urgent queries share the queues
/// with all others.
constexpr double restrictedQueueShare = 0.05;
/// Queueing delay that is tolerated without an overload, as a fraction of the shortest latency
/// target. Random arrivals queue for a moment at any load.
constexpr double openQueueShare = 0.2;
/// An overload counts as lasting until the share has been whole for this time.
constexpr duration overloadMemory = seconds(1);
/// Interval between changes of the share; a change takes about one query duration to show.
constexpr duration adjustInterval = milliseconds(40);
/// Minimum number of samples in an interval, since a single query may have met a slow server.
/// Instances with few callers extend the interval until they have this many samples.
constexpr std::size_t minSamples = 2;
/// Minimum number of queries that must have been delayed for their delay to count as queueing.
constexpr std::size_t minDelayedQueries = 4;
/// Quantiles of the queueing delays, during an overload and otherwise.
constexpr double restrictedQuantile = 0.25;
constexpr double openQuantile = 0.2;
/// Cap of the excess of the queueing delay, so that one step stays bounded.
constexpr double maxExcess = 3;
/// Gains for shrinking: the logarithm of the shrink factor is the negated sum of `excessGain` times
/// the excess and `excessGrowthGain` times the growth of the excess since the last interval. The
/// excess is relative: 0 at the target queueing delay, -1 without queueing.
constexpr double excessGain = 0.1;
constexpr double excessGrowthGain = 0.3;
/// Integral of the excess over time from which on a queue counts as standing: a short burst at
/// usual load ends before.
constexpr duration toleratedExcessTime = milliseconds(300);
/// Number of intervals of a usual shrink step. A step of an instance with few callers covers more,
/// and shrinks by more in proportion.
constexpr double intervalsOfStep = 2;
/// Bound of the logarithm of one shrink step.
constexpr double maxLogShrink = 0.7;
/// Additive growth per interval, scaled by the negative excess. Additive increase makes the shares
/// of all instances converge.
constexpr double growthPerInterval = 0.015;
/// Part of the additive growth that does not depend on the share. The rest is proportional to it,
/// since a step of the same size overshoots while the share is small.
constexpr double fixedGrowth = 0.4;
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
/// Excess per share of the parts that full servers rejected. Servers with short queues reject work
/// long before the queueing delay becomes too long.
constexpr double rejectionExcess = 4;
/// Share of rejected parts up to which queues are not taken for full.
constexpr double toleratedRejections = 0.01;
/// Samples are not used for longer than this.
constexpr duration sampleLifetime = seconds(2);
/// Time in which the sums of offered and finished work decay to 1 / e.
constexpr duration workDecayTime = milliseconds(400);
/// Lower bound of the share, relative to the ratio of finished to offered work. In an overload the
/// shards finish what they can, so with this bound queues shrink quickly without leaving the shards
/// idle.
constexpr double finishedWorkFloor = 0.9;
/// Minimum retry delay, which grows as the share falls. An overload lasts for seconds, and callers
/// that retry too soon would only be refused again.
constexpr duration minRetryDelay = seconds(1);
/// Bound of the retry delay before jitter, so that callers return soon after an overload has ended.
constexpr duration maxRetryDelay = seconds(10);
constexpr double retryJitter = 0.5;

double intervalsIn(duration d)
{
    return toMilliseconds(d) / toMilliseconds(adjustInterval);
}

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
    m_shortestTarget = duration::max();
    for (const auto &[name, spec] : classes)
        m_shortestTarget = std::min(m_shortestTarget, spec.latencyTarget);
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
    if (m_newSamples < minSamples && now - m_intervalEnd < sampleLifetime)
        return;
    dropSamples(now);
    if (m_samples.empty())
        m_share = 1;
    else
        step(updateExcess(now), now);
    m_newSamples = 0;
    m_intervalEnd = now + adjustInterval;
}

void admission_share::dropSamples(time_point now)
{
    const auto isRecent = [now](const sample &s) { return now - s.takenAt < sampleLifetime; };
    const std::size_t used = std::max(m_newSamples, minDelayedQueries);
    const auto first =
            m_samples.end() - static_cast<std::ptrdiff_t>(std::min(used, m_samples.size()));
    m_samples.erase(m_samples.begin(), std::find_if(first, m_samples.end(), isRecent));
}

duration admission_share::standingDelay() const
{
    if (m_samples.size() < minDelayedQueries)
        return duration::zero();
    std::vector<duration> delays;
    delays.reserve(m_samples.size());
    // Servers that reject all parts of a query have full queues, which is the longest delay.
    for (const sample &s : m_samples)
        delays.push_back(s.queueingDelay.value_or(m_shortestTarget));
    const double quantile = m_share < 1 ? restrictedQuantile : openQuantile;
    const auto chosen = delays.begin() +
                        static_cast<std::ptrdiff_t>(static_cast<double>(delays.size()) * quantile);
    std::nth_element(delays.begin(), chosen, delays.end());
    return *chosen;
}

duration admission_share::restrictedTarget() const
{
    return scaled(m_shortestTarget, restrictedQueueShare);
}

bool admission_share::isOverloaded(time_point now) const
{
    return m_share < 1 || now - m_restrictedAt < overloadMemory;
}

duration admission_share::targetInForce(time_point now) const
{
    return isOverloaded(now) ? restrictedTarget() : scaled(m_shortestTarget, openQueueShare);
}

double admission_share::updateExcess(time_point now)
{
    if (m_share < 1)
        m_restrictedAt = now;
    m_queueing = standingDelay();
    const duration target = targetInForce(now);
    const double excess =
            std::min<double>(toMilliseconds(m_queueing) / toMilliseconds(target) - 1, maxExcess);
    double rejected = 0;
    for (const sample &s : m_samples)
        rejected += s.rejectedShare;
    rejected /= static_cast<double>(m_samples.size());
    return rejected > toleratedRejections ? std::max(excess, 0.0) + rejectionExcess * rejected
                                          : excess;
}

void admission_share::grow(double excess, double passed, time_point now)
{
    const double idle = std::max(intervalsIn(now - m_lastQueueingAt - recoveryDelay), 0.0);
    const double factor = 1 + recoveryGrowth * std::min(idle, maxCountedIntervals) * passed;
    const double step = growthPerInterval * (fixedGrowth + (1 - fixedGrowth) * m_share);
    m_share = std::min(m_share * factor - step * excess * passed, 1.0);
}

void admission_share::step(double excess, time_point now)
{
    const double before = std::exchange(m_lastExcess, excess);
    if (excess > lowQueueingExcess)
        m_lastQueueingAt = now;
    const double passed = std::min(intervalsIn(now - m_lastStepAt), maxCountedIntervals);
    m_lastStepAt = now;
    // A short burst, or a pause of this process, delays queries for a moment only.
    m_excessTime = std::clamp(m_excessTime + scaled(adjustInterval, excess * passed),
                              duration::zero(), toleratedExcessTime);
    if (excess <= 0)
        return grow(excess, passed, now);
    const bool isStanding =
            before > 0 && (isOverloaded(now) || m_excessTime >= toleratedExcessTime);
    const bool isDraining = 1 + excess < drainingFactor * (1 + before);
    const double change = (excessGain * excess + excessGrowthGain * (excess - before)) *
                          std::max(passed / intervalsOfStep, 1.0);
    if (isStanding && !isDraining)
        shrink(std::exp(-std::clamp(change, 0.0, maxLogShrink)));
}

void admission_share::shrink(double factor)
{
    const double offered = totalOffered();
    const double minBusyShare = offered > 0 ? finishedWorkFloor * m_finished / offered : 0;
    m_share = std::clamp(std::max(m_share * factor, minBusyShare), minAdmittedShare, m_share);
}

double admission_share::shareOfRank(class_rank rank) const
{
    if (m_share >= 1)
        return 1;
    const double all = totalOffered();
    rank_demands demands;
    for (const auto &[r, offered] : m_offered) {
        const auto floor = m_floors.find(r);
        demands[r] = {offered / all, floor == m_floors.end() ? 0 : floor->second};
    }
    return divideAdmission(m_share, demands).at(rank);
}

bool admission_share::admit(class_rank rank, const team_name &team, duration work, double chance,
                            time_point now)
{
    decay(now);
    m_offered[rank] += toMilliseconds(work);
    adjust(now);
    if (!isOverloaded(now)) {
        m_teams.clear();
        return true;
    }
    const double ofRank = shareOfRank(rank);
    if (team.value().empty() && m_teams.isEmpty())
        return chance < ofRank;
    return chance < m_teams.add(rank, team, work, ofRank, now);
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
    const auto earlier = std::find_if(m_samples.begin(), m_samples.end(),
                                      [&](const sample &s) { return s.query == query.query; });
    if (earlier != m_samples.end())
        m_samples.erase(earlier);
    m_samples.push_back({query.query, query.queueingDelay, query.rejectedShare, now});
    m_newSamples = std::min(m_newSamples + 1, m_samples.size());
}

void admission_share::onQueryRunning(const query_progress &query, time_point now)
{
    // A running query gives only a lower bound of its queueing delay.
    if (query.queueingDelay && *query.queueingDelay > targetInForce(now))
        addSample(query, now);
}

duration admission_share::retryAfter(double chance) const
{
    const duration delay = std::min(scaled(minRetryDelay, 1 / m_share), maxRetryDelay);
    return scaled(delay, 1 + retryJitter * chance);
}

} // namespace peridotwheel
