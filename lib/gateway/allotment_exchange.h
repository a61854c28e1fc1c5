#ifndef PERIDOTWHEEL_LIB_GATEWAY_ALLOTMENT_EXCHANGE_H
#define PERIDOTWHEEL_LIB_GATEWAY_ALLOTMENT_EXCHANGE_H

#include "allotment_claims.h"
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
    /// Address at which this instance answers messages of others.
    endpoint address;
    /// Returns whether the store's list of instances has this one, and the position of the store at
    /// which the list was read. Without these hooks, this instance is in a list that never changes.
    std::function<bool()> isListed;
    std::function<object_version()> listRevision;
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
    /// Hands all buckets over to other instances, because this one ends.
    void handOver();

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
        counter &claimsSent;
        counter &bucketsBegun;
        counter &bucketsTakenOver;
        counter &bucketsReleased;
    };

    bool isEnabled() const { return !m_allotments.empty(); }
    void applyTerms();
    void count(const allotment_decision &decision) const;
    void onTimer();
    /// Sends the messages that are due and schedules the next ones.
    void sendDueMessages();
    void send(const instance_id &to, const allotment_request &request);
    void onOutcome(const instance_id &from, time_point sentAt, const http_outcome &outcome);
    void onReply(const instance_id &from, const allotment_reply &reply);
    /// Sends the claims that are due and schedules the next ones.
    void sendDueClaims();
    void onClaimOutcome(const outgoing_claim &claim, const http_outcome &outcome);
    void handOver(const allotment_peer &to, const std::vector<allotment_bucket_state> &buckets,
                  unsigned attempts);
    allotment_request makeMessage() const;
    void sendMessage(const endpoint &to, const allotment_request &message, outcome_hook done);
    void onOwnerChanged(const team_name &team);
    void logBucket(const char *event, const team_name &team, const instance_id &other);
    allotment_grant answerReport(const allotment_sender &sender, const allotment_report &report);
    /// Sends an empty message to the next owner, and to any instance if none was heard of for a
    /// while.
    void probe();
    void sendEmpty(const allotment_peer &to);
    /// Finds out whether the process of an instance has ended.
    void check(const allotment_peer &peer);
    void onEnded(const instance_id &id);

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
    allotment_claims m_claims;
    /// Instances that own teams, this one excluded.
    std::vector<allotment_peer> m_owners;
    std::size_t m_nextOwner = 0;
    std::size_t m_nextProbe = 0;
    std::map<instance_id, time_point> m_checkedAt;
    std::optional<time_point> m_listedAt;
    earliest_timer m_timer;
    earliest_timer m_claimTimer;
    timer m_probeTimer;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

} // namespace peridotwheel

#endif
