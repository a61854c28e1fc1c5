#ifndef PERIDOTWHEEL_ENTRY_CALLER_SERVICE_H
#define PERIDOTWHEEL_ENTRY_CALLER_SERVICE_H

#include "peridotwheel/counters/counter_set.h"
#include "peridotwheel/entry/query_parser.h"
#include "peridotwheel/http/http_server.h"
#include "peridotwheel/query/query_executor.h"
#include "peridotwheel/state/blackboard.h"
#include "peridotwheel/status/request_registry.h"
#include "peridotwheel/status/status_text.h"
#include "peridotwheel/support/event_loop.h"
#include "peridotwheel/support/random_source.h"
#include "peridotwheel/timeline/timeline_event.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>

namespace peridotwheel {

struct claim_lookup_request
{
    request_id id;
    /// Time of issue of the try that this instance received, if any.
    std::optional<wall_time> issuedAt;
    /// Whether the try may be sealed if no instance runs it. Set if this instance has answered the
    /// try with an unknown outcome and will not run it.
    bool maySeal = false;
};

struct claim_lookup_result
{
    /// False if the claim store could not be read.
    bool read = false;
    /// Answer that a resend of the request would get; empty if there is no record.
    std::optional<query_answer> answer;
};

using claim_lookup_hook =
        std::function<void(const claim_lookup_request &, std::function<void(claim_lookup_result)>)>;

/// Queries of the caller service to other components; each hook may be empty.
struct caller_service_hooks
{
    /// Reads the claim store's record of a request that this instance has not received or whose
    /// outcome it does not hold.
    claim_lookup_hook lookupClaim;
    /// Whether the backend servers can be reached. Required once for readiness. The instance stays
    /// ready if they fail later, because other instances would not reach them either.
    std::function<bool()> connected;
    /// Current load of one class.
    std::function<class_load(const class_name &)> classLoad;
    /// Current load of the instance; its `retryAfter` is set while any class is refused.
    std::function<class_load()> systemLoad;
    /// Whether the initial synchronisation with a peer has finished or timed out; called until it
    /// returns true for the first time.
    std::function<bool()> isInitialSyncDone;
};

struct caller_service_options
{
    instance_id self;
    /// For generated request ids; must differ between instances and starts.
    std::uint64_t seed = 0;
    registry_limits registry;
    /// Maximum number of concurrent lookups in the claim store; the platform serves about
    /// 2,000 reads/s to all instances together.
    std::size_t maxPendingLookups = 64;
    /// Timeout of a lookup in the claim store. A late status page is of little use, so it is then
    /// rendered without the claim record.
    duration lookupTimeout = seconds(2);
};

/// The callers' interface: `POST /query`, the status pages and `GET /ready`.
///
/// Pass `handle` to an `http_server` as its request hook. The service must not outlive the
/// executor; answers that arrive after the service was destroyed are ignored.
class caller_service
{
public:
    caller_service(event_loop &loop, const blackboard &board, query_executor &executor,
                   caller_service_hooks hooks, counter_set &counters, event_sink events,
                   caller_service_options options);
    caller_service(const caller_service &) = delete;
    caller_service &operator=(const caller_service &) = delete;
    ~caller_service();

    void handle(const http_request &request, const std::shared_ptr<http_responder> &out);

    /// Returns true if this instance can serve queries and is not shutting down.
    bool ready();
    /// Returns the number of accepted queries without an answer; a drain waits for zero.
    std::size_t inProgress() const { return m_inProgress; }

private:
    using responder_ptr = std::shared_ptr<http_responder>;
    struct pending_lookup;

    void handleQuery(const http_request &request, const responder_ptr &out);
    void runQuery(query_request request, const responder_ptr &out);
    void finishQuery(const request_id &id, request_registry::token token,
                     const std::optional<query_answer> &earlier, query_answer answer,
                     const responder_ptr &out);
    void replyInputError(const input_error &e, const responder_ptr &out);
    void replyUnregistered(const query_request &request, const query_answer &answer,
                           const responder_ptr &out);
    void replyReady(const responder_ptr &out);
    void replySystemStatus(const responder_ptr &out);
    void replyClassStatus(const std::string &name, const responder_ptr &out);
    void replyRequestStatus(const std::string &id, const responder_ptr &out);
    void lookUp(const claim_lookup_request &question, const responder_ptr &out);
    void finishLookup(const std::shared_ptr<pending_lookup> &l, const claim_lookup_result &found);
    /// Returns the status page of \p id, given the result of its lookup in the claim store.
    std::string textAfterLookup(const request_id &id, const claim_lookup_result &found);

    bool hasConfigurationAndShardMap() const;
    bool knowsService(const service_name &name);
    request_id newId();
    const status_words &words() const;

    event_loop &m_loop;
    const blackboard &m_board;
    query_executor &m_executor;
    caller_service_hooks m_hooks;
    counter_set &m_counters;
    event_sink m_events;
    caller_service_options m_options;
    request_registry m_registry;
    random_source m_random;
    std::size_t m_inProgress = 0;
    time_point m_started;
    bool m_initialConnectDone = false;
    bool m_initialSyncDone = false;
    std::set<std::shared_ptr<pending_lookup>> m_pendingLookups;
    // Services named by the two section values below, rebuilt when either is replaced.
    std::set<service_name> m_services;
    std::shared_ptr<const snapshot_set> m_servicesSnapshots;
    std::shared_ptr<const server_map> m_servicesServers;
    // Expires with the service, so that hooks called after its destruction do nothing.
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

} // namespace peridotwheel

#endif
