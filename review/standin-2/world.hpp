#ifndef REVIEW_STANDIN_2_WORLD_H
#define REVIEW_STANDIN_2_WORLD_H

// A small deployment for the cases of this review: the platform's store, servers and clients are
// stand-ins in this process, and each gateway is a process of its own, started with the command of
// deploy/system.toml. All addresses are loopback addresses.

#include "peridotwheel/http/socket_connector.h"
#include "peridotwheel/http/stream_server.h"
#include "peridotwheel/support/libevent_loop.h"
#include "peridotwheel/support/random_source.h"

#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <sys/types.h>
#include <vector>

namespace review {

using nlohmann::json;
using peridotwheel::duration;
using peridotwheel::milliseconds;
using peridotwheel::seconds;
using peridotwheel::time_point;

/// One event that clients, servers or the operator can see.
struct event
{
    double at = 0; ///< Seconds since the start.
    std::string text;
};

/// A request of a client.
struct request
{
    std::string id;
    std::string tenant;
    std::string route;
    double sentAt = 0;
    double answeredAt = -1;
    int status = 0; ///< 0 while there is no answer, -1 if the connection ended without one.
    /// Servers that ran it, with the time at which each began.
    std::vector<std::pair<std::string, double>> runs;
};

/// The platform's store: lists, watches and writes with conditions as PROTOCOL.md describes them.
class store
{
public:
    explicit store(peridotwheel::libevent_loop &loop);

    bool listen();
    std::uint16_t port() const { return m_server.boundPort(); }
    void write(const std::string &kind, const std::string &name, json spec);

private:
    struct object
    {
        std::uint64_t rev = 0;
        std::uint64_t created = 0;
        json spec;
    };
    struct change
    {
        std::uint64_t rev = 0;
        std::string kind;
        json text;
    };
    struct watch
    {
        std::string kind;
        std::uint64_t since = 0;
        std::shared_ptr<peridotwheel::http_responder> client;
        peridotwheel::timer end;
    };
    using client_ptr = std::shared_ptr<peridotwheel::http_responder>;

    void onRequest(const peridotwheel::opaque_request &r, const client_ptr &client);
    void onList(const std::string &kind, const std::string &after, const client_ptr &client);
    void onWatch(const std::string &kind, std::uint64_t since, milliseconds wait,
                 const client_ptr &client);
    void onWrite(const peridotwheel::opaque_request &r, const std::string &kind,
                 const std::string &name, const std::string &query, const client_ptr &client);
    void record(const std::string &kind, const std::string &name, const object &o, bool deleted);
    bool answerWatch(const watch &w, bool timedOut);
    static json text(const std::string &name, const object &o);
    static void reply(const client_ptr &client, int status, const json &body);

    peridotwheel::libevent_loop &m_loop;
    peridotwheel::stream_server m_server;
    std::uint64_t m_rev = 1;
    std::map<std::string, std::map<std::string, object>> m_objects;
    std::deque<change> m_history;
    std::list<watch> m_watches;
};

class world;

/// A backend server. It runs requests in its slots, queues some more, and rejects the others.
class server
{
public:
    server(world &w, std::string id, std::string service, std::string zone);

    bool listen();
    void writeEntry();
    const std::string &service() const { return m_service; }
    /// Sets the share of the answers that are lost: the request runs and its connection ends.
    void setLostShare(double share) { m_lostShare = share; }

private:
    struct job
    {
        peridotwheel::opaque_request r;
        std::shared_ptr<peridotwheel::http_responder> client;
    };

    void onRequest(peridotwheel::opaque_request r,
                   std::shared_ptr<peridotwheel::http_responder> client);
    void startQueued();
    void finish(const job &j);

