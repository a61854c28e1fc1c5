#include "world.hpp"

#include "names.h"
#include "peridotwheel/support/endpoint_text.h"
#include "peridotwheel/support/uri_text.h"

#include <algorithm>
#include <arpa/inet.h>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <netinet/in.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

using namespace peridotwheel;

namespace {

constexpr const char *gatewayProgram = "target/bin/peridotwheel-gateway";
constexpr const char *host = "desk.example";
constexpr unsigned slots = 16;
constexpr std::size_t queueLength = 32;
constexpr duration workTime = milliseconds(5);
constexpr duration beatInterval = milliseconds(1200);
constexpr std::size_t maxReplyBytes = 1024 * 1024;
constexpr std::size_t clientMemory = 256 * 1024 * 1024;

std::string parameter(const std::string &query, const std::string &name)
{
    const auto at = ("&" + query).find("&" + name + "=");
    if (at == std::string::npos)
        return "";
    const auto from = at + name.size() + 1;
    return percentDecoded(query.substr(from, query.find('&', from) - from), uri_part::Query);
}

stream_limits anyLimits()
{
    return {};
}

} // namespace

store::store(libevent_loop &loop)
    : m_loop(loop)
    , m_server(loop, &anyLimits,
               [this](const opaque_request &r, const client_ptr &client) { onRequest(r, client); })
{
}

bool store::listen()
{
    return static_cast<bool>(m_server.listen({"127.0.0.1", 0}));
}

json store::text(const std::string &name, const object &o)
{
    return {{"meta",
             {{"name", name},
              {"rev", o.rev},
              {"created", o.created},
              {"finalizers", json::array()},
              {"deleting", false}}},
            {"spec", o.spec},
            {"status", nullptr}};
}

void store::reply(const client_ptr &client, int status, const json &body)
{
    client->reply({status, {{"Content-Type", "application/json"}}, body.dump()});
}

void store::record(const std::string &kind, const std::string &name, const object &o, bool deleted)
{
    m_history.push_back({m_rev, kind, {{"object", text(name, o)}, {"deleted", deleted}}});
    m_watches.remove_if([this](const watch &w) { return answerWatch(w, false); });
}

void store::write(const std::string &kind, const std::string &name, json spec)
{
    object &o = m_objects[kind][name];
    if (o.rev != 0 && o.spec == spec)
        return;
    o.rev = ++m_rev;
    if (o.created == 0)
        o.created = m_rev;
    o.spec = std::move(spec);
    record(kind, name, o, false);
}

void store::onRequest(const opaque_request &r, const client_ptr &client)
{
    const auto mark = r.target.find('?');
    const std::string path = r.target.substr(0, mark);
    const std::string query = mark == std::string::npos ? "" : r.target.substr(mark + 1);
    const std::string prefix = "/objects/";
    if (path.compare(0, prefix.size(), prefix) != 0)
        return reply(client, 404, json::object());
    const std::string rest = path.substr(prefix.size());
    const auto slash = rest.find('/');
    const std::string kind = rest.substr(0, slash);
    const std::string name = slash == std::string::npos
                                     ? ""
                                     : percentDecoded(rest.substr(slash + 1), uri_part::Path);
    if (r.method != "GET")
        return onWrite(r, kind, name, query, client);
    if (!name.empty()) {
        const auto &all = m_objects[kind];
        const auto it = all.find(name);
        return it == all.end() ? reply(client, 404, json::object())
                               : reply(client, 200, text(name, it->second));
    }
    const std::string since = parameter(query, "watch");
    if (since.empty())
        return onList(kind, parameter(query, "after"), client);
    const std::string wait = parameter(query, "waitMs");
    onWatch(kind, std::stoull(since), milliseconds(wait.empty() ? 0 : std::stol(wait)), client);
}

