#include "wide_fleet_fixture.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace peridotwheel {

namespace {

/// The first three have servers; each further one is in the region of one of these.
constexpr std::array<const char *, 6> dataCentres{"near",  "far",  "farther",
                                                  "near2", "far2", "farther2"};
constexpr std::size_t regions = 3;
constexpr duration step = milliseconds(5);
/// Until the shares are settled and the instances use their whole budget of extra attempts.
constexpr duration settlingTime = seconds(12);
/// Time limit of a query and a margin.
constexpr duration longestQuery = seconds(3);
constexpr duration exchangeInterval = milliseconds(400);
constexpr duration target = milliseconds(250);
/// Constant part of the extra attempts at a shard that all instances together may send in 10 s.
constexpr double extraAttempts = 630;

gateway_options optionsOf(std::size_t index)
{
    gateway_options o;
    o.self = instance_id("instance-" + std::to_string(index));
    o.dataCentre = data_centre_id(dataCentres.at(index % dataCentres.size()));
    for (std::size_t i = 0; i < dataCentres.size(); ++i)
        o.regions[data_centre_id(dataCentres.at(i))] = region_id(std::to_string(i % regions));
    o.extraAttempts.constant = extraAttempts;
    return o;
}

} // namespace

wide_fleet_simulation::instance::instance(wide_fleet_simulation &fleet, std::size_t index)
    : dataCentre(optionsOf(index).dataCentre)
    , log(fleet.m_loop, "test", [](std::string_view text) { return text.size(); })
    , gate(fleet.m_loop, fleet.m_backends, fleet.m_dialect, counters, log, optionsOf(index))
{
}

wide_fleet_simulation::wide_fleet_simulation(const wide_fleet_spec &spec, std::uint64_t seed)
    : m_spec(spec)
    , m_random(seed)
    , m_reports(exchangeInterval)
{
    for (std::size_t s = 0; s < spec.shards; ++s) {
        for (std::size_t r = 0; r < wide_fleet::replicas; ++r) {
            fake_backends::server &server = serverAt(s, r);
            server.distance = milliseconds(12);
            server.work = milliseconds(8);
            server.maxConnections = spec.connectionLimit;
            server.records = std::string(16, 'r');
        }
    }
    for (std::size_t i = 0; i < spec.instances; ++i) {
        member m;
        m.id = optionsOf(i).self;
        m.dataCentre = optionsOf(i).dataCentre;
        m_members[m.id] = m;
    }
    startAll();
    m_loop.advance(settlingTime);
}

void wide_fleet_simulation::startAll()
{
    const backend_map servers =
            wide_fleet::servers(m_spec.shards, [](std::size_t shard, std::size_t replica) {
                return endpoint{"10.0.0.1", port(shard, replica)};
            });
    const route_table_ptr routes = wide_fleet::routes(m_spec.shards, m_spec.connectionLimit);
    for (std::size_t i = 0; i < m_spec.instances; ++i) {
        m_instances.push_back(std::make_unique<instance>(*this, i));
        gateway &gate = m_instances.back()->gate;
        gate.setInstances(m_members);
        gate.setServers(servers);
        gate.setRoutes(routes);
    }
}

served_queries wide_fleet_simulation::play(duration length)
{
    struct sent_query
    {
        std::shared_ptr<fake_client> client;
        time_point sentAt;
        std::optional<time_point> answeredAt;
    };
    std::vector<std::shared_ptr<sent_query>> sent;
    const time_point end = m_loop.now() + length;
    const double perStep = m_spec.queriesPerSecond * toMilliseconds(step) / 1000;
    while (m_loop.now() < end) {
        if (m_random.fraction() < perStep) {
            auto q = std::make_shared<sent_query>();
            q->client = std::make_shared<fake_client>();
            q->sentAt = m_loop.now();
            q->client->onReply = [this, weak = std::weak_ptr<sent_query>(q)] {
                if (const auto answered = weak.lock())
                    answered->answeredAt = m_loop.now();
            };
            sent.push_back(q);
            opaque_request request;
            request.method = "GET";
            request.target = "/";
            request.headers = {{"Host", wide_fleet::host}, {"Id", "q-" + std::to_string(++m_sent)}};
            m_instances[m_random.below(m_instances.size())]->gate.handle(request, q->client);
        }
        m_reports.run(m_instances, m_loop.now());
        m_loop.advance(step);
    }
    const time_point answered = m_loop.now() + longestQuery;
    while (m_loop.now() < answered) {
        m_reports.run(m_instances, m_loop.now());
        m_loop.advance(step);
    }
    served_queries out;
    out.offered = sent.size();
    for (const auto &q : sent) {
        const int status = q->client->replies.empty() ? 0 : q->client->replies.front().status;
        if (status == 200) {
            out.inTarget += *q->answeredAt - q->sentAt <= target ? 1 : 0;
            out.missingParts += std::stoul(*q->client->replies.front().header("Missing"));
        } else {
            ++(status == 503 ? out.refused : out.failed);
        }
    }
    return out;
}

void wide_fleet_simulation::disturb(double share, server_behaviour how, double disturbedShare)
{
    for (std::size_t s = 0; s < m_spec.shards; ++s) {
        for (std::size_t r = 0; r < wide_fleet::replicas; ++r) {
            if (m_random.fraction() >= share)
                continue;
            serverAt(s, r).behaviour = how;
            serverAt(s, r).disturbedShare = disturbedShare;
        }
    }
}

unsigned wide_fleet_simulation::mostConnections()
{
    unsigned most = 0;
    for (std::size_t s = 0; s < m_spec.shards; ++s) {
        for (std::size_t r = 0; r < wide_fleet::replicas; ++r) {
            fake_backends::server &server = serverAt(s, r);
            most = std::max(most, std::exchange(server.mostConnections, server.openConnections));
        }
    }
    return most;
}

} // namespace peridotwheel
