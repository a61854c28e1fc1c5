#include "gateway_fixture.h"

namespace peridotwheel {

namespace {

route_ptr makeRoute(const std::string &prefix, request_kind kind)
{
    auto r = std::make_shared<route>();
    r->name = route_name(prefix);
    r->host = "host.example";
    r->prefix = prefix;
    r->kind = kind;
    r->timeout = milliseconds(1000);
    r->target = milliseconds(150);
    r->maxAttempts = 2;
    return r;
}

} // namespace

gateway_options gateway_fixture::defaultOptions()
{
    gateway_options o;
    o.self = instance_id("self");
    o.dataCentre = data_centre_id("near");
    o.extraAttempts.constant = 1000;
    o.maxConcurrentRequests = 300;
    return o;
}

gateway_fixture::gateway_fixture(const gateway_options &options)
    : log(loop, "test",
          [this](std::string_view text) {
              logText += text;
              return text.size();
          })
    , gate(loop, backends, dialect, counters, log, options)
{
    const char *const dataCentres[] = {"near", "far", "farther"};
    for (std::size_t s = 0; s < shardCount; ++s) {
        for (std::size_t r = 0; r < replicas; ++r) {
            addServer("s" + std::to_string(s), port(s, r), dataCentres[r]);
            shardServer(s, r).distance = milliseconds(r == 0 ? 2 : 24);
            shardServer(s, r).records = std::string(16, static_cast<char>('a' + s));
        }
    }
    for (std::size_t r = 0; r < replicas; ++r) {
        addServer("plain", plainPort(r), dataCentres[r]);
        plainServer(r).distance = milliseconds(r == 0 ? 2 : 24);
    }
}

void gateway_fixture::addServer(const std::string &service, std::uint16_t port,
                                const std::string &dataCentre)
{
    backend_record record;
    record.id = server_id("server-" + std::to_string(port));
    record.service = service_name(service);
    record.address = {"10.0.0.1", port};
    record.dataCentre = data_centre_id(dataCentre);
    record.slots = 2;
    servers[record.id] = record;
}

route_configuration gateway_fixture::configuration(std::uint64_t version) const
{
    route_configuration c;
    c.version = configuration_version(version);
    auto all = std::make_shared<route>(*makeRoute("/all/", request_kind::Idempotent));
    gather_spec gather;
    for (std::size_t s = 0; s < shardCount; ++s)
        gather.shards.emplace_back("s" + std::to_string(s));
    gather.topRecords = 3;
    gather.minCoverage = 0.8;
    all->gather = gather;
    auto one = std::make_shared<route>(*makeRoute("/one/", request_kind::Idempotent));
    one->services = {{service_name("plain"), 1}};
    auto once = std::make_shared<route>(*makeRoute("/once/", request_kind::NonIdempotent));
    once->services = {{service_name("plain"), 1}};
    c.routes = {all, one, once};
    for (std::size_t s = 0; s < shardCount; ++s)
        c.services[service_name("s" + std::to_string(s))].maxConnections = 26;
    c.services[service_name("plain")].maxConnections = 26;
    return c;
}

void gateway_fixture::start()
{
    member self;
    self.id = instance_id("self");
    gate.setInstances({{self.id, self}});
    gate.setServers(servers);
    gate.setRoutes(std::make_shared<route_table>(configuration(1)));
    loop.advance(seconds(1));
}

std::shared_ptr<fake_client> gateway_fixture::send(const std::string &target, const std::string &id)
{
    auto client = std::make_shared<fake_client>();
    opaque_request request;
    request.method = "GET";
    request.target = target;
    request.headers = {{"Host", "host.example"}, {"Id", id}};
    gate.handle(request, client);
    return client;
}

void gateway_fixture::warmUp()
{
    start();
    for (int i = 0; i < 20; ++i) {
        send("/all/", "warm-" + std::to_string(i));
        send("/one/", "warm-one-" + std::to_string(i));
        loop.advance(milliseconds(50));
    }
    // The constant part of the extra-attempt budget is available only after one window.
    loop.advance(seconds(11));
}

void gateway_fixture::warmUpPlain()
{
    for (int i = 0; i < 20; ++i) {
        send("/one/", "warm-one-" + std::to_string(i));
        loop.advance(milliseconds(50));
    }
    loop.advance(seconds(11));
}

int statusOf(const std::shared_ptr<fake_client> &client)
{
    return client->replies.empty() ? 0 : client->replies.front().status;
}

std::string missingIn(const std::shared_ptr<fake_client> &client)
{
    const std::string *missing = client->replies.at(0).header("Missing");
    return missing != nullptr ? *missing : "";
}

} // namespace peridotwheel