void store::onList(const std::string &kind, const std::string &after, const client_ptr &client)
{
    constexpr std::size_t page = 500;
    json items = json::array();
    const auto &all = m_objects[kind];
    auto it = after.empty() ? all.begin() : all.upper_bound(after);
    for (; it != all.end() && items.size() < page; ++it)
        items.push_back(text(it->first, it->second));
    reply(client, 200, {{"items", items}, {"hasMore", it != all.end()}, {"storeRevision", m_rev}});
}

void store::onWatch(const std::string &kind, std::uint64_t since, milliseconds wait,
                    const client_ptr &client)
{
    watch w{kind, since, client, {}};
    if (answerWatch(w, false))
        return;
    m_watches.push_back(std::move(w));
    m_watches.back().end = m_loop.schedule(wait, [this, client] {
        m_watches.remove_if([this, &client](const watch &each) {
            return each.client == client && answerWatch(each, true);
        });
    });
}

bool store::answerWatch(const watch &w, bool timedOut)
{
    json events = json::array();
    for (const auto &c : m_history) {
        if (c.kind == w.kind && c.rev > w.since)
            events.push_back(c.text);
    }
    if (events.empty() && !timedOut)
        return false;
    reply(w.client, 200, {{"events", std::move(events)}, {"storeRevision", m_rev}});
    return true;
}

void store::onWrite(const opaque_request &r, const std::string &kind, const std::string &name,
                    const std::string &query, const client_ptr &client)
{
    const json body = json::parse(r.body, nullptr, false);
    const json meta = body.is_object() ? body.value("meta", json::object()) : json::object();
    const bool isCreate = r.method == "POST";
    const std::string target = isCreate ? meta.value("name", "") : name;
    auto &all = m_objects[kind];
    const auto it = all.find(target);
    if (isCreate && it != all.end())
        return reply(client, 409, text(target, it->second));
    if (!isCreate && it == all.end())
        return reply(client, 404, json::object());
    const std::string rev = parameter(query, "rev");
    const std::uint64_t wanted =
            !rev.empty() ? std::stoull(rev) : meta.value("rev", std::uint64_t{0});
    if (!isCreate && wanted != 0 && wanted != it->second.rev)
        return reply(client, 409, text(target, it->second));
    if (r.method == "DELETE") {
        object removed = std::move(it->second);
        all.erase(it);
        removed.rev = ++m_rev;
        record(kind, target, removed, true);
        return reply(client, 200, text(target, removed));
    }
    write(kind, target, body.value("spec", json()));
    reply(client, 200, text(target, all.at(target)));
}

server::server(world &w, std::string id, std::string service, std::string zone)
    : m_world(w)
    , m_server(w.loop(), &anyLimits,
               [this](opaque_request r, std::shared_ptr<http_responder> client) {
                   onRequest(std::move(r), std::move(client));
               })
    , m_id(std::move(id))
    , m_service(std::move(service))
    , m_zone(std::move(zone))
{
}

bool server::listen()
{
    return static_cast<bool>(m_server.listen({"127.0.0.1", 0}));
}

void server::writeEntry()
{
    m_world.platformStore().write(platform_names::serverKind, m_id,
                                  {{"service", m_service},
                                   {"addr", endpointText({"127.0.0.1", m_server.boundPort()})},
                                   {"zone", m_zone},
                                   {"version", "v1"},
                                   {"slots", slots},
                                   {"state", "ready"},
                                   {"coldLeftMs", 0},
                                   {"seq", ++m_seq},
                                   {"born", 1700000000000}});
}

void server::onRequest(opaque_request r, std::shared_ptr<http_responder> client)
{
    if (r.target == "/healthz")
        return client->reply({200, {{platform_names::serverIdHeader, m_id}}, ""});
    const std::string *id = r.header(platform_names::requestIdHeader);
    if (id == nullptr)
        return client->reply({400, {{platform_names::notRunHeader, "1"}}, ""});
    const std::string *expected = r.header(platform_names::expectedServerHeader);
    const http_headers echo{{platform_names::requestIdHeader, *id},
                            {platform_names::notRunHeader, "1"}};
    if (expected != nullptr && *expected != m_id)
        return client->reply({421, echo, ""});
    if (m_queue.size() >= queueLength)
        return client->reply({503, echo, ""});
    m_queue.push_back({std::move(r), std::move(client)});
    startQueued();
}

