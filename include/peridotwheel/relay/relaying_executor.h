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

/// Splits queries when this instance may not connect to all servers: shards whose servers it may
/// connect to usually run on the local engine, and the others on instances that own connections to
/// their servers. While the connection shares cover every server, queries run on the local engine
/// without a split.
class relaying_executor : public query_executor
{
public:
    relaying_executor(event_loop &loop, const blackboard &board, query_executor &local,
                      http_client &http, relay_hooks hooks, counter_set &counters,
                      event_sink events, std::uint64_t seed, const instance_id &self,
                      start_id start, const data_centre_id &dataCentre);
    /// Leaves the queries in progress unanswered.
    ~relaying_executor() override;

    void run(query_request request, answer_hook done) override;

    /// Returns the number of queries that may usefully run at once. \p directLimit is the engine's
    /// limit, which applies while queries are not split.
    std::uint32_t concurrencyLimit(std::uint32_t directLimit) const;
    /// Returns the recent p90 of the time to the answer. \p directTime is the engine's estimate,
    /// which applies while queries are not split or no split query has finished.
    duration expectedServiceTime(duration directTime) const;
    /// Returns whether every server can be called directly, so that the engine's slots in use
    /// reflect the load.
    bool callsDirectly() const;

private:
    /// Refreshes the view of connection shares and returns whether every server can be called
    /// directly.
    bool refreshCallsDirectly();

    std::unique_ptr<relay_state> m_state;
};

} // namespace peridotwheel

#endif
