#ifndef PERIDOTWHEEL_LIB_QUERY_ENGINE_STATE_H
#define PERIDOTWHEEL_LIB_QUERY_ENGINE_STATE_H

#include "backend_server.h"
#include "peridotwheel/counters/counter_set.h"
#include "peridotwheel/limits/retry_budget.h"
#include "peridotwheel/query/query_engine.h"
#include "peridotwheel/state/blackboard.h"
#include "peridotwheel/support/random_source.h"
#include "scatter_plan.h"
#include "slot_tracker.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_set>
#include <vector>

namespace peridotwheel {

class running_query;

/// Counters of the engine, looked up by name only once.
struct engine_counters
{
    explicit engine_counters(counter_set &set);

    counter &firstAttempts;
    counter &hedges;
    counter &retries;
    counter &probes;
    counter &cancels;
    counter &droppedReplies;
    counter &budgetDenials;
    counter &shedReplies;
    counter &failedReplies;
    counter &suspicions;
    counter &restarts;
    counter &partial;
};

/// State that all queries of one engine share.
struct engine_state
{
    engine_state(event_loop &l, blackboard &b, http_connector &c, counter_set &counters,
                 event_sink sink, std::uint64_t seed, instance_id id, data_centre_id dc,
                 query_engine_options o);
    engine_state(const engine_state &) = delete;
    engine_state &operator=(const engine_state &) = delete;
    ~engine_state();

    /// Returns the plan of \p map for the current server table.
    scatter_plan_ptr planOf(const shard_map_ptr &map);
    scatter_plan_ptr plainPlanOf(const service_name &name);
    void noteLeaving(const server_id &server, start_id start, bool fromReply);
    /// Detects that this process did not run for a while, reports it, and restarts the silence
    /// timeouts of all servers, since their replies could not be read.
    void detectLocalStall(time_point now);
    void report(event_kind kind, const query_request *request, std::string text) const;

    void updateServers();
    void updateShares();
    void tick();

    event_loop &loop;
    blackboard &board;
    http_connector &connector;
    engine_counters count;
    event_sink events;
    random_source random;
    instance_id self;
    data_centre_id dataCentre;
    query_engine_options options;
    server_selector selector;
    connection_share share;
    retry_budget hedgeBudget;
    retry_budget retryBudget;
    latency_distribution queryLatency;
    server_table servers;
    std::map<service_name, std::unique_ptr<service_stats>> services;
    std::unordered_set<std::shared_ptr<running_query>> active;
    std::function<void(server_id, start_id)> onServerLeaving;
    /// Makes attempt ids unique among instances and restarts.
    std::string attemptPrefix;
    std::uint64_t nextAttempt = 1;
    std::uint64_t nextScatterId = 1;
    std::uint64_t shareEpoch = 0;
    std::uint32_t queryConcurrencyLimit = 1;
    slot_tracker slots;
    /// Mean over the services of their average attempt latency.
    duration slotTime{};
    /// Called from the event loop after a slot has become free.
    std::function<void()> onSlotFree;

    /// Returns whether at least one server of every service has an established connection.
    bool connected() const;
    /// End of the last local stall, that is, of a time span in which this process did not run.
    time_point lastStallEnd{};

    /// Scratch buffer for the server selection in progress.
    std::vector<selection_candidate> candidates;

private:
    std::shared_ptr<backend_server> makeServer(const server_record &record);
    void onUnresponsive(backend_server &server);
    void noteHealthReply(const backend_server &server, const http_headers &headers);
    /// Suspects the server if it has been silent for too long, and hands attempts stuck on a
    /// suspect server over to their queries for a retry.
    void checkForSilence(backend_server &server, time_point now);
    void maintain(time_point now);
    void updateConcurrency();
    void scheduleTick();
    /// Schedules a call of `onSlotFree`, unless one is already scheduled.
    void scheduleSlotFreeHook();

    std::uint64_t m_epoch = 1;
    /// Servers that were removed from the table and may still have attempts in flight.
    std::vector<std::weak_ptr<backend_server>> m_retired;
    std::map<index_version, scatter_plan_ptr> m_plans;
    std::map<service_name, scatter_plan_ptr> m_plainPlans;
    std::set<std::pair<server_id, start_id>> m_leaving;
    bool m_isSlotFreeHookScheduled = false;
    timer m_slotFreeTimer;
    time_point m_lastTick;
    time_point m_nextMaintenance{};
    timer m_timer;
    subscription m_onServers;
    subscription m_onMembers;
};

} // namespace peridotwheel

#endif