void server::startQueued()
{
    while (m_running < slots && !m_queue.empty()) {
        ++m_running;
        const job j = std::move(m_queue.front());
        m_queue.pop_front();
        const auto found = m_world.byId().find(*j.r.header(platform_names::requestIdHeader));
        if (found != m_world.byId().end())
            found->second->runs.emplace_back(m_id, m_world.now());
        m_world.after(workTime, [this, j] {
            --m_running;
            finish(j);
            startQueued();
        });
    }
}

void server::finish(const job &j)
{
    if (m_world.random().fraction() < m_lostShare)
        return j.client->drop();
    j.client->reply(
            {200,
             {{platform_names::requestIdHeader, *j.r.header(platform_names::requestIdHeader)},
              {platform_names::sealHeader, m_id + "." + std::to_string(m_nextSeal++)}},
             "answer of " + m_id});
}

world::world(std::string directory, std::uint64_t seed)
    : m_directory(std::move(directory))
    , m_start(m_loop.now())
    , m_random(seed)
    // Not drawn from the seed: cases that run beside each other must not choose the same ports.
    , m_portRandom(static_cast<std::uint64_t>(getpid()))
    , m_connector(m_loop, maxReplyBytes,
                  std::make_shared<reply_memory>(reply_memory_limits::forProcess(clientMemory),
                                                 [](std::size_t) {}),
                  tcp_keepalive::Off)
    , m_store(m_loop)
{
    std::string name = (std::filesystem::temp_directory_path() / "review-case-XXXXXX").string();
    if (mkdtemp(name.data()) == nullptr)
        giveUp("no temporary folder can be made");
    m_temporary = name;
}

world::~world()
{
    endGateways();
    std::error_code ignored;
    if (std::getenv("KEEP_LOGS") == nullptr)
        std::filesystem::remove_all(m_temporary, ignored);
    else
        std::cerr << m_temporary << "\n";
}

void world::endGateways()
{
    for (const auto &g : m_gateways) {
        if (g->pid <= 0)
            continue;
        kill(g->pid, SIGKILL);
        waitpid(g->pid, nullptr, 0);
        g->pid = 0;
    }
}

void world::giveUp(const std::string &why)
{
    std::cerr << "the case could not run: " << why << "\n";
    endGateways();
    std::error_code ignored;
    std::filesystem::remove_all(m_temporary, ignored);
    std::_Exit(2);
}

bool world::listen()
{
    if (!m_store.listen() || access(gatewayProgram, X_OK) != 0)
        return false;
    every(seconds(1), [this] { pollReadiness(); });
    every(beatInterval, [this] { beat(); });
    return true;
}

double world::now() const
{
    return std::chrono::duration<double>(m_loop.now() - m_start).count();
}

void world::after(duration delay, std::function<void()> task)
{
    m_timers.push_back({});
    const auto it = std::prev(m_timers.end());
    *it = m_loop.schedule(delay, [this, it, task = std::move(task)] {
        const timer self = std::move(*it);
        m_timers.erase(it);
        const auto once = task;
        once();
    });
}

void world::every(duration interval, std::function<void()> task)
{
    after(interval, [this, interval, task] {
        task();
        every(interval, task);
    });
}

void world::at(double second, std::function<void()> task)
{
    const double left = std::max(second - now(), 0.0);
    after(std::chrono::duration_cast<duration>(std::chrono::duration<double>(left)),
          std::move(task));
}

void world::note(const std::string &what)
{
    m_notes.push_back({now(), what});
}

