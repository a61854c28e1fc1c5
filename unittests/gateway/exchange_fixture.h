#ifndef PERIDOTWHEEL_UNITTESTS_GATEWAY_EXCHANGE_FIXTURE_H
#define PERIDOTWHEEL_UNITTESTS_GATEWAY_EXCHANGE_FIXTURE_H

#include "lib/gateway/evacuation_view.h"
#include "lib/gateway/instance_directory.h"
#include "lib/gateway/view_codec.h"
#include "lib/gateway/view_exchange.h"
#include "peridotwheel/counters/counter_set.h"
#include "peridotwheel/gateway/decision_log.h"
#include "scripted_store.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace peridotwheel {

/// Reads a configuration whose value starts with its version number.
inline result<route_configuration> readNumber(const platform_object &object)
{
    route_configuration c;
    c.version = configuration_version(std::stoul(object.value));
    return c;
}

/// Reads a server entry whose value is the name of its service.
inline result<backend_record> readName(const platform_object &object)
{
    backend_record r;
    r.id = server_id(object.key.name);
    r.service = service_name(object.value);
    return r;
}

class captured_reply : public http_responder
{
public:
    void reply(const http_reply &r) override { value = r; }
    void onClientDisconnected(std::function<void()>) override {}
    void drop() override {}

    http_reply value;
};

/// A network between the instances of a test.
class instance_network
{
public:
    instance_network() = default;
    instance_network(const instance_network &) = delete;
    instance_network &operator=(const instance_network &) = delete;
    virtual ~instance_network() = default;

    /// Returns the client through which the instance at \p from sends requests.
    virtual http_client &clientOf(const endpoint &from) = 0;

    std::map<endpoint, view_exchange *> peers;

protected:
    /// Lets the instance at \p to handle \p request; fails if there is none.
    http_outcome exchange(const endpoint &to, const http_request &request) const
    {
        http_outcome outcome;
        const auto found = peers.find(to);
        if (found == peers.end()) {
            outcome.failure = transport_failure::NotSent;
            return outcome;
        }
        opaque_request asked;
        asked.method = "POST";
        asked.target = request.path;
        asked.body = request.body;
        captured_reply reply;
        found->second->handleRequest(asked, reply);
        outcome.reply = reply.value;
        return outcome;
    }
};

/// Delivers each request and its reply within a millisecond.
class peer_network : public instance_network, public http_client
{
public:
    explicit peer_network(manual_loop &loop)
        : m_loop(loop)
    {
    }

    http_client &clientOf(const endpoint &) override { return *this; }

    void send(const endpoint &to, const http_request &request, duration, outcome_hook done) override
    {
        m_timers.push_back(m_loop.schedule(
                milliseconds(1), [this, to, request, done] { done(exchange(to, request)); }));
    }

private:
    manual_loop &m_loop;
    std::vector<timer> m_timers;
};

inline member memberAt(const std::string &name, std::uint16_t port)
{
    member m;
    m.id = instance_id(name);
    m.dataCentre = data_centre_id("dc");
    m.peers = {"10.0.0.1", port};
    return m;
}

/// One instance: its directory, its view of the cluster and the exchange with others.
struct instance
{
    instance(manual_loop &loop, scripted_store &store, instance_network &network,
             const member &self, duration applyWithin = seconds(3),
             byte_rate linkRate = byte_rate::fromMegabits(100))
        : log(loop, self.id.value(), [](std::string_view text) { return text.size(); })
        , directory(loop, store, log, self, 1,
                    [this](const member_map &members) {
                        if (exchange)
                            exchange->setMembers(members);
                    })
        , view(loop, store, counters, log, 1, applyWithin,
               {"config", "main", "servers", "evacuations", &readNumber, &readName},
               {[](const route_table_ptr &) {}, [this](const backend_map &now) { servers = now; }})
        , evacuations(loop, store, counters, log,
                      evacuation_view::settings{"evacuations", 1, applyWithin},
                      [this](const std::set<data_centre_id> &now) { evacuated = now; })
        , exchange(std::make_unique<view_exchange>(
                  loop, view, directory, network.clientOf(self.peers), log,
                  view_exchange_options{1, applyWithin, linkRate},
                  report_hooks{[this] { return std::exchange(reports, {}); },
                               [this](const server_hints &h) { hints = h; }},
                  evacuation_hooks{[this] { return evacuations.list(); },
                                   [this](const evacuation_list &l) { evacuations.merge(l); },
                                   [this](bool on) { evacuations.setWatching(on); },
                                   [this](store_era era) { evacuations.onStoreReturned(era); }}))
    {
        network.peers[self.peers] = exchange.get();
    }

    counter_set counters;
    decision_log log;
    instance_directory directory;
    cluster_view view;
    backend_map servers;
    server_reports reports;
    server_hints hints;
    std::set<data_centre_id> evacuated;
    evacuation_view evacuations;
    std::unique_ptr<view_exchange> exchange;
};

} // namespace peridotwheel

#endif
