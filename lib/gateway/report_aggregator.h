#ifndef PERIDOTWHEEL_LIB_GATEWAY_REPORT_AGGREGATOR_H
#define PERIDOTWHEEL_LIB_GATEWAY_REPORT_AGGREGATOR_H

#include "peridotwheel/gateway/server_report.h"
#include "peridotwheel/support/units.h"

namespace peridotwheel {

/// What the instances of a data centre measured of the servers, together.
///
/// Answers the load of slow and failing servers where each instance calls a server once in a second
/// or two: alone, each would learn of each fault by several requests of its own, and forget it
/// before the fault ends.
class report_aggregator
{
public:
    void add(const server_reports &reports, time_point now);
    /// Servers that most instances would call slow or failing. Pauses that a server makes now and
    /// then are not among them.
    server_hints hints(time_point now);

private:
    struct entry
    {
        double replies = 0;
        double slowReplies = 0;
        double failures = 0;
        double slownessSum = 0;
    };

    void decay(time_point now);

    std::map<server_id, entry> m_entries;
    time_point m_decayedAt{};
};

} // namespace peridotwheel

#endif
