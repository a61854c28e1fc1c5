#ifndef PERIDOTWHEEL_LIB_RELAY_RELAY_STATE_H
#define PERIDOTWHEEL_LIB_RELAY_RELAY_STATE_H

#include "peridotwheel/counters/counter_set.h"
#include "peridotwheel/http/http_client.h"
#include "peridotwheel/limits/retry_budget.h"
#include "peridotwheel/query/query_executor.h"
#include "peridotwheel/routing/latency_distribution.h"
#include "peridotwheel/support/event_loop.h"
#include "peridotwheel/support/random_source.h"
#include "peridotwheel/timeline/timeline_event.h"
#include "recent_query_times.h"
#include "relay_plan.h"

#include <map>
#include <unordered_set>

namespace peridotwheel {

class relayed_query;

/// Counters of the origin, the instance that splits a query; looked up once.
struct relay_counters
{
    explicit relay_counters(counter_set &set);

    counter &queries;
    counter &messages;
    counter &localParts;
    counter &hedges;
    counter &retries;
    counter &notOwned;
    counter &cancels;
    counter &resultsDropped;
    counter &budgetDenials;
    counter &failures;
    counter &restarts;
};

/// State shared by all split queries of one instance.
struct relay_state
{
    relay_state(event_loop &l, const blackboard &b, query_executor &engine, http_client &client,
                relay_hooks hooks, counter_set &counters, event_sink sink, std::uint64_t seed,
                instance_id id, start_id run, data_centre_id dc);
    relay_state(const relay_state &) = delete;
    relay_state &operator=(const relay_state &) = delete;
    ~relay_state();

    relay_plan_ptr planOf(const shard_map_ptr &map);
    relay_plan_ptr plainPlanOf(const service_name &name);
    /// Drops the plans and recomputes the concurrency limit if connection shares or owners have
    /// changed.
    void refresh();
    void report(event_kind kind, const query_request &request, std::string text) const;

    event_loop &loop;
    const blackboard &board;
    query_executor &local;
    http_client &http;
    connection_directory directory;
    relay_counters count;
    event_sink events;
    random_source random;
    instance_id self;
    start_id start;
    data_centre_id dataCentre;
    /// Budgets for extra parts, counted in groups of shards, since each group costs about one
    /// server request.
    retry_budget hedges;
    retry_budget retries;
    /// Latency from sending to the answer, only of first parts that ran: not of hedges and retries.
    latency_distribution partLatency;
    recent_query_times queryTime;
    std::unordered_set<std::shared_ptr<relayed_query>> active;
    std::uint64_t nextPartId = 1;
    std::uint64_t nextDispatchId = 1;
    std::uint32_t concurrency = 1;

private:
    relay_plan_inputs planInputs()
    {
        return {board.servers.value(), directory, m_peers, dataCentre};
    }
    void updatePeers();
    void updateConcurrency();

    relay_peers m_peers;
    std::map<index_version, relay_plan_ptr> m_plans;
    std::map<service_name, relay_plan_ptr> m_plainPlans;
    subscription m_onMembers;
};

} // namespace peridotwheel

#endif
