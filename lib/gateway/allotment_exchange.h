#ifndef PERIDOTWHEEL_LIB_GATEWAY_ALLOTMENT_EXCHANGE_H
#define PERIDOTWHEEL_LIB_GATEWAY_ALLOTMENT_EXCHANGE_H

#include "allotment_client.h"
#include "allotment_owner.h"
#include "peridotwheel/gateway/gateway_settings.h"
#include "peridotwheel/http/http_client.h"
#include "peridotwheel/http/stream_server.h"
#include "peridotwheel/membership/member.h"
#include "peridotwheel/support/earliest_timer.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace peridotwheel {

class counter;
class counter_set;
class decision_log;

constexpr const char *allotmentPath = "/peer/allotments";

struct allotment_exchange_options
{
    instance_id self;
    /// Random number of this process.
    start_id process;
    allotment_tolerance tolerance;
    /// Returns the instances that this one knows, itself included; none while they are unknown.
    std::function<const member_map &()> members;
};

/// Enforces the allotments of teams over all instances: exchanges messages between the client part
/// of this instance and the owners of the teams. Idle while no team has an allotment.
class allotment_exchange
{
public:
    allotment_exchange(event_loop &loop, http_client &http, counter_set &counters,
                       decision_log &log, allotment_exchange_options options);
    allotment_exchange(const allotment_exchange &) = delete;
    allotment_exchange &operator=(const allotment_exchange &) = delete;
    ~allotment_exchange();

    /// Applies a newer configuration.
    void setRoutes(const route_table &routes);
    /// Must be called when the instances have changed.
    void updateMembers();
    /// Must be called when any message of another instance has arrived.
    void onPeerHeard();
    /// See `allotment_hooks`.
    void take(const team_spec &team, time_point deadline, allotment_callback done);
    void giveBack(const allotment_token &token);
    /// Answers `POST /peer/allotments`.
    void handleRequest(const opaque_request &request, http_responder &client);

private:
    /// Counters, looked up once.
    struct exchange_counters
    {
        explicit exchange_counters(counter_set &set);

        counter &granted;
        counter &fromReserve;
        counter &waited;
        counter &overLimit;
        counter &unavailable;
        counter &givenBack;
        counter &messagesSent;
        counter &messagesFailed;
        counter &messagesReceived;
        counter &ownedTeams;
    };

    bool isEnabled() const { return !m_allotments.empty(); }
    void applyTerms();
    void count(const allotment_decision &decision) const;
    void onTimer();
    /// Sends the messages that are due and schedules the next ones.
    void sendDueMessages();
    void send(const instance_id &to, const allotment_request &request);
    void onOutcome(const instance_id &from, const http_outcome &outcome);
    /// Sends an empty message to the next owner, and to any instance if none was heard of for a
    /// while.
    void probe();
    void sendEmpty(const endpoint &to);

    event_loop &m_loop;
    http_client &m_http;
    decision_log &m_log;
    allotment_exchange_options m_options;
    exchange_counters m_count;
    configuration_version m_version;
    std::map<team_name, rate_allotment> m_allotments;
    std::map<instance_id, endpoint> m_addresses;
    allotment_owner m_owner;
    allotment_client m_client;
    /// Instances that own teams, this one excluded.
    std::vector<endpoint> m_owners;
    std::size_t m_nextOwner = 0;
    std::size_t m_nextProbe = 0;
    earliest_timer m_timer;
    timer m_probeTimer;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

} // namespace peridotwheel

#endif
