#ifndef PERIDOTWHEEL_QUERY_QUERY_ENGINE_H
#define PERIDOTWHEEL_QUERY_QUERY_ENGINE_H

#include "peridotwheel/limits/connection_share.h"
#include "peridotwheel/query/query_executor.h"
#include "peridotwheel/routing/server_selector.h"
#include "peridotwheel/timeline/timeline_event.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace peridotwheel {

class counter_set;
class event_loop;
class http_connector;
struct blackboard;
struct engine_state;

/// Plain services hold no shards. In coverage and results, the plain services of a query appear as
/// shards numbered from here, in the order in which the query names them.
constexpr std::uint32_t firstPlainShard = 0x80000000;

/// Switches for the measurements' baselines, and times.
struct query_engine_options
{
    bool hedging = true;
    bool retries = true;
    selection_policy selection = selection_policy::LeastExpectedWait;
    duration connectionHold = connection_share::defaultAbsenceHold;
    /// Answers leave this long before the deadline, so that they reach the caller in time.
    duration answerMargin = milliseconds(5);
};

/// Scatters a query over the replicas of its shards and gathers the answer.
///
/// A query pins one shard map. Each server gets one attempt that carries all its shards of the
/// query. Late replies are ignored by the query, but count for the statistics of the server.
class query_engine : public query_executor
{
public:
    query_engine(event_loop &loop, blackboard &board, http_connector &connector,
                 counter_set &counters, event_sink events, std::uint64_t seed, instance_id self,
                 data_centre_id dataCentre, query_engine_options options = {});
    ~query_engine() override;

    void run(query_request request, answer_hook done) override;

    /// Queries that may usefully run at once: the least over the services of the sum of the limits
    /// of their servers; at least 1.
    std::uint32_t concurrencyLimit() const;
    /// Whether at least one server of every known service is connected.
    bool connected() const;
    /// Slots in use, to compare with `concurrencyLimit`: the most queries that wait for any one
    /// service. A query that waits for its last shards only does not fill a slot everywhere.
    std::uint32_t slotsInUse() const;
    /// Mean time for which a query waits for one service.
    duration slotTime() const;
    /// \p hook is called soon after `slotsInUse` has fallen.
    void setSlotFreeHook(std::function<void()> hook);
    /// Recent p90 of the time from `run` to the answer.
    duration expectedServiceTime() const;
    /// No new work for this run of the server from now on.
    void noteServerLeaving(const server_id &server, start_id start);
    /// Connections that this instance may hold to the server at present; 0 if it is unknown.
    std::uint32_t connectionShare(const server_id &server) const;
    /// Whether new work may go to the server from here, and it is not suspect.
    bool usable(const server_id &server) const;
    /// Instances that may hold connections to the server, by descending rendezvous weight.
    std::vector<instance_id> connectionOwners(const server_id &server) const;
    /// Rises whenever connection shares or owners may have changed.
    std::uint64_t shareEpoch() const;
    /// Called on the first sign that a server is leaving, if the sign came in a reply.
    std::function<void(server_id, start_id)> onServerLeaving;

private:
    std::unique_ptr<engine_state> m_state;
};

} // namespace peridotwheel

#endif
