#ifndef PERIDOTWHEEL_RELAY_RELAYING_EXECUTOR_H
#define PERIDOTWHEEL_RELAY_RELAYING_EXECUTOR_H

#include "peridotwheel/counters/counter_set.h"
#include "peridotwheel/http/http_client.h"
#include "peridotwheel/query/query_executor.h"
#include "peridotwheel/relay/connection_directory.h"
#include "peridotwheel/support/event_loop.h"
#include "peridotwheel/timeline/timeline_event.h"

#include <cstdint>
#include <memory>

namespace peridotwheel {

struct relay_state;

/// Splits a query whose servers this instance may not all connect to: shards with a connection here
/// go to the local engine, the others to instances that own connections to their servers. While
/// the connection shares cover every server, queries go straight to the local engine.
class relaying_executor : public query_executor
{
public:
    relaying_executor(event_loop &loop, const blackboard &board, query_executor &local,
                      http_client &http, relay_hooks hooks, counter_set &counters,
                      event_sink events, std::uint64_t seed, const instance_id &self,
                      start_id start, const data_centre_id &dataCentre);
    /// Queries in progress are not answered any more.
    ~relaying_executor() override;

    void run(query_request request, answer_hook done) override;

    /// Queries that may usefully run at once, given the engine's limit for direct queries.
    std::uint32_t concurrencyLimit(std::uint32_t directLimit) const;
    /// Recent p90 of the time to the answer, given the engine's for direct queries.
    duration expectedServiceTime(duration directTime) const;
    /// Whether every server can be called directly, so that the engine's slots tell the load.
    bool callsDirectly() const;

private:
    bool refreshCallsDirectly();

    std::unique_ptr<relay_state> m_state;
};

} // namespace peridotwheel

#endif
