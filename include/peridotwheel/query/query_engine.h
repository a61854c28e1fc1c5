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

/// Plain services have no shards. In coverage and results, the plain services of a query appear as
/// shards numbered from here, in the order in which the query names them.
constexpr std::uint32_t firstPlainShard = 0x80000000;

/// Options of the engine. The switches allow measurements to run a baseline without a mechanism.
struct query_engine_options
{
    bool hedging = true;
    bool retries = true;
    selection_policy selection = selection_policy::LeastExpectedWait;
    duration connectionHold = connection_share::defaultAbsenceHold;
    /// Answers are sent this long before the deadline, so that they reach the caller in time.
    duration answerMargin = milliseconds(5);
};

/// Scatters a query over the replicas of its shards and gathers the answer.
///
/// A query pins one shard map. Each server gets one attempt for all shards that it is asked for.
/// Late replies are ignored by the query, but count for the statistics of the server.
class query_engine : public query_executor
{
public:
    query_engine(event_loop &loop, blackboard &board, http_connector &connector,
                 counter_set &counters, event_sink events, std::uint64_t seed, instance_id self,
                 data_centre_id dataCentre, query_engine_options options = {});
    ~query_engine() override;

    void run(query_request request, answer_hook done) override;

    /// Returns how many queries may usefully run at once: the minimum over the services of the sum
    /// of the limits of their servers; at least 1.
    std::uint32_t concurrencyLimit() const;
    /// Returns whether at least one server of every known service has an established connection.
    bool connected() const;
    /// Returns the slots in use, to compare with `concurrencyLimit`: the largest number of queries
    /// that wait for the same service. A query that waits only for its last shards occupies no slot
    /// of the other services.
    std::uint32_t slotsInUse() const;
    /// Returns the mean time for which a query waits for one service.
    duration slotTime() const;
    /// Sets the hook that is called from the event loop after `slotsInUse` has decreased.
    void setSlotFreeHook(std::function<void()> hook);
    /// Returns the recent p90 of the time from `run` to the answer.
    duration expectedServiceTime() const;
    /// Stops sending new work to this run of the server.
    void noteServerLeaving(const server_id &server, start_id start);
    /// Returns the number of connections that this instance may currently hold to the server; 0 if
    /// the server is unknown.
    std::uint32_t connectionShare(const server_id &server) const;
    /// Returns whether this instance may send new work to the server and does not suspect it.
    bool usable(const server_id &server) const;
    /// Returns the instances that may hold connections to the server, by descending rendezvous
    /// weight.
    std::vector<instance_id> connectionOwners(const server_id &server) const;
    /// Returns a number that increases whenever connection shares or owners may have changed.
    std::uint64_t shareEpoch() const;
    /// Called when a reply of the server is the first notice that it is leaving.
    std::function<void(server_id, start_id)> onServerLeaving;

private:
    std::unique_ptr<engine_state> m_state;
};

} // namespace peridotwheel

#endif
