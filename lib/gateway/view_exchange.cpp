#include "view_exchange.h"

#include "instance_directory.h"
#include "peridotwheel/gateway/decision_log.h"
#include "view_codec.h"
#include "watcher_selection.h"

#include <algorithm>

namespace peridotwheel {

namespace {

constexpr const char *viewPath = "/peer/view";
/// A change must be applied within seconds, of which the watcher uses more than half.
constexpr duration requestInterval = milliseconds(400);
/// Without a view no request can be served, so the first one is requested more often.
constexpr duration initialRequestInterval = milliseconds(100);
constexpr duration requestTimeout = milliseconds(600);
/// Least time between two view requests to instances that showed to be ahead.
constexpr duration requestBackInterval = milliseconds(200);
/// Limit on view requests in flight while no view is known: one to a seed and one to
/// another instance in each of two cycles.
constexpr int maxRequestsWithoutView = 4;
/// Least time between requests for the full list of servers, randomised up to twice as long; only
/// changes are requested in between. Two instances that saw an entry change back and forth at
/// different times may leave out a change in what they send to a third one, which the full list
/// corrects.
constexpr duration fullViewInterval = seconds(8);
/// Share of the link's bandwidth that lists of servers and instances may take.
constexpr double listLinkShare = 0.4;
/// Age of a view without its lists; no requester adopts it.
constexpr duration withheldAge = std::chrono::hours(1);
/// Fractions of `applyWithin`. A view older than the first one is older than a watch lasts: its
/// watcher does not reach the store, and other instances are asked as well. Above the second one
/// more instances watch.
constexpr double freshAgeFraction = 0.6;
constexpr double staleAgeFraction = 0.75;

void leaveOutServers(view_snapshot &view)
{
    // The era tells how recent the view is, also without the servers.
    view.serversRevision = object_version(view.serversRevision.era(), 0);
    view.serversSince.reset();
    view.servers.clear();
    view.removedServers.clear();
    view.compressedServers.reset();
}

} // namespace

view_exchange::view_exchange(event_loop &loop, cluster_view &view, instance_directory &directory,
                             http_client &http, decision_log &log,
                             const view_exchange_options &options, report_hooks reports,
                             evacuation_hooks evacuations)
    : m_loop(loop)
    , m_view(view)
    , m_directory(directory)
    , m_http(http)
    , m_log(log)
    , m_random(options.seed)
    , m_self(directory.self())
    , m_freshAge(scaled(options.applyWithin, freshAgeFraction))
    , m_staleAge(scaled(options.applyWithin, staleAgeFraction))
    , m_startedAt(loop.now())
    , m_sweeper(loop, m_self,
                {[this](const member &target, std::function<void(bool answered)> done) {
                     probe(target, std::move(done));
                 },
                 [this](const member &target) { m_directory.removeLost(target.id); }})
    , m_listLink(options.link, listLinkShare, 0, loop.now())
    , m_configurationSource(options.link, loop.now())
    , m_configurationFetcher(loop, http, log, view.documents().configurationKind,
                             directory.self().peers, options.seed,
                             {[this] { return m_view.version(); },
                              [this](configuration_document document, const platform_object &object,
                                     const endpoint &source) {
                                  m_configurationSource.setNewest(std::move(document));
                                  m_view.applyConfiguration(object, source.address);
                              }})
    , m_reports(std::move(reports))
    , m_evacuations(std::move(evacuations))
{
}

view_exchange::~view_exchange() = default;

void view_exchange::start()
{
    runCycle();
}

void view_exchange::setMembers(const member_map &members)
{
    m_members = members;
    m_sweeper.setMembers(members);
    m_hasMembers = true;
    m_localWatchers.clear();
    m_remoteWatchers.clear();
    m_otherInstances.clear();
    std::map<data_centre_id, bool> seen;
    for (const auto &[id, m] : members) {
        if (id != m_self.id)
            m_otherInstances.push_back(m.peers);
        if (!seen.emplace(m.dataCentre, true).second)
            continue;
        const bool isLocalWatcher = m.dataCentre == m_self.dataCentre;
        for (const auto &watcher : watchersOf(members, m.dataCentre)) {
            if (watcher.id != m_self.id)
                (isLocalWatcher ? m_localWatchers : m_remoteWatchers).push_back(watcher.peers);
        }
    }
    runCycle();
}

void view_exchange::announceSelf()
{
    // Other instances learn of this one by their watchers, which read the list rarely.
    // Without a view, a request would be answered with all servers.
    if (m_isAnnounced || !hasView() || !m_directory.isListed() || !m_directory.ownVersion())
        return;
    m_isAnnounced = true;
    for (const auto &watchers : {m_localWatchers, m_remoteWatchers}) {
        for (const auto &watcher : watchers)
            requestView(watcher, false);
    }
}

void view_exchange::updateRole()
{
    watcher_selection_input input{m_members, m_self};
    input.hasMembers = m_hasMembers;
    input.sinceStart = m_loop.now() - m_startedAt;
    // A new instance has no view yet, so its age counts from the start: the watchers get the same
    // time to supply one as for a change.
    input.viewAge = std::min(viewAge(), input.sinceStart);
    input.staleAge = m_staleAge;
    m_view.setWatching(shouldWatch(input));
    m_directory.setReading(m_view.isWatching());
    m_directory.onStoreReturned(m_view.serversRevision().era());
    if (m_evacuations.setWatching)
        m_evacuations.setWatching(m_view.isWatching());
    if (m_evacuations.onStoreReturned)
        m_evacuations.onStoreReturned(m_view.serversRevision().era());
    // Without the store no entry can be removed, and an instance that is partitioned from the store
    // may be partitioned from the probed members as well.
    m_sweeper.setActive(m_hasMembers && m_view.isWatching() && !m_view.isStoreUnavailable());
}

duration view_exchange::viewAge() const
{
    return std::max(m_view.age(), m_configurationFetcher.behindFor());
}

void view_exchange::runCycle()
{
    updateRole();
    announceSelf();
    if (m_view.isWatching()) {
        poolOwnReports();
        if (m_view.isStoreUnavailable())
            requestFromOtherPeers();
    } else {
        requestFromLocalWatcher();
        if (m_localWatcherFails || m_localWatchers.empty())
            requestFromOtherPeers();
    }
    m_timer = m_loop.schedule(hasView() ? requestInterval : initialRequestInterval,
                              [this] { runCycle(); });
}

bool view_exchange::hasView() const
{
    return m_view.version().value() != 0 && m_view.serversRevision().value() != 0;
}

endpoint view_exchange::pickRandom(const std::vector<endpoint> &from)
{
    return from[m_random.below(from.size())];
}

void view_exchange::requestFromLocalWatcher()
{
    if (!m_localWatchers.empty())
        requestView(m_localWatchers[m_nextLocalWatcher++ % m_localWatchers.size()], true);
}

void view_exchange::requestFromOtherPeers()
{
    // Watchers most likely have a current view; any other instance may reach a watcher that this
    // one cannot reach.
    if (!m_remoteWatchers.empty())
        requestView(pickRandom(m_remoteWatchers), false);
    if (!m_otherInstances.empty())
        requestView(pickRandom(m_otherInstances), false);
    else if (!m_seeds.empty())
        requestView(pickRandom(m_seeds), false);
}

void view_exchange::poolOwnReports()
{
    m_reportPool.add(m_reports.take(), m_loop.now());
    m_reports.onHints(m_reportPool.hints(m_loop.now()));
}

object_version view_exchange::nextBaseRevision()
{
    const time_point now = m_loop.now();
    if (now < m_nextFullView)
        return m_view.serversRevision();
    m_nextFullView = now + scaled(fullViewInterval, 1 + m_random.fraction());
    return {};
}

http_request view_exchange::makeRequest(object_version known,
                                        std::optional<server_reports> reports) const
{
    http_request request;
    request.method = http_method::Post;
    request.path = viewPath;
    request.lane = viewPath;
    view_position position{m_view.version(),
                           known,
                           m_directory.revision(),
                           m_self.peers,
                           std::move(reports),
                           true,
                           true};
    position.registeredAt = m_directory.ownVersion();
    request.body = encodePosition(position);
    return request;
}

void view_exchange::probe(const member &target, std::function<void(bool answered)> done)
{
    m_http.send(target.peers, makeRequest(m_view.serversRevision(), std::nullopt), requestTimeout,
                [done = std::move(done)](const http_outcome &outcome) { done(outcome.ok()); });
}

void view_exchange::requestView(const endpoint &to, bool isLocalWatcher)
{
    if (to == m_self.peers)
        return;
    // When a large fleet starts, full views for all instances saturate the links of the few
    // instances that are asked; further requests would only delay each reply.
    if (!hasView() && m_requestsInFlight >= maxRequestsWithoutView)
        return;
    ++m_requestsInFlight;
    const auto asked = isLocalWatcher ? makeRequest(nextBaseRevision(), m_reports.take())
                                      : makeRequest(m_view.serversRevision(), std::nullopt);
    m_http.send(to, asked, requestTimeout,
                [this, to, isLocalWatcher, sentAt = m_loop.now(),
                 alive = std::weak_ptr<int>(m_alive)](const http_outcome &outcome) {
                    if (alive.expired())
                        return;
                    --m_requestsInFlight;
                    onReply(to, isLocalWatcher, m_loop.now() - sentAt, outcome);
                });
}

void view_exchange::requestViewBack(const endpoint &requester)
{
    // After a stall, requests of many instances are handled at once, and each reply may contain all
    // servers.
    const time_point now = m_loop.now();
    if (now < m_nextRequestBack)
        return;
    m_nextRequestBack = now + requestBackInterval;
    requestView(requester, false);
}

void view_exchange::onReply(const endpoint &from, bool isLocalWatcher, duration waited,
                            const http_outcome &outcome)
{
    constexpr int ok = 200;
    const bool answered = outcome.ok() && outcome.reply.status == ok;
    if (!answered) {
        m_localWatcherFails = m_localWatcherFails || isLocalWatcher;
        m_log.decision("peer_not_answering")
                .add("address", from.address)
                .addMs("waited_ms", waited);
        return;
    }
    if (m_onPeerHeard)
        m_onPeerHeard();
    const auto &documents = m_view.documents();
    auto read = decodeSnapshot(outcome.reply.body,
                               {documents.configurationKind, documents.serverKind, instanceKind});
    if (!read) {
        m_log.decision("peer_view_refused").add("reason", read.error().message);
        return;
    }
    if (isLocalWatcher) {
        m_localWatcherFails = read.value().age > m_freshAge;
        m_reports.onHints(read.value().hints);
    }
    if (read.value().evacuations && m_evacuations.merge)
        m_evacuations.merge(*read.value().evacuations);
    read.value().source = from.address;
    m_view.merge(read.value());
    m_configurationFetcher.announce(read.value().configurationVersion, from);
    m_directory.merge(read.value().instances, read.value().instancesRevision);
}

void view_exchange::handleRequest(const opaque_request &request, http_responder &client)
{
    if (request.target == viewPath) {
        if (const auto position = decodePosition(request.body))
            return sendView(position.value(), client);
    }
    if (request.target == configurationPath) {
        if (const auto wanted = decodeConfigurationRequest(request.body))
            return sendConfiguration(wanted.value(), client);
    }
    client.reply({404,
                  {},
                  "only POST /peer/view with the requester's position and "
                  "POST /peer/configuration with its version are answered\n"});
}

void view_exchange::sendView(const view_position &position, http_responder &client)
{
    const bool requesterIsAhead = m_view.version() < position.configuration ||
                                  m_view.serversRevision() < position.serversRevision;
    // After a restart of many instances, no other instance may have the address of the requester,
    // which still has a view. If the view here is not stale, changes arrive through the regular
    // exchange.
    if (requesterIsAhead && position.requesterAddress && viewAge() > m_staleAge)
        requestViewBack(*position.requesterAddress);
    fetchIfBehind(position);
    if (position.registeredAt)
        m_directory.onEntryKnown(*position.registeredAt);
    if (position.requesterAddress)
        m_configurationSource.recordHolder(*position.requesterAddress, position.configuration);
    view_snapshot all = m_view.snapshot(position.serversRevision);
    all.age = viewAge();
    if (position.fetchesConfiguration || m_view.version() <= position.configuration)
        all.configuration.reset();
    if (all.serversRevision <= position.serversRevision)
        leaveOutServers(all);
    if (m_directory.lastChangeRevision() > position.instancesRevision) {
        all.instancesRevision = m_directory.revision();
        all.instances = m_directory.objects();
    }
    if (m_evacuations.list)
        all.evacuations = m_evacuations.list();
    if (position.readsCompressedLists)
        limitLists(all);
    if (position.reports) {
        m_reportPool.add(*position.reports, m_loop.now());
        all.hints = m_reportPool.hints(m_loop.now());
    }
    client.reply({200, {}, encodeSnapshot(all)});
}

void view_exchange::fetchIfBehind(const view_position &position)
{
    if (position.configuration <= m_view.version() || !position.requesterAddress)
        return;
    const time_point now = m_loop.now();
    if (m_newestRequested <= m_view.version())
        m_behindSince = now;
    m_newestRequested = std::max(m_newestRequested, position.configuration);
    // The store usually supplies the version by then. It does not after its return from a copy,
    // which holds an older one until the operator writes again.
    if (viewAge() > m_staleAge || now - m_behindSince >= m_freshAge)
        m_configurationFetcher.announce(position.configuration, *position.requesterAddress);
}

void view_exchange::limitLists(view_snapshot &view)
{
    m_compressor.compress(view);
    std::size_t bytes = 0;
    for (const auto &list : {view.compressedServers, view.compressedInstances})
        bytes += list ? list->data.size() : 0;
    if (bytes == 0 || m_listLink.take(bytes, m_loop.now()))
        return;
    view.age = withheldAge;
    leaveOutServers(view);
    view.instancesRevision = object_version();
    view.instances.clear();
    view.compressedInstances.reset();
}

void view_exchange::offerConfiguration()
{
    if (!m_view.configuration())
        return;
    const auto offered = m_configurationSource.setNewest(m_view.version(), *m_view.configuration());
    if (!offered)
        m_log.state("configuration_not_offered").add("reason", offered.error().message);
}

void view_exchange::sendConfiguration(const configuration_request &request, http_responder &client)
{
    offerConfiguration();
    const configuration_reply reply = m_configurationSource.answer(request, m_loop.now());
    const bool isLastChunk =
            !reply.chunk.empty() && reply.offset + reply.chunk.size() == reply.documentBytes;
    if (isLastChunk) {
        m_log.decision("configuration_sent")
                .add("to", request.requesterAddress.address)
                .add("version", static_cast<std::int64_t>(reply.document.version.value()))
                .add("bytes", static_cast<std::int64_t>(reply.documentBytes));
    }
    client.reply({200, {}, encodeConfigurationReply(reply)});
}

} // namespace peridotwheel