server &world::addServer(const std::string &service, const std::string &zone)
{
    m_servers.push_back(std::make_unique<server>(
            *this, "i-" + service + "-" + std::to_string(m_servers.size()), service, zone));
    if (!m_servers.back()->listen())
        giveUp("a server cannot listen");
    m_servers.back()->writeEntry();
    return *m_servers.back();
}

void world::beat()
{
    for (const auto &s : m_servers)
        s->writeEntry();
}

std::uint16_t world::freePort()
{
    for (;;) {
        const auto port = static_cast<std::uint16_t>(20000 + m_portRandom.below(12000));
        const int fd = socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
        const bool isFree = bind(fd, reinterpret_cast<sockaddr *>(&address), sizeof address) == 0;
        close(fd);
        if (isFree && m_ports.insert(port).second)
            return port;
    }
}

gateway &world::startGateway(const std::string &id, const std::string &zone, bool isFirstStart)
{
    m_gateways.push_back(std::make_unique<gateway>());
    gateway &g = *m_gateways.back();
    g.id = id;
    g.zone = zone;
    for (endpoint *e : {&g.callers, &g.readiness, &g.peers, &g.metrics})
        *e = {"127.0.0.1", freePort()};
    // The addresses of the first three machines are the seeds of all.
    if (m_seeds.size() < 3)
        m_seeds.push_back(endpointText(g.peers));
    g.settings = m_temporary + "/" + id + ".ini";
    writeSettings(g, isFirstStart);
    spawn(g);
    return g;
}

void world::writeSettings(const gateway &g, bool isFirstStart) const
{
    std::string seeds;
    for (const auto &seed : m_seeds)
        seeds += (seeds.empty() ? "" : ",") + seed;
    // deploy/gateway.ini, filled in as the platform does it.
    std::ofstream(g.settings)
            << "[instance]\nid = " << g.id << "\ndata_centre = " << g.zone
            << "\nfirst_start = " << (isFirstStart ? "true" : "false")
            << "\nlink_mbit = 1000.0\ndescriptors = 4100\nmemory_mb = 260\n"
            << "\n[listen]\ncallers = " << endpointText(g.callers)
            << "\nreadiness = " << endpointText(g.readiness)
            << "\npeers = " << endpointText(g.peers) << "\nmetrics = " << endpointText(g.metrics)
            << "\n\n[store]\naddress = 127.0.0.1:" << m_store.port()
            << "\n\n[peers]\nseeds = " << seeds
            << "\n\n[regions]\nyard-a = north\nyard-b = middle\nyard-c = south\n"
            << "\n[extra_attempts]\nratio = 0.2\nconstant = 58\nwindow_seconds = 10\n"
            << "\n[changes]\nconfiguration_within_ms = " << m_bounds.configApplyMs
            << "\ndrain_within_ms = 5000\nevacuation_within_ms = 5000\n"
            << "\n[allotments]\nwindow_seconds = " << m_bounds.quotaWindowS
            << "\nexcess = " << m_bounds.quotaExcess << "\nslack = " << m_bounds.quotaSlack
            << "\n\n[shutdown]\nkilled_after_seconds = 6\n"
            << "\n[rules]\ncontracts = base,drain,config,cost,retry,recover,health,pool,scatter,"
               "places,tenants,quota,platform\n";
}

void world::spawn(gateway &g)
{
    const std::string variable = "PERIDOTWHEEL_NODE_FILE=" + g.settings;
    const std::string path =
            std::string("PATH=") + (std::getenv("PATH") ? std::getenv("PATH") : "");
    std::string program = gatewayProgram;
    char *const arguments[] = {program.data(), nullptr};
    std::vector<std::string> texts{variable, path, "HOME=/", "LANG=C"};
    std::vector<char *> environment;
    for (auto &t : texts)
        environment.push_back(t.data());
    environment.push_back(nullptr);
    posix_spawn_file_actions_t files;
    posix_spawn_file_actions_init(&files);
    const std::string log = m_temporary + "/" + g.id + ".log";
    posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0600);
    posix_spawn_file_actions_adddup2(&files, STDOUT_FILENO, STDERR_FILENO);
    const int problem =
            posix_spawn(&g.pid, gatewayProgram, &files, nullptr, arguments, environment.data());
    posix_spawn_file_actions_destroy(&files);
    if (problem != 0)
        giveUp("the gateway program cannot be started");
    note("gateway " + g.id + " in " + g.zone + " started");
}

