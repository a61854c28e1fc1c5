#ifndef PERIDOTWHEEL_UNITTESTS_GATEWAY_FAKE_BACKENDS_H
#define PERIDOTWHEEL_UNITTESTS_GATEWAY_FAKE_BACKENDS_H

#include "peridotwheel/gateway/gateway.h"
#include "peridotwheel/gateway/wire_dialect.h"
#include "peridotwheel/http/client_connection.h"
#include "peridotwheel/support/manual_loop.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace peridotwheel {

/// A dialect of single words: a request is "ID LEFT-MS SERVER"; a reply carries its verdict in the
/// header "V" and its seal in the header "S", and may have the notices "Limit", "Leaving",
/// "Hold-Off-Ms" and "Cold-Ms".
class fake_dialect : public wire_dialect
{
public:
    result<caller_terms> readTerms(const opaque_request &request) const override;
    caller_key readKey(const opaque_request &request) const override;
    outgoing_request prepare(const opaque_request &, const caller_terms &terms,
                             const caller_identity &) const override;
    exchange_request addressTo(const outgoing_request &request, const backend_record &server,
                               duration left) const override;
    exchange_request healthCheck(const std::string &, const backend_record &) const override;
    bool isHealthy(const http_reply &reply, const backend_record &) const override;
    reply_verdict classify(const http_reply &reply) const override;
    server_notice readNotice(const http_reply &reply) const override;
    std::optional<duration> idleTimeout(const http_reply &) const override { return std::nullopt; }
    http_reply toCallerReply(http_reply reply) const override { return reply; }
    answer_part readPart(http_reply reply) const override;
    http_reply writeGathered(const std::vector<answer_part> &parts, std::size_t missing,
                             std::string records) const override;
    http_reply writeRefusal(const refusal &r) const override;
};

/// How a simulated server treats its next requests.
enum class server_behaviour {
    Answer,
    Fail,        ///< Runs it and reports a failure.
    Reject,      ///< Does not run it and says so.
    Silent,      ///< Runs it and never answers.
    Reset,       ///< Runs it and resets the connection.
    WrongServer, ///< Does not run it; another server has the address.
};

/// Simulated servers behind `client_connection`s, on manual time.
class fake_backends : public client_connector
{
public:
    struct server
    {
        server_behaviour behaviour = server_behaviour::Answer;
        /// Share of the requests that are treated so; the others are answered.
        double disturbedShare = 1;
        duration distance = milliseconds(2);
        duration work = milliseconds(5);
        /// Requests that the server runs concurrently, further ones wait in FIFO order; 0 means
        /// all.
        unsigned slots = 0;
        /// Requests that may wait; the server rejects further ones.
        std::size_t maxQueue = 1000;
        /// Returns the factor of the work of a request that begins at a time.
        std::function<double(time_point)> slowness;
        /// Connections are refused.
        bool unreachable = false;
        /// Connections beyond this number are accepted and reset after `resetAfter`.
        unsigned maxConnections = 1000;
        /// Time from the acceptance of such a connection to its reset.
        duration resetAfter = milliseconds(1);
        std::string records;
        /// A second copy of each rejection arrives on its connection just before the reply to the
        /// next request there.
        bool repeatsRejectionsLate = false;
        /// Headers added to each reply.
        http_headers notices;
        /// Ids of the requests that arrived, and of those that ran.
        std::vector<std::string> arrived;
        std::vector<std::string> ran;
        std::vector<time_point> arrivedAt;
        /// Exchanges that were ended by closing the connection.
        unsigned aborted = 0;
        unsigned openConnections = 0;
        /// Most connections that were open at once.
        unsigned mostConnections = 0;
        /// Most requests that waited at once.
        std::size_t longestQueue = 0;

        /// Returns when a request that arrives at \p now is done, or nothing if the queue is full.
        std::optional<time_point> endOf(duration requestWork, time_point now);

    private:
        std::vector<time_point> m_freeAt;
        /// Begins of the waiting requests.
        std::deque<time_point> m_begins;
    };

    explicit fake_backends(manual_loop &loop)
        : m_loop(loop)
    {
    }

    std::unique_ptr<client_connection> open(const endpoint &to,
                                            client_connection_hooks hooks) override;
    server &at(std::uint16_t port) { return m_servers[port]; }
    std::size_t arrivals() const;
    std::size_t runs(const std::string &id) const;

private:
    class connection;

    manual_loop &m_loop;
    std::map<std::uint16_t, server> m_servers;
};

/// The caller's end of one request.
class fake_client : public http_responder
{
public:
    void reply(const http_reply &r) override
    {
        replies.push_back(r);
        if (onReply)
            onReply();
    }
    void onClientDisconnected(std::function<void()> hook) override
    {
        onDisconnect = std::move(hook);
    }
    void drop() override {}

    std::vector<http_reply> replies;
    std::function<void()> onDisconnect;
    std::function<void()> onReply;
};

} // namespace peridotwheel

#endif
