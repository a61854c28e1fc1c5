#include "gateway_state.h"

#include "running_request.h"
#include "standing_connections.h"

#include <algorithm>
#include <array>
#include <utility>

namespace peridotwheel {

namespace {

constexpr duration tickInterval = milliseconds(50);
/// Servers without attempts are maintained once in this many ticks. Visiting all servers of
/// hundreds of shards at each tick would take most of the processor time of a small instance.
constexpr unsigned ticksPerRound = 5;
/// A tick delayed by more than this means that the process was stalled, so servers are not blamed
/// for the silence in that time.
constexpr duration tickDelayOfStall = milliseconds(150);
/// Round trips assumed until the first connection has measured them.
constexpr duration sameDataCentreRoundTrip = milliseconds(1);
constexpr duration sameRegionRoundTrip = milliseconds(2);
constexpr duration otherRegionRoundTrip = milliseconds(40);
/// Time within which the list of instances is expected from the store or a peer. An instance that
/// still has none afterwards takes one connection per server.
constexpr duration memberDiscoveryTimeout = seconds(3);
/// Fraction of a server's connections that all instances use together. The rest is for instances
/// that this one does not know of yet.
constexpr double usableConnectionFraction = 0.9;
/// Admission is logged as restricted when the share of admitted queries falls to this value.
constexpr double restrictedAdmissionShare = 0.9;
/// Servers that appear within this time after the first list are as old as those in it: a list from
/// another instance or from a store that is being filled may be incomplete.
constexpr duration knownServersTime = seconds(5);
/// Least time after which a server's limit lapses that it does not name again. Instances with a
/// share get an answer about once a second.
constexpr duration minLimitLifetime = seconds(3);

std::string limitText(std::optional<request_rate> limit)
{
    return limit ? std::to_string(limit->perSecond()) : "none";
}

} // namespace

gateway_counters::gateway_counters(counter_set &set)
    : requests(set.at("gateway.requests"))
    , answered(set.at("gateway.answered"))
    , partial(set.at("gateway.partial_answers"))
    , late(set.at("gateway.late_answers"))
    , refused(set.at("gateway.refused_not_run"))
    , unauthenticated(set.at("gateway.unauthenticated"))
    , overAllotment(set.at("gateway.over_allotment"))
    , failed(set.at("gateway.failed"))
    , clientsGone(set.at("gateway.clients_gone"))
    , attempts(set.at("gateway.attempts"))
    , secondAttempts(set.at("gateway.second_attempts"))
    , repeatedAttempts(set.at("gateway.repeated_attempts"))
    , budgetDenied(set.at("gateway.extra_attempts_denied"))
    , missingWithoutServer(set.at("gateway.parts_missing.no_other_server"))
    , missingByBudget(set.at("gateway.parts_missing.budget_denied"))
    , missingAwaited(set.at("gateway.parts_missing.awaited"))
    , shardsWithoutSecondServer(set.at("gateway.shards_without_second_server"))
    , evacuatedDataCentres(set.at("gateway.evacuated_data_centres"))
    , pacesBegun(set.at("gateway.server_paces.begun"))
    , pacesEnded(set.at("gateway.server_paces.ended"))
    , attemptsDeferred(set.at("gateway.attempts_deferred"))
    , openedForAttempts(set.at("gateway.connections_opened.attempts"))
    , openedInAdvance(set.at("gateway.connections_opened.in_advance"))
    , openedForHealthChecks(set.at("gateway.connections_opened.health_checks"))
    , connectionsRefused(set.at("gateway.connections_refused"))
    , connectionsClosedByServer(set.at("gateway.connections_closed.by_server"))
    , connectionsClosedUnused(set.at("gateway.connections_closed.unused"))
{
}

void gateway_counters::onConnection(connection_event event) const
{
    switch (event) {
    case connection_event::OpenedForAttempt:
        return openedForAttempts.add();
    case connection_event::OpenedInAdvance:
        return openedInAdvance.add();
    case connection_event::OpenedForHealthCheck:
        return openedForHealthChecks.add();
    case connection_event::Refused:
        return connectionsRefused.add();
    case connection_event::ClosedByServer:
        return connectionsClosedByServer.add();
    case connection_event::ClosedUnused:
        return connectionsClosedUnused.add();
    }
}

gateway_state::gateway_state(event_loop &l, client_connector &c, const wire_dialect &d,
                             counter_set &set, decision_log &lg, gateway_options o)
    : loop(l)
    , connector(c)
    , dialect(d)
    , counters(set)
    , count(set)
    , latency(set)
    , loopDelay(set, "process.loop_delay.")
    , log(lg)
    , options(std::move(o))
    , share(options.self, l.now(), connection_share::defaultAbsenceHold, options.dataCentre,
            [this](const data_centre_id &a, const data_centre_id &b) { return nearness(a, b); })
    , random(std::hash<std::string>()(options.self.value()))
    , m_awaitsEvacuations(options.evacuateWithin.has_value())
    , m_startedAt(l.now())
    , m_lastTick(m_startedAt - tickInterval)
{
    tick();
}

gateway_state::~gateway_state()
{
    const auto last = std::move(running);
    running.clear();
    for (const auto &request : last)
        request->drop();
}

service_group_ptr gateway_state::groupOf(const service_name &name)
{
    service_group_ptr &group = groups[name];
    if (!group)
        group = std::make_shared<service_group>(name, options.extraAttempts, m_startedAt,
                                                [this] { return random.fraction(); });
    return group;
}

int gateway_state::nearness(const data_centre_id &a, const data_centre_id &b) const
{
    if (a == b)
        return 2;
    const auto first = options.regions.find(a);
    const auto second = options.regions.find(b);
    const bool isNear = first != options.regions.end() && second != options.regions.end() &&
                        first->second == second->second;
    return isNear ? 1 : 0;
}

duration gateway_state::assumedRoundTrip(const data_centre_id &to) const
{
    constexpr std::array<duration, 3> byNearness{otherRegionRoundTrip, sameRegionRoundTrip,
                                                 sameDataCentreRoundTrip};
    return byNearness.at(static_cast<std::size_t>(nearness(options.dataCentre, to)));
}

std::string gateway_state::healthCheckPathOf(const service_name &service) const
{
    const service_spec *spec = routes ? routes->service(service) : nullptr;
    return spec != nullptr ? spec->healthCheckPath : "/";
}

backend_server_ptr gateway_state::makeServer(const backend_record &record)
{
    backend_server::environment env{
            loop,
            connector,
            dialect,
            [this](const backend_server &server, const char *what) {
                const time_point now = loop.now();
                log.decision(what)
                        .add("server", server.record().id.value())
                        .add("service", server.record().service.value())
                        .addMs("silent_ms", server.health().silentFor(now))
                        .add("limit", limitText(server.limit()))
                        .addMs("available_in_ms", server.availableIn());
            },
            [this](const backend_record &of, request_rate limit) {
                return ownShareOfLimit(of, limit);
            },
            scaled(minLimitLifetime, 1 + random.fraction()),
            [this](connection_event event) { count.onConnection(event); },
            [this](backend_server &server) { busyServers.push_back(server.shared_from_this()); },
            [this](const backend_server &server, bool begins) {
                (begins ? count.pacesBegun : count.pacesEnded).add();
                log.decision(begins ? "server_pace_begun" : "server_pace_ended")
                        .add("server", server.record().id.value())
                        .add("service", server.record().service.value())
                        .add("share_permille",
                             static_cast<std::int64_t>(1000 * server.paceShare()));
            },
            options.pacesServers};
    auto server = std::make_shared<backend_server>(std::move(env), record,
                                                   healthCheckPathOf(record.service),
                                                   assumedRoundTrip(record.dataCentre));
    return server;
}

void gateway_state::setServers(const backend_map &records)
{
    const time_point now = loop.now();
    if (!m_firstServersAt && !records.empty())
        m_firstServersAt = now;
    const bool areKnown = !m_firstServersAt || now - *m_firstServersAt < knownServersTime;
    std::vector<backend_server_ptr> removed;
    // A server in another data centre is another one: attempts wait for this one because of where
    // it was.
    for (auto it = servers.begin(); it != servers.end();) {
        const backend_record &old = it->second->record();
        const auto found = records.find(it->first);
        const bool same = found != records.end() && found->second.start == old.start &&
                          found->second.address == old.address &&
                          found->second.dataCentre == old.dataCentre &&
                          found->second.service == old.service;
        if (same) {
            ++it;
            continue;
        }
        removed.push_back(it->second);
        it = servers.erase(it);
    }
    for (const auto &server : removed) {
        auto &list = groupOf(server->record().service)->servers;
        list.erase(std::remove(list.begin(), list.end(), server), list.end());
        retired.push_back(server);
        log.state("server_left")
                .add("server", server->record().id.value())
                .add("service", server->record().service.value());
    }
    std::vector<backend_server_ptr> changed;
    for (const auto &[id, record] : records) {
        backend_server_ptr &server = servers[id];
        if (server) {
            if (server->record() == record)
                continue;
            log.state("server_changed")
                    .add("server", id.value())
                    .add("service", record.service.value())
                    .add("draining", record.draining ? "yes" : "no");
            server->update(record);
            changed.push_back(server);
            continue;
        }
        server = makeServer(record);
        if (!areKnown)
            server->beginPace();
        updateShare(*server);
        server->setEvacuated(isEvacuated(record.dataCentre));
        groupOf(record.service)->servers.push_back(server);
        m_isFullRoundDue = true;
        log.state("server_joined")
                .add("server", id.value())
                .add("service", record.service.value())
                .add("data_centre", record.dataCentre.value());
    }
    for (const auto &server : changed)
        server->failWaitingIfUnwanted();
    for (const auto &server : removed)
        server->drain();
}

void gateway_state::setMembers(const member_map &view)
{
    const std::size_t before = instances();
    const bool isFirst = members.empty();
    members = view;
    if (share.updateMembers(members, loop.now()) || isFirst)
        updateShares();
    if (instances() != before)
        log.state("instances_known").add("count", static_cast<std::int64_t>(instances()));
}

void gateway_state::setEvacuated(const std::set<data_centre_id> &dataCentres)
{
    const auto before = std::exchange(evacuated, dataCentres);
    count.evacuatedDataCentres.set(dataCentres.size());
    applyEvacuations();
    // Servers of which it was only unknown whether they are evacuated have served others meanwhile.
    for (const auto &[id, server] : servers) {
        const data_centre_id &dataCentre = server->record().dataCentre;
        if (before && before->count(dataCentre) != 0 && dataCentres.count(dataCentre) == 0)
            server->beginPace();
    }
}

bool gateway_state::isEvacuated(const data_centre_id &dataCentre) const
{
    return evacuated ? evacuated->count(dataCentre) != 0 : m_awaitsEvacuations;
}

void gateway_state::applyEvacuations()
{
    for (const auto &[id, server] : servers)
        server->setEvacuated(isEvacuated(server->record().dataCentre));
    // Attempts that wait for an evacuated server are handed to others, which must know of their own
    // evacuation by then.
    const auto all = servers;
    for (const auto &[id, server] : all)
        server->failWaitingIfUnwanted();
    m_isFullRoundDue = true;
}

void gateway_state::endAwaitOfEvacuations(time_point now)
{
    if (!m_awaitsEvacuations || now - m_startedAt < *options.evacuateWithin)
        return;
    // Instances of earlier builds send no list, and must not keep this one from serving.
    m_awaitsEvacuations = false;
    if (evacuated)
        return;
    log.state("evacuations_unknown").add("action", "servers of all data centres are used");
    applyEvacuations();
}

void gateway_state::updateShares()
{
    for (const auto &[id, server] : servers)
        updateShare(*server);
    m_isFullRoundDue = true;
}

void gateway_state::updateShare(backend_server &server) const
{
    const backend_record &record = server.record();
    const service_spec *spec = routes ? routes->service(record.service) : nullptr;
    server.setColdLimit(spec != nullptr ? spec->coldLimit : std::nullopt);
    // The share follows from the list of instances. An instance that has received none in time
    // takes one connection.
    const bool isDiscoveryOver = loop.now() - m_startedAt >= memberDiscoveryTimeout;
    if (spec == nullptr || (members.empty() && !isDiscoveryOver)) {
        // A service that the configuration does not name yet gets no connections either.
        server.setConnectionShare(0, 0, 0);
        return;
    }
    const auto usable = std::max<std::uint32_t>(
            static_cast<std::uint32_t>(usableConnectionFraction * spec->maxConnections), 1);
    const connection_division division = divideConnections(usable, share.instances());
    server.setConnectionShare(share(record.id, division.shared, record.dataCentre),
                              share(record.id, division.standing, record.dataCentre),
                              division.onDemandPart);
}

double gateway_state::ownShareOfLimit(const backend_record &server, request_rate limit) const
{
    // At most one instance for each request a second gets a share, so that requests that come to
    // all of them at once exceed the limit by no more than it allows in a second.
    constexpr double maxUnits = 1'000'000;
    const auto units = static_cast<std::uint32_t>(std::clamp(limit.perSecond(), 1.0, maxUnits));
    return static_cast<double>(share(server.id, units, server.dataCentre)) / units;
}

void gateway_state::updateStanding(const service_group &group) const
{
    const time_point now = loop.now();
    std::vector<standing_candidate> candidates;
    candidates.reserve(group.servers.size());
    for (const auto &server : group.servers) {
        const placement_candidate at = server->candidate();
        const bool mayStand = at.isUsable && isReachable(at) && !server->isConnectedOnDemand();
        candidates.push_back({mayStand, server->standingShare() > 0,
                              estimatePlacement(at, group.usualWork, now)});
    }
    const std::vector<bool> chosen = chooseStanding(candidates);
    const std::vector<bool> inAdvance = openedInAdvance(candidates, chosen);
    for (std::size_t i = 0; i < chosen.size(); ++i) {
        backend_server &server = *group.servers[i];
        server.setStanding(chosen[i] ? std::max(server.standingShare(), 1U) : 0);
        server.setOpenedInAdvance(inAdvance[i]);
    }
}

std::shared_ptr<admission_share> gateway_state::admissionOf(const route &r) const
{
    return r.gather ? admissions.at(r.gather->shards.front()).share : nullptr;
}

void gateway_state::updateAdmissions()
{
    std::map<service_name, std::map<class_name, class_spec>> classes;
    for (const auto &r : routes->routes()) {
        if (!r->gather)
            continue;
        class_spec spec;
        spec.name = class_name(r->name.value());
        spec.latencyTarget = r->target;
        spec.coverageTarget = r->gather->minCoverage;
        spec.rank = r->rank;
        classes[r->gather->shards.front()][spec.name] = spec;
    }
    for (auto a = admissions.begin(); a != admissions.end();) {
        const bool isRouted = classes.count(a->first) != 0;
        if (!isRouted && a->second.isRestricted)
            logOpenAdmission(a->first, "no route names these shards any more");
        a = isRouted ? std::next(a) : admissions.erase(a);
    }
    for (const auto &[shard, specs] : classes) {
        auto &share = admissions[shard].share;
        if (share)
            share->setClasses(specs);
        else
            share = std::make_shared<admission_share>(specs);
    }
}

void gateway_state::logOpenAdmission(const service_name &shard, const char *reason)
{
    log.state("admission_open").add("first_shard", shard.value()).add("reason", reason);
}

void gateway_state::logAdmissions()
{
    for (auto &[shard, a] : admissions) {
        const double admitted = a.share->share();
        const bool isOpen = admitted >= 1;
        const bool isRestricted = admitted <= restrictedAdmissionShare;
        if (a.isRestricted ? !isOpen : !isRestricted)
            continue;
        a.isRestricted = !a.isRestricted;
        if (!a.isRestricted) {
            logOpenAdmission(shard, "queues are short");
            continue;
        }
        log.state("admission_restricted")
                .add("first_shard", shard.value())
                .add("share_permille", static_cast<std::int64_t>(1000 * admitted))
                .add("teams", static_cast<std::int64_t>(a.share->teams()))
                .addMs("queued_ms", a.share->queueing())
                .addMs("tolerated_ms", a.share->restrictedTarget());
    }
}

void gateway_state::maintainGroup(const service_group &group)
{
    updateStanding(group);
    // Maintenance may end attempts, whose callbacks may change the list.
    const auto all = group.servers;
    for (const auto &server : all) {
        if (!server->isInBusyPeriod())
            server->maintain();
    }
}

void gateway_state::maintainDueGroups()
{
    // Each tick takes the next groups, so that the work is spread evenly over a round.
    std::size_t due = groups.size();
    if (std::exchange(m_isFullRoundDue, false))
        updateReach();
    else
        due = (groups.size() + ticksPerRound - 1) / ticksPerRound;
    auto it = groups.upper_bound(m_lastMaintained);
    for (; due > 0; --due) {
        if (it == groups.end())
            it = groups.begin();
        const service_group_ptr group = it->second;
        m_lastMaintained = it->first;
        ++it;
        maintainGroup(*group);
    }
}

void gateway_state::updateReach()
{
    std::size_t replicated = 0;
    std::size_t withoutSecond = 0;
    for (const auto &[name, group] : groups) {
        const auto &all = group->servers;
        if (all.size() < 2)
            continue;
        ++replicated;
        const auto reached = std::count_if(
                all.begin(), all.end(), [](const auto &server) { return server->isWithinReach(); });
        withoutSecond += reached < 2 ? 1 : 0;
    }
    count.shardsWithoutSecondServer.set(withoutSecond);
    if (withoutSecond == std::exchange(m_loggedShardsWithoutSecond, withoutSecond))
        return;
    log.decision("shards_without_second_server")
            .add("count", static_cast<std::int64_t>(withoutSecond))
            .add("of", static_cast<std::int64_t>(replicated));
}

void gateway_state::maintainBusyServers()
{
    const auto busy = busyServers;
    for (const auto &server : busy)
        server->maintain();
    busyServers.erase(std::remove_if(busyServers.begin(), busyServers.end(),
                                     [](const auto &server) { return server->endBusyPeriod(); }),
                      busyServers.end());
}

void gateway_state::updateMembership(time_point now)
{
    const bool wasDiscoveryOver = m_lastTick - m_startedAt >= memberDiscoveryTimeout;
    const bool isDiscoveryOver = now - m_startedAt >= memberDiscoveryTimeout;
    const bool isEndOfDiscovery = members.empty() && isDiscoveryOver && !wasDiscoveryOver;
    const bool isRoundOver = ++m_ticks % ticksPerRound == 0;
    const bool haveSharesChanged = isRoundOver && share.updateMembers(members, now);
    if (haveSharesChanged || isEndOfDiscovery)
        updateShares();
}

void gateway_state::tick()
{
    const time_point now = loop.now();
    loopDelay.add(now - m_lastTick - tickInterval);
    if (now - m_lastTick > tickInterval + tickDelayOfStall) {
        for (const auto &[id, server] : servers)
            server->noteLocalStall(now);
    }
    maintainDueGroups();
    maintainBusyServers();
    updateMembership(now);
    endAwaitOfEvacuations(now);
    m_lastTick = now;
    for (const auto &request : running)
        request->reportProgress();
    logAdmissions();
    const auto old = retired;
    for (const auto &server : old)
        server->maintain();
    retired.erase(std::remove_if(retired.begin(), retired.end(),
                                 [](const auto &server) { return !server->isBusy(); }),
                  retired.end());
    m_timer = loop.schedule(tickInterval, [this] { tick(); });
}

} // namespace peridotwheel