void world::killGateway(const std::string &id)
{
    for (const auto &each : m_gateways) {
        gateway *g = each.get();
        if (g->id != id)
            continue;
        kill(g->pid, SIGKILL);
        waitpid(g->pid, nullptr, 0);
        g->pid = 0;
        note("gateway " + id + " killed");
        after(milliseconds(500), [this, g] {
            writeSettings(*g, false);
            spawn(*g);
        });
    }
}

void world::writeConfiguration(json routes, json services, json tenants)
{
    m_version += 3;
    for (auto &r : routes) {
        r["host"] = host;
        r["name"] = "r" + r["prefix"].get<std::string>();
        r["timeoutMs"] = 3000;
        r["targetLatencyMs"] = 300;
        r["prio"] = 1;
    }
    json spec{{"version", m_version},
              {"routes", std::move(routes)},
              {"services", std::move(services)},
              {"limits",
               {{"maxHeaderBytes", 16384},
                {"maxBodyBytes", 262144},
                {"headerTimeoutMs", 3000},
                {"idleTimeoutMs", 15000}}}};
    if (!tenants.empty())
        spec["tenants"] = std::move(tenants);
    m_store.write(platform_names::configurationKind, platform_names::configurationName,
                  std::move(spec));
    note("the store has confirmed version " + std::to_string(m_version) + " of the config");
}

void world::pollReadiness()
{
    for (const auto &each : m_gateways) {
        gateway *g = each.get();
        auto stream = std::make_shared<std::unique_ptr<client_connection>>(
                m_connector.open(g->readiness, {nullptr, [] {}, nullptr}));
        auto isDone = std::make_shared<bool>(false);
        const auto end = [this, g, stream, isDone](bool isReady) {
            if (std::exchange(*isDone, true))
                return;
            g->misses = isReady ? 0 : g->misses + 1;
            const bool isInRotation = isReady || (g->isInRotation && g->misses < 2);
            if (isInRotation != g->isInRotation)
                note(g->id + (isInRotation ? " is in rotation" : " is out of rotation"));
            g->isInRotation = isInRotation;
            g->wasEverReady = g->wasEverReady || isInRotation;
            m_loop.post([stream] { stream->reset(); });
        };
        exchange_request r;
        r.text = requestText("GET", "/ready", endpointText(g->readiness), {}, "");
        (*stream)->send(std::move(r),
                        [end](const http_outcome &o) { end(o.ok() && o.reply.status == 200); });
        after(milliseconds(900), [end] { end(false); });
    }
}

bool world::areAllReady() const
{
    return std::all_of(m_gateways.begin(), m_gateways.end(),
                       [](const auto &g) { return g->isInRotation; });
}

void world::sendToZone(const std::string &zone, const std::string &tenant,
                       const std::string &prefix)
{
    std::vector<gateway *> ready;
    for (const bool isOwnZone : {true, false}) {
        for (const auto &g : m_gateways) {
            if (ready.empty() || ready.front()->zone == g->zone) {
                if (g->isInRotation && (g->zone == zone) == isOwnZone)
                    ready.push_back(g.get());
            }
        }
        if (!ready.empty())
            break;
    }
    if (!ready.empty())
        send(*ready[m_turn[zone]++ % ready.size()], tenant, prefix);
}

