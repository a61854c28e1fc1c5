#include "peridotwheel/entry/entry_instance.h"

#include "peridotwheel/claims/claim_inquiry.h"
#include "peridotwheel/claims/claim_sweeper.h"
#include "peridotwheel/claims/claiming_executor.h"
#include "peridotwheel/drain/drain_controller.h"
#include "peridotwheel/entry/caller_service.h"
#include "peridotwheel/entry/operator_service.h"
#include "peridotwheel/http/client_memory.h"
#include "peridotwheel/http/http_client.h"
#include "peridotwheel/http/http_server.h"
#include "peridotwheel/http/socket_connector.h"
#include "peridotwheel/http/stream_connector.h"
#include "peridotwheel/limits/admission_controller.h"
#include "peridotwheel/platform/http_platform_client.h"
#include "peridotwheel/platform/platform_health_tracker.h"
#include "peridotwheel/platform/watcher_election.h"
#include "peridotwheel/relay/relay_service.h"
#include "peridotwheel/relay/relaying_executor.h"
#include "peridotwheel/support/hash.h"
#include "peridotwheel/support/libevent_loop.h"
#include "peridotwheel/support/log.h"
#include "peridotwheel/timeline/event_ring.h"

#include <limits>

namespace peridotwheel {

namespace {

/// Returns the seed of one component. Each component has its own random sequence, so that a change
/// in one does not shift the others. The instance and its start are part of the seed: instances
/// that were given equal or neighbouring seeds must not share claim nonces, request ids or the
/// jitter of refusals.
std::uint64_t derivedSeed(const settings &s, const entry_options &o, std::string_view component)
{
    const std::uint64_t start = stableHash(std::to_string(o.start.value()), o.seed);
    return stableHash(component, stableHash(s.id.value(), start));
}

http_platform_options platformOptions(const settings &s)
{
    http_platform_options options;
    options.platform = s.platform;
    options.dataCentre = s.dataCentre;
    options.onEntriesSkipped = [](std::size_t count, const std::string &reason) {
        LOG(WARNING) << "event=platform-entries-skipped count=" << count
                     << " reason=" << logValue(reason);
    };
    return options;
}

/// Larger replies are treated as failed. Configuration documents are the largest replies: the
/// platform stores values of up to a megabyte.
constexpr std::size_t maxReplyBytes = 4 * 1024 * 1024;

/// Memory that the limits of all replies in progress allow for.
constexpr std::size_t processMemoryBytes = 256 * 1024 * 1024;

/// Allowance for callers' requests that are running or ask for a status page while the admission
/// queue is full.
constexpr std::size_t unqueuedRequestAllowance = 256;

http_server_limits callerLimits(const settings &s)
{
    http_server_limits limits;
    limits.maxBodyBytes = s.maxBodyBytes;
    limits.maxConnections = s.maxConnections;
    limits.maxWaitingRequests = s.maxWaiting + unqueuedRequestAllowance;
    return limits;
}

/// Memory of callers' connections; their number is limited by the listener.
std::shared_ptr<client_memory> makeCallerMemory(counter_set &counters)
{
    client_limits limits = client_limits::forProcess(processMemoryBytes, 0);
    limits.connections = std::numeric_limits<std::size_t>::max();
    counter &dropped = counters.at("callers.dropped.memory");
    return std::make_shared<client_memory>(
            limits,
            client_memory::decision_hooks{[&dropped](client_memory::exceeded_limit,
                                                     client_phase phase, std::size_t bytes) {
                                              dropped.add();
                                              LOG(WARNING) << "event=caller-dropped phase="
                                                           << clientPhaseName(phase)
                                                           << " bytes=" << bytes;
                                          },
                                          [](client_memory::exceeded_limit, std::size_t) {}});
}

admission_queue::options admissionOptions(const settings &s, const entry_options &o)
{
    admission_queue::options options = o.admission;
    options.maxQueued = s.maxWaiting;
    return options;
}

http_server_limits peerLimits()
{
    http_server_limits limits;
    limits.maxBodyBytes = maxPeerBodyBytes;
    // Requests for relayed parts stay open for as long as their queries run.
    limits.maxConnections = 4096;
    limits.maxWaitingRequests = 4096;
    return limits;
}

http_server_limits operatorLimits()
{
    http_server_limits limits;
    limits.maxBodyBytes = 1024;
    limits.maxConnections = 64;
    return limits;
}

relay_hooks relayHooks(const query_engine &engine)
{
    return {[&engine](const server_id &id) { return engine.connectionShare(id); },
            [&engine](const server_id &id) { return engine.usable(id); },
            [&engine](const server_id &id) { return engine.connectionOwners(id); },
            [&engine] { return engine.shareEpoch(); }};
}

} // namespace

std::unique_ptr<http_connector> makeEntryConnector(libevent_loop &loop)
{
    auto memory = std::make_shared<reply_memory>(
            reply_memory_limits::forProcess(processMemoryBytes),
            [](std::size_t bytes) { LOG(WARNING) << "event=reply_given_up bytes=" << bytes; });
    return std::make_unique<stream_connector>(
            loop, std::make_unique<socket_connector>(loop, maxReplyBytes, std::move(memory),
                                                     tcp_keepalive::Off));
}

/// The components in the order of their dependencies; they are destroyed in reverse order.
struct entry_instance::components
{
    components(libevent_loop &loop, const settings &s, const entry_options &options);

