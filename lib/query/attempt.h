#ifndef PERIDOTWHEEL_LIB_QUERY_ATTEMPT_H
#define PERIDOTWHEEL_LIB_QUERY_ATTEMPT_H

#include "backend_server.h"
#include "peridotwheel/query/query.h"

#include <boost/container/small_vector.hpp>
#include <string_view>
#include <vector>

namespace peridotwheel {

class running_query;
struct engine_state;

enum class attempt_kind { First, Hedge, Retry, Probe };

/// The headers of a backend server's reply that the engine evaluates.
struct reply_headers
{
    std::optional<index_version> version;
    std::optional<start_id> start;
    std::string_view shards;
    bool draining = false;
    bool notRun = false;
};

reply_headers parseHeaders(const http_headers &headers);

/// One request to one server, for all shards of a query that this server is asked for.
class attempt : public pool_attempt
{
public:
    attempt(engine_state &state, running_query &query, std::shared_ptr<backend_server> server,
            attempt_kind kind);

    class_rank rank() const override;
    time_point deadline() const override;
    http_request buildRequest(time_point now) override;
    duration timeout(time_point now) const override;
    void onSent(time_point now) override;
    void onOutcome(http_outcome outcome) override;
    void onReturned() override;

    /// Called when the query has ended or no longer needs this attempt. The outcome then counts
    /// only for the statistics of the server.
    void detach() { m_query = nullptr; }
    running_query *query() const { return m_query; }
    bool pending() const { return !m_finished; }
    bool sent() const { return m_sent; }
    time_point sentAt() const { return m_sentAt; }
    /// Detaches the attempt, and withdraws it if it has not been sent. If it was sent, its reply
    /// still counts for the statistics of the server; a cancellation is sent only if it probably
    /// saves the server the work.
    void discard();
    /// Closes the connection that carries a sent attempt. Its outcome is not reported.
    void abortConnection();
    std::string wireId() const;

    const attempt_id id;
    const std::shared_ptr<backend_server> server;
    const attempt_kind kind;
    boost::container::small_vector<std::size_t, 2> groups; ///< Indices of the query's groups.
    std::vector<shard_id> shards;
    bool plain = false;

private:
    void recordOutcome(const http_outcome &outcome, const reply_headers &headers, time_point now);
    void recordReply(int status, const reply_headers &headers, time_point now);
    void recordSuccess(time_point now);

    engine_state &m_state;
    running_query *m_query;
    time_point m_sentAt{};
    bool m_sent = false;
    bool m_finished = false;
};

} // namespace peridotwheel

#endif