void world::send(gateway &g, const std::string &tenant, const std::string &prefix)
{
    auto r = std::make_shared<request>();
    r->id = "q" + std::to_string(m_nextRequest++);
    r->tenant = tenant;
    r->route = prefix;
    r->sentAt = now();
    m_requests.push_back(r);
    m_byId[r->id] = r;
    const auto fits = [&g](const connection &c) {
        return c.gateway == g.id && c.stream->open() && !c.stream->busy();
    };
    auto it = std::find_if(m_idle.begin(), m_idle.end(), fits);
    if (it != m_idle.end())
        m_busy.splice(m_busy.end(), m_idle, it);
    else
        m_busy.push_back({g.id, m_connector.open(g.callers, {nullptr, [] {}, nullptr})});
    it = std::prev(m_busy.end());
    http_headers headers{{platform_names::requestIdHeader, r->id},
                         {platform_names::timeBudgetHeader, "3000"}};
    if (!tenant.empty())
        headers.emplace_back("Authorization", "Bearer key-" + tenant);
    exchange_request text;
    text.text = requestText("GET", prefix + "x", host, headers, "");
    it->stream->send(std::move(text), [this, r, it](const http_outcome &o) {
        r->answeredAt = now();
        r->status = o.ok() ? o.reply.status : -1;
        if (it->stream->open()) {
            m_idle.splice(m_idle.end(), m_busy, it);
            return;
        }
        auto ended = std::make_shared<connection>(std::move(*it));
        m_busy.erase(it);
        m_loop.post([ended] {});
    });
}

void world::sendSteadily(const std::string &zone, const std::string &tenant,
                         const std::string &prefix, double perSecond, double from, double to)
{
    at(from, [=] {
        sendToZone(zone, tenant, prefix);
        const double next = from + 1 / perSecond;
        if (next < to)
            sendSteadily(zone, tenant, prefix, perSecond, next, to);
    });
}

void world::run(double end)
{
    at(end, [this] { m_loop.stop(); });
    m_loop.run();
}

int world::finish(bool isBroken, const std::string &verdict)
{
    note(verdict);
    std::vector<event> all = m_notes;
    for (const auto &r : m_requests) {
        const std::string who = r->tenant.empty() ? "" : " of " + r->tenant;
        all.push_back({r->sentAt, "sent " + r->id + who + " to " + r->route});
        for (const auto &[where, when] : r->runs)
            all.push_back({when, "run " + r->id + " by " + where});
        if (r->answeredAt >= 0)
            all.push_back({r->answeredAt, "answered " + r->id + " with " +
                                                  (r->status > 0 ? std::to_string(r->status)
                                                                 : "a closed connection")});
    }
    std::stable_sort(all.begin(), all.end(),
                     [](const event &a, const event &b) { return a.at < b.at; });
    std::ofstream out(m_directory + "/record.txt");
    for (const auto &e : all) {
        char time[32];
        std::snprintf(time, sizeof time, "%9.3f  ", e.at);
        out << time << e.text << "\n";
    }
    std::cout << verdict << "\n";
    return isBroken ? 1 : 0;
}

std::pair<std::size_t, double> busiestWindow(const world &w, const std::string &tenant,
                                             double window, double from)
{
    std::vector<std::pair<double, double>> all;
    for (const auto &r : w.requests()) {
        if (r->tenant == tenant && r->sentAt >= from && !r->runs.empty())
            all.emplace_back(r->sentAt, r->runs.front().second);
    }
    std::sort(all.begin(), all.end());
    std::pair<std::size_t, double> most{0, from};
    for (std::size_t i = 0; i < all.size(); ++i) {
        const double start = all[i].first;
        std::size_t count = 0;
        for (std::size_t j = i; j < all.size() && all[j].first <= start + window; ++j)
            count += all[j].second <= start + window ? 1 : 0;
        if (count > most.first)
            most = {count, start};
    }
    return most;
}

} // namespace review