    world &m_world;
    peridotwheel::stream_server m_server;
    std::string m_id;
    std::string m_service;
    std::string m_zone;
    double m_lostShare = 0;
    std::deque<job> m_queue;
    unsigned m_running = 0;
    std::uint64_t m_seq = 0;
    std::uint64_t m_nextSeal = 1;
};

/// A gateway process.
struct gateway
{
    std::string id;
    std::string zone;
    peridotwheel::endpoint callers, readiness, peers, metrics;
    std::string settings;
    pid_t pid = 0;
    bool isInRotation = false;
    bool wasEverReady = false;
    int misses = 0;
};

struct bounds
{
    int configApplyMs = 5000;
    double quotaWindowS = 5;
    double quotaExcess = 0.1;
    double quotaSlack = 20;
};

class world
{
public:
    world(std::string directory, std::uint64_t seed);
    ~world();

    bool listen();
    double now() const;
    void at(double second, std::function<void()> task);
    void note(const std::string &what);

    server &addServer(const std::string &service, const std::string &zone);
    /// Starts a gateway; \p isFirstStart as the platform states it in `bootstrap`.
    gateway &startGateway(const std::string &id, const std::string &zone, bool isFirstStart);
    /// Kills a gateway, which starts again half a second later.
    void killGateway(const std::string &id);
    /// Writes the next version of the configuration.
    void writeConfiguration(json routes, json services, json tenants);
    /// Sends a request to a gateway of the zone that is in rotation; to any other one if there is
    /// none.
    void sendToZone(const std::string &zone, const std::string &tenant, const std::string &prefix);
    /// Sends \p perSecond requests a second to the zone from \p from to \p to.
    void sendSteadily(const std::string &zone, const std::string &tenant, const std::string &prefix,
                      double perSecond, double from, double to);
    bool areAllReady() const;
    /// Runs until \p end.
    void run(double end);
    /// Writes the record and returns the exit status of the case.
    int finish(bool isBroken, const std::string &verdict);
    [[noreturn]] void giveUp(const std::string &why);

    const std::vector<std::shared_ptr<request>> &requests() const { return m_requests; }
    std::map<std::string, std::shared_ptr<request>> &byId() { return m_byId; }
    peridotwheel::libevent_loop &loop() { return m_loop; }
    store &platformStore() { return m_store; }
    peridotwheel::random_source &random() { return m_random; }
    const bounds &limits() const { return m_bounds; }
    void every(duration interval, std::function<void()> task);
    void after(duration delay, std::function<void()> task);

private:
    struct connection
    {
        std::string gateway;
        std::unique_ptr<peridotwheel::client_connection> stream;
    };

    void writeSettings(const gateway &g, bool isFirstStart) const;
    void spawn(gateway &g);
    void pollReadiness();
    void beat();
    void send(gateway &g, const std::string &tenant, const std::string &prefix);
    std::uint16_t freePort();
    void endGateways();

    std::string m_directory;
    std::string m_temporary;
    peridotwheel::libevent_loop m_loop;
    time_point m_start;
    peridotwheel::random_source m_random;
    peridotwheel::random_source m_portRandom;
    peridotwheel::socket_connector m_connector;
    store m_store;
    bounds m_bounds;
    std::vector<std::unique_ptr<server>> m_servers;
    std::vector<std::unique_ptr<gateway>> m_gateways;
    std::vector<std::string> m_seeds;
    std::set<std::uint16_t> m_ports;
    std::uint64_t m_version = 0;
    std::uint64_t m_nextRequest = 1;
    std::vector<std::shared_ptr<request>> m_requests;
    std::map<std::string, std::shared_ptr<request>> m_byId;
    std::vector<event> m_notes;
    std::list<connection> m_idle;
    std::list<connection> m_busy;
    std::list<peridotwheel::timer> m_timers;
    std::map<std::string, std::size_t> m_turn;
};

/// Greatest number of requests of the tenant that were both sent and run within one window, and the
/// start of that window.
std::pair<std::size_t, double> busiestWindow(const world &w, const std::string &tenant,
                                             double window, double from);

} // namespace review

#endif