    endpoint boundAddress(const http_server &server, const endpoint &configured) const
    {
        return {configured.address, server.boundPort()};
    }

    blackboard board;
    counter_set counters;
    event_ring events;
    random_source claimRandom;
    std::unique_ptr<http_connector> connector;
    pooled_http_client http;
    http_platform_client platform;
    platform_health_tracker health;
    query_engine engine;
    relaying_executor relay;
    relay_service relayedParts;
    admission_controller admission;
    claiming_executor claiming;
    claim_lookup claimLookup;
    claim_inquiry claimInquiry;
    caller_service callers;
    http_server callerServer;
    drain_controller drain;

    // Created once the listeners are open, since the instance's own record contains their ports.
    std::unique_ptr<control_plane> control;
    std::unique_ptr<operator_service> operators;
    std::unique_ptr<claim_sweeper> sweeper;
    std::unique_ptr<http_server> peerServer;
    std::unique_ptr<http_server> operatorServer;
};

entry_instance::components::components(libevent_loop &loop, const settings &s,
                                       const entry_options &o)
    : events(loop, o.timelineCapacity)
    , claimRandom(derivedSeed(s, o, "claims"))
    , connector(o.makeConnector ? o.makeConnector(loop) : makeEntryConnector(loop))
    , http(*connector)
    , platform(http, platformOptions(s))
    , health(loop, board, events.sink())
    , engine(loop, board, *connector, counters, events.sink(), derivedSeed(s, o, "engine"), s.id,
             s.dataCentre, o.engine)
    , relay(loop, board, engine, http, relayHooks(engine), counters, events.sink(),
            derivedSeed(s, o, "relay"), s.id, o.start, s.dataCentre)
    , relayedParts(loop, board, engine, relayHooks(engine), counters)
    , admission(loop, board, relay,
                {[this] { return relay.concurrencyLimit(engine.concurrencyLimit()); },
                 [this] { return relay.expectedServiceTime(engine.expectedServiceTime()); },
                 [this] {
                     const bool direct = relay.callsDirectly();
                     return direct ? std::make_optional(engine.slotsInUse()) : std::nullopt;
                 },
                 [this] { return relay.callsDirectly() ? engine.slotTime() : duration(); }},
                counters, events.sink(), derivedSeed(s, o, "admission"), admissionOptions(s, o))
    , claiming(loop, platform, admission, s.id, claimRandom, events.sink(), o.claims)
    , claimLookup(platform)
    , claimInquiry(loop, platform, s.id, o.claims)
    , callers(loop, board, claiming,
              {[this, &loop, limits = o.claims](const claim_lookup_request &question, auto done) {
                   const auto onView = [&loop, limits, done](const claim_view &v) {
                       done({v.from == claim_view::source::Store,
                             answerFromClaim(v, loop.wallNow(), limits)});
                   };
                   if (question.issuedAt)
                       claimInquiry.lookUpOrSeal(question.id, *question.issuedAt, question.maySeal,
                                                 onView);
                   else
                       claimLookup.lookUp(question.id, onView);
               },
               [this] { return engine.connected(); },
               [this](const class_name &name) { return admission.loadOf(name); },
               [this] { return admission.totalLoad(); },
               [this] { return control && control->isInitialSyncDone(); }},
              counters, events.sink(), {s.id, derivedSeed(s, o, "request-ids"), {}})
    , callerServer(
              loop, callerLimits(s),
              [this](const http_request &request, const std::shared_ptr<http_responder> &out) {
                  callers.handle(request, out);
              },
              makeCallerMemory(counters))
    , drain(loop, board,
            {[this] {
                 return callers.inProgress() + claiming.pendingRecords() +
                        relayedParts.inProgress();
             },
             [this] {
                 if (control)
                     control->announceLeaving();
             },
             [this] { callerServer.stopListening(); }},
            events.sink(), {o.drainGrace, s.shutdownTimeout})
{
    engine.setSlotFreeHook([this] { admission.onSlotFree(); });
    platform.setHealthHook([this](bool answered) { health.recordCall(answered); });
}

entry_instance::entry_instance(libevent_loop &loop, settings s, entry_options options)
    : m_loop(loop)
    , m_settings(std::move(s))
    , m_options(std::move(options))
    , m_components(std::make_unique<components>(loop, m_settings, m_options))
{
}

entry_instance::~entry_instance() = default;

result<void> entry_instance::start()
{
    components &p = *m_components;
    p.peerServer = std::make_unique<http_server>(
            m_loop, peerLimits(),
            [&p](const http_request &request, std::shared_ptr<http_responder> out) {
                if (relay_service::handles(request.path))
                    return p.relayedParts.handle(request, out);
                p.control->peerHook()(request, std::move(out));
            });
    p.operatorServer = std::make_unique<http_server>(
            m_loop, operatorLimits(),
            [&p](const http_request &request, const std::shared_ptr<http_responder> &out) {
                out->reply(p.operators->handle(request));
            });
    BOOST_OUTCOME_TRYV(p.callerServer.listen(m_settings.callers));
    BOOST_OUTCOME_TRYV(p.peerServer->listen(m_settings.peers));
    BOOST_OUTCOME_TRYV(p.operatorServer->listen(m_settings.operators));

    member self;
    self.id = m_settings.id;
    self.start = m_options.start;
    self.dataCentre = m_settings.dataCentre;
    self.peers = peersAddress();
    self.operators = operatorsAddress();
    p.control = std::make_unique<control_plane>(
            m_loop, p.board, p.platform, p.http, p.counters, p.events.sink(),
            derivedSeed(m_settings, m_options, "control"), self, m_options.control);
    p.operators = std::make_unique<operator_service>(p.board, p.counters, p.events, self);
    p.engine.onServerLeaving = [&p](const server_id &id, start_id start) {
        p.control->noteServerLeaving(id, start);
    };
    // One active sweeper in each data centre, so that the partition of one data centre does not
    // stop the removal of claims everywhere.
    p.sweeper = std::make_unique<claim_sweeper>(m_loop, p.platform, m_options.claims, [&p, self] {
        return isWatcher(p.board.members.value(), self, "claims", 1);
    });
    p.control->start();
    p.sweeper->start();
    p.drain.beginServing();
    LOG(INFO) << "event=started instance=" << logValue(self.id.value())
              << " dataCentre=" << logValue(self.dataCentre.value())
              << " callers=" << callersAddress().address << ":" << callersAddress().port;
    return success();
}

void entry_instance::shutDown(std::function<void()> done)
{
    LOG(INFO) << "event=draining instance=" << logValue(m_settings.id.value());
    m_components->drain.shutDown([this, done = std::move(done)] {
        finishShutDown();
        done();
    });
}

void entry_instance::finishShutDown()
{
    if (m_components->control)
        m_components->control->removeRegistration();
    LOG(INFO) << "event=stopped instance=" << logValue(m_settings.id.value());
}

bool entry_instance::ready() const
{
    return m_components->callers.ready();
}

endpoint entry_instance::callersAddress() const
{
    return m_components->boundAddress(m_components->callerServer, m_settings.callers);
}

endpoint entry_instance::peersAddress() const
{
    return m_components->boundAddress(*m_components->peerServer, m_settings.peers);
}

endpoint entry_instance::operatorsAddress() const
{
    return m_components->boundAddress(*m_components->operatorServer, m_settings.operators);
}

const blackboard &entry_instance::board() const
{
    return m_components->board;
}

const counter_set &entry_instance::counters() const
{
    return m_components->counters;
}

} // namespace peridotwheel
