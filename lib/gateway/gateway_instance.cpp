#include "peridotwheel/gateway/gateway_instance.h"

#include "allotment_exchange.h"
#include "evacuation_view.h"
#include "instance_directory.h"
#include "metrics_text.h"
#include "peridotwheel/counters/counter_set.h"
#include "peridotwheel/gateway/decision_log.h"
#include "peridotwheel/gateway/gateway.h"
#include "peridotwheel/http/client_memory.h"
#include "peridotwheel/http/socket_connector.h"
#include "peridotwheel/http/stream_server.h"
#include "peridotwheel/support/libevent_loop.h"
#include "view_exchange.h"

#include <algorithm>

namespace peridotwheel {

namespace {

/// Size of the largest reply that is accepted from a backend server.
constexpr std::size_t maxServerReplyBytes = 8 * 1024 * 1024;
/// The load balancer checks readiness once a second and stops sending after two failed checks;
/// connections that it opened before may still be arriving then.
constexpr duration acceptDurationAfterStop = milliseconds(2600);
/// Time before the forced kill at which the process exits by itself.
constexpr duration stopMargin = milliseconds(400);
/// Time before the exit at which all requests are answered, so that the answers can be sent.
constexpr duration lastAnswerMargin = milliseconds(200);
/// Teams on the metrics page, which stays short with a thousand teams.
constexpr std::size_t shownTeams = 20;
constexpr duration drainCheckInterval = milliseconds(50);

gateway_options optionsFrom(const gateway_settings &s, std::uint64_t secret)
{
    gateway_options o;
    o.self = s.id;
    o.dataCentre = s.dataCentre;
    o.regions = s.regions;
    o.extraAttempts = s.extraAttempts;
    o.link = s.link;
    o.evacuateWithin = s.evacuateWithin;
    o.secret = secret;
    return o;
}

member selfFrom(const gateway_settings &s)
{
    member m;
    m.id = s.id;
    m.dataCentre = s.dataCentre;
    m.peers = s.peers;
    return m;
}

} // namespace

class gateway_instance::impl
{
public:
    impl(libevent_loop &loop, gateway_environment environment, gateway_settings settings,
         decision_log &log, std::uint64_t seed);

    result<void> start();
    void shutDown(std::function<void()> done);
    void reload(const result<gateway_settings> &settings);

private:
    instance_directory::initial_read initialRead() const;
    std::unique_ptr<evacuation_view> makeEvacuationView(platform_client &store, std::uint64_t seed);
    evacuation_hooks evacuationHooks();
    /// Returns all instances, or none until a list of them has been received. An instance that knew
    /// only itself would take itself for the owner of all teams.
    const member_map &knownMembers() const;
    std::shared_ptr<client_memory> makeClientMemory();
    void answerReadiness(http_responder &client);
    void answerMetrics(http_responder &client);
    bool isReady() const { return !m_stopping && m_gateway.isReady(); }
    void checkDrained();
    void stop();

