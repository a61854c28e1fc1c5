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
    /// Time of issue of the try that this instance has seen.
    std::optional<wall_time> issuedAt;
    /// The try may be sealed if no instance runs it: this instance has answered it as unknown and
    /// will not run it.
    bool maySeal = false;
};

struct claim_lookup_result
{
    /// False if the claim store could not be asked.
    bool read = false;
    /// What a resend would be answered; empty if there is no record.
    std::optional<query_answer> answer;
};

using claim_lookup_hook =
        std::function<void(const claim_lookup_request &, std::function<void(claim_lookup_result)>)>;

/// What the caller service asks other components; each hook may be empty.
struct caller_service_hooks
{
    /// Reads what the claim store knows about a request that this instance has not seen or whose
    /// outcome it does not know.
    claim_lookup_hook lookupClaim;
    /// Whether the backend servers can be asked. An instance becomes ready only then, and stays
    /// ready when they fail later: other instances would fare no better.
    std::function<bool()> connected;
    /// Present load of one class.
    std::function<class_load(const class_name &)> classLoad;
    /// Present load of the instance; its `retryAfter` is set while any class is refused.
    std::function<class_load()> systemLoad;
    /// Whether what this instance holds is as new as what its peers hold; asked until it is true
    /// once.
    std::function<bool()> isInitialSyncDone;
};

struct caller_service_options
{
    instance_id self;
    /// For generated request ids; must differ between instances and starts.
    std::uint64_t seed = 0;
    registry_limits registry;
    /// Lookups in the claim store that may wait at once; the platform serves about 2,000 reads/s to
    /// all instances together.
    std::size_t maxPendingLookups = 64;
    /// A status page is worth little if it comes late, so the lookup is given up after this.
    duration lookupTimeout = seconds(2);
};

/// The callers' interface: `POST /query`, the status pages and `GET /ready`.
///
/// Pass `handle` to an `http_server` as its request hook. The service must not outlive the
/// executor, but answers that arrive after its end are ignored.
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

    /// True if this instance has all it needs to serve and is not about to stop.
    bool ready();
    /// Queries that have been accepted and not answered; a drain waits for zero.
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
    /// The status page of \p id, which the claim store was asked about.
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
    // Services named by the two sections below, rebuilt when either is replaced.
    std::set<service_name> m_services;
    std::shared_ptr<const snapshot_set> m_servicesSnapshots;
    std::shared_ptr<const server_map> m_servicesServers;
    // Expires with the service, so that late hooks do nothing.
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

} // namespace peridotwheel

#endif
