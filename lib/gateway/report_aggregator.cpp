#include "report_aggregator.h"

#include <algorithm>
#include <cmath>

namespace peridotwheel {

namespace {

/// Half-life of measurements. A server that gets no requests because of the hints is tried again
/// after a few half-lives; faults last for seconds.
constexpr duration halfLife = seconds(2);
/// Minimum (decayed) number of measurements for a hint.
constexpr double minSamples = 4;
/// Entries with a smaller weight are removed.
constexpr double minWeight = 0.1;
/// Minimum share of slow replies of a slow server. A server that only pauses now and then delays a
/// smaller share.
constexpr double minSlowShare = 0.6;
/// Minimum share of failures of a failing server; a few lost answers are normal.
constexpr double minFailingShare = 0.15;
/// A limit that no instance has reported for this time has ended; reports come twice a second.
constexpr duration limitLifetime = milliseconds(1500);
/// Bound of the entries, since the reports come from other processes.
constexpr std::size_t maxServers = 16384;

} // namespace

void report_aggregator::decay(time_point now)
{
    const double halves = toMilliseconds(now - m_decayedAt) / toMilliseconds(halfLife);
    const double kept = std::exp2(-std::max(halves, 0.0));
    m_decayedAt = now;
    for (auto it = m_entries.begin(); it != m_entries.end();) {
        entry &e = it->second;
        for (double *sum : {&e.replies, &e.slowReplies, &e.failures, &e.slownessSum})
            *sum *= kept;
        if (now - e.limitAt >= limitLifetime)
            e.limit.reset();
        it = e.replies + e.failures < minWeight && !e.limit ? m_entries.erase(it) : std::next(it);
    }
}

void report_aggregator::add(const server_reports &reports, time_point now)
{
    decay(now);
    for (const auto &[id, samples] : reports) {
        if (m_entries.size() >= maxServers && m_entries.count(id) == 0)
            continue;
        entry &e = m_entries[id];
        e.replies += samples.replies;
        e.slowReplies += std::min(samples.slowReplies, samples.replies);
        e.failures += samples.failures;
        e.slownessSum += samples.slownessSum;
        if (samples.limit) {
            e.limit = samples.limit;
            e.limitAt = now;
        }
    }
}

server_hints report_aggregator::hints(time_point now)
{
    decay(now);
    server_hints out;
    for (const auto &[id, e] : m_entries) {
        const double all = e.replies + e.failures;
        server_hint hint;
        hint.limit = e.limit;
        const bool isMeasured = all >= minSamples;
        if (isMeasured && e.slowReplies >= minSlowShare * e.replies && e.replies > 0)
            hint.slowness = e.slownessSum / e.replies;
        if (isMeasured && e.failures >= minFailingShare * all)
            hint.errorRate = e.failures / all;
        if (hint.isUnusual() || hint.limit)
            out[id] = hint;
    }
    return out;
}

} // namespace peridotwheel