    libevent_loop &m_loop;
    decision_log &m_log;
    gateway_settings m_settings;
    counter_set m_counters;
    std::shared_ptr<reply_memory> m_serverReplies;
    socket_connector m_serverConnector;
    gateway m_gateway;
    instance_directory m_directory;
    cluster_view m_view;
    /// Null if the settings have no evacuations.
    std::unique_ptr<evacuation_view> m_evacuations;
    std::function<std::uint64_t()> m_invalidEras;
    allotment_exchange m_allotments;
    view_exchange m_exchange;
    std::shared_ptr<client_memory> m_clients;
    stream_server m_callers;
    stream_server m_readiness;
    stream_server m_metrics;
    stream_server m_peers;
    std::function<void()> m_onStopped;
    const member_map m_noMembers;
    bool m_stopping = false;
    bool m_wasReady = false;
    time_point m_stopDeadline;
    timer m_acceptTimer;
    timer m_drainCheckTimer;
};

gateway_instance::impl::impl(libevent_loop &loop, gateway_environment environment,
                             gateway_settings settings, decision_log &log, std::uint64_t seed)
    : m_loop(loop)
    , m_log(log)
    , m_settings(std::move(settings))
    , m_serverReplies(std::make_shared<reply_memory>(
              reply_memory_limits::forProcess(m_settings.memoryBytes),
              [this](std::size_t bytes) {
                  m_counters.at("gateway.replies_given_up").add();
                  m_log.decision("server_reply_given_up")
                          .add("bytes", static_cast<std::int64_t>(bytes));
              }))
    , m_serverConnector(loop, maxServerReplyBytes, m_serverReplies, tcp_keepalive::Off)
    , m_gateway(loop, m_serverConnector, environment.dialect, m_counters, log,
                optionsFrom(m_settings, environment.secret))
    , m_directory(loop, environment.store, log, selfFrom(m_settings), seed,
                  [this](const member_map &members) {
                      m_gateway.setInstances(members);
                      m_allotments.updateMembers();
                      m_exchange.setMembers(members);
                  })
    , m_view(loop, environment.store, m_counters, log, seed, m_settings.applyWithin,
             std::move(environment.documents),
             {[this](route_table_ptr routes) {
                  m_allotments.setRoutes(*routes);
                  m_gateway.setRoutes(std::move(routes));
              },
              [this](const backend_map &servers) { m_gateway.setServers(servers); }})
    , m_evacuations(makeEvacuationView(environment.store, seed))
    , m_invalidEras(std::move(environment.invalidEras))
    , m_allotments(loop, environment.http, m_counters, log,
                   {m_settings.id, start_id(seed), m_settings.allotments,
                    [this]() -> const member_map & { return knownMembers(); }, m_settings.peers,
                    [this] { return m_directory.isListed(); },
                    [this] { return m_directory.revision(); }})
    , m_exchange(loop, m_view, m_directory, environment.http, log,
                 {seed, m_settings.applyWithin, m_settings.link},
                 {[this] { return m_gateway.takeReports(); },
                  [this](const server_hints &hints) { m_gateway.setHints(hints); }},
                 evacuationHooks())
    , m_clients(makeClientMemory())
    , m_callers(
              loop, [this] { return m_gateway.limits(); },
              [this](const opaque_request &request, std::shared_ptr<http_responder> client) {
                  m_gateway.handle(request, std::move(client));
              },
              m_clients)
    , m_readiness(
              loop, [] { return stream_limits(); },
              [this](const opaque_request &, const std::shared_ptr<http_responder> &client) {
                  answerReadiness(*client);
              })
    , m_metrics(
              loop, [] { return stream_limits(); },
              [this](const opaque_request &, const std::shared_ptr<http_responder> &client) {
                  answerMetrics(*client);
              })
    , m_peers(
              loop, [] { return stream_limits(); },
              [this](const opaque_request &request, const std::shared_ptr<http_responder> &client) {
                  m_allotments.onPeerHeard();
                  if (request.target == allotmentPath)
                      m_allotments.handleRequest(request, *client);
                  else
                      m_exchange.handleRequest(request, *client);
              })
{
}

std::unique_ptr<evacuation_view> gateway_instance::impl::makeEvacuationView(platform_client &store,
                                                                            std::uint64_t seed)
{
    if (!m_settings.evacuateWithin)
        return nullptr;
    return std::make_unique<evacuation_view>(
            m_loop, store, m_counters, m_log,
            evacuation_view::settings{m_view.documents().evacuationKind, seed + 2,
                                      *m_settings.evacuateWithin},
            [this](const std::set<data_centre_id> &dataCentres) {
                m_gateway.setEvacuated(dataCentres);
            });
}

evacuation_hooks gateway_instance::impl::evacuationHooks()
{
    if (!m_evacuations)
        return {};
    return {[this] { return m_evacuations->list(); },
            [this](const evacuation_list &list) { m_evacuations->merge(list); },
            [this](bool watching) { m_evacuations->setWatching(watching); },
            [this](store_era era) { m_evacuations->onStoreReturned(era); }};
}

std::shared_ptr<client_memory> gateway_instance::impl::makeClientMemory()
{
    using limit = client_memory::exceeded_limit;
    const auto nameOf = [](limit l) { return l == limit::Memory ? "memory" : "connections"; };
    client_memory::decision_hooks hooks;
    hooks.onDropped = [this, nameOf](limit l, client_phase phase, std::size_t bytes) {
        m_counters.at(std::string("gateway.clients_dropped.") + nameOf(l)).add();
        m_log.decision("client_dropped")
                .add("limit", nameOf(l))
                .add("phase", clientPhaseName(phase))
                .add("bytes", static_cast<std::int64_t>(bytes));
    };
    hooks.onRefused = [this, nameOf](limit l, std::size_t bytes) {
        m_counters.at(std::string("gateway.clients_refused.") + nameOf(l)).add();
        m_log.decision("client_refused")
                .add("limit", nameOf(l))
                .add("bytes", static_cast<std::int64_t>(bytes));
    };
    return std::make_shared<client_memory>(
            client_limits::forProcess(m_settings.memoryBytes, m_settings.maxDescriptors),
            std::move(hooks));
}

result<void> gateway_instance::impl::start()
{
    m_gateway.setOutdatedViewHook(
            [this] { m_view.refreshServers("an address has another server"); });
    BOOST_OUTCOME_TRYV(m_callers.listen(m_settings.callers));
    BOOST_OUTCOME_TRYV(m_readiness.listen(m_settings.readiness));
    BOOST_OUTCOME_TRYV(m_metrics.listen(m_settings.metrics));
    BOOST_OUTCOME_TRYV(m_peers.listen(m_settings.peers));
    m_log.state("started").add("data_centre", m_settings.dataCentre.value());
    m_gateway.setAllotments(
            {[this](const team_spec &team, time_point deadline, allotment_callback done) {
                 m_allotments.take(team, deadline, std::move(done));
             },
             [this](const allotment_token &token) { m_allotments.giveBack(token); }});
    m_exchange.setPeerHeardHook([this] { m_allotments.onPeerHeard(); });
    m_exchange.setSeeds(m_settings.seeds);
    m_directory.start(initialRead());
    m_exchange.start();
    return success();
}

instance_directory::initial_read gateway_instance::impl::initialRead() const
{
    using initial_read = instance_directory::initial_read;
    if (!m_settings.firstStart)
        return initial_read::Immediate;
    // At the first start of all instances, the seeds read the directory on behalf of the others.
    const auto &seeds = m_settings.seeds;
    const bool isSeed =
            seeds.empty() || std::find(seeds.begin(), seeds.end(), m_settings.peers) != seeds.end();
    return isSeed ? initial_read::Delayed : initial_read::IfNoPeerResponds;
}

const member_map &gateway_instance::impl::knownMembers() const
{
    return m_directory.hasBeenRead() ? m_directory.members() : m_noMembers;
}

void gateway_instance::impl::answerReadiness(http_responder &client)
{
    const bool ready = isReady();
    if (ready != m_wasReady)
        m_log.state(ready ? "ready" : "not_ready");
    m_wasReady = ready;
    client.reply(ready ? http_reply{200, {}, "ready\n"}
                       : http_reply{503, {}, "no configuration, no servers, or stopping\n"});
}

void gateway_instance::impl::answerMetrics(http_responder &client)
{
    m_counters.at("gateway.in_flight").set(m_gateway.requestsInFlight());
    m_counters.at("gateway.admitted_permille")
            .set(static_cast<std::uint64_t>(1000 * m_gateway.lowestAdmissionShare()));
    m_counters.at("gateway.server_reply_bytes").set(m_serverReplies->bytes());
    m_counters.at("gateway.client_bytes").set(m_clients->bytes());
    m_counters.at("gateway.client_connections").set(m_callers.openConnections());
    m_counters.at("process.processor_ms")
            .set(static_cast<std::uint64_t>(toMilliseconds(m_loop.processorTime())));
    m_counters.at("log.lines_left_out").set(m_log.droppedLines());
    if (m_invalidEras)
        m_counters.at("platform.invalid_eras").set(m_invalidEras());
    client.reply({200,
                  {{"Content-Type", "text/plain"}},
                  metricsText(m_counters, m_gateway.busiestTeams(shownTeams))});
}

void gateway_instance::impl::shutDown(std::function<void()> done)
{
    if (m_stopping)
        return;
    m_log.state("stopping")
            .add("in_flight", static_cast<std::int64_t>(m_callers.requestsInFlight()));
    m_stopping = true;
    m_onStopped = std::move(done);
    m_stopDeadline = m_loop.now() + m_settings.stopWithin - stopMargin;
    m_directory.deregister();
    m_allotments.handOver();
    m_gateway.finishBy(m_stopDeadline - lastAnswerMargin);
    m_callers.beginDrain();
    const duration accept = std::min(acceptDurationAfterStop, m_settings.stopWithin / 2);
    m_acceptTimer = m_loop.schedule(accept, [this] {
        m_callers.stopAccepting();
        checkDrained();
    });
}

void gateway_instance::impl::checkDrained()
{
    const bool isDeadlineOver = m_loop.now() >= m_stopDeadline;
    const bool isIdle = m_callers.requestsInFlight() == 0 && m_callers.openConnections() == 0;
    if (isDeadlineOver || isIdle)
        return stop();
    m_drainCheckTimer = m_loop.schedule(drainCheckInterval, [this] { checkDrained(); });
}

void gateway_instance::impl::stop()
{
    m_log.state("stopped").add("in_flight",
                               static_cast<std::int64_t>(m_callers.requestsInFlight()));
    m_log.flush();
    const auto done = std::move(m_onStopped);
    done();
}

void gateway_instance::impl::reload(const result<gateway_settings> &settings)
{
    if (!settings) {
        m_log.state("reload_refused").add("reason", settings.error().message);
        return;
    }
    m_settings.seeds = settings.value().seeds;
    m_exchange.setSeeds(m_settings.seeds);
    m_settings.stopWithin = settings.value().stopWithin;
    m_log.state("reloaded").add("seeds", static_cast<std::int64_t>(m_settings.seeds.size()));
}

gateway_instance::gateway_instance(libevent_loop &loop, gateway_environment environment,
                                   gateway_settings settings, decision_log &log, std::uint64_t seed)
    : m_impl(std::make_unique<impl>(loop, std::move(environment), std::move(settings), log, seed))
{
}

gateway_instance::~gateway_instance() = default;

result<void> gateway_instance::start()
{
    return m_impl->start();
}

void gateway_instance::shutDown(std::function<void()> done)
{
    m_impl->shutDown(std::move(done));
}

void gateway_instance::reload(const result<gateway_settings> &settings)
{
    m_impl->reload(settings);
}

} // namespace peridotwheel
