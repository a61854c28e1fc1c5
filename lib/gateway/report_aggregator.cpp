#include "report_aggregator.h"

#include <algorithm>
#include <cmath>

namespace peridotwheel {

namespace {

/// Time in which measurements count half. Servers that the hints keep without requests are tried
/// again when it has passed a few times; faults last for seconds.
constexpr duration halfLife = seconds(2);
/// Fewer measurements say too little.
constexpr double minSamples = 4;
/// Measurements that weigh less are dropped.
constexpr double minWeight = 0.1;
/// A server in one of its usual pauses delays a smaller part of the replies.
constexpr double minSlowShare = 0.6;
/// Lost answers of single requests are usual.
constexpr double minFailingShare = 0.15;
/// Servers that are remembered; the reports come from other processes.
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
        it = e.replies + e.failures < minWeight ? m_entries.erase(it) : std::next(it);
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
    }
}

server_hints report_aggregator::hints(time_point now)
{
    decay(now);
    server_hints out;
    for (const auto &[id, e] : m_entries) {
        const double all = e.replies + e.failures;
        if (all < minSamples)
            continue;
        server_hint hint;
        if (e.slowReplies >= minSlowShare * e.replies && e.replies > 0)
            hint.slowness = e.slownessSum / e.replies;
        if (e.failures >= minFailingShare * all)
            hint.errorRate = e.failures / all;
        if (hint.isUnusual())
            out[id] = hint;
    }
    return out;
}

} // namespace peridotwheel
