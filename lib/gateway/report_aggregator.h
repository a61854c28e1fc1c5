#ifndef PERIDOTWHEEL_LIB_GATEWAY_REPORT_AGGREGATOR_H
#define PERIDOTWHEEL_LIB_GATEWAY_REPORT_AGGREGATOR_H

#include "peridotwheel/gateway/server_report.h"
#include "peridotwheel/support/units.h"

namespace peridotwheel {

/// Aggregates the measurements that the instances of a data centre made of the backend servers.
///
/// Detects slow and failing servers where each instance calls a server only once in a second or
/// two: alone, each instance would need several requests of its own to detect a fault, and its
/// measurement would decay before the fault ends.
class report_aggregator
{
public:
    void add(const server_reports &reports, time_point now);
    /// Returns the servers that are slow or failing by the measurements of all instances together.
    /// Occasional pauses of a server do not count as slowness.
    server_hints hints(time_point now);

private:
    struct entry
    {
        double replies = 0;
        double slowReplies = 0;
        double failures = 0;
        double slownessSum = 0;
        std::optional<request_rate> limit;
        time_point limitAt{};
    };

    void decay(time_point now);

    std::map<server_id, entry> m_entries;
    time_point m_decayedAt{};
};

} // namespace peridotwheel

#endif
