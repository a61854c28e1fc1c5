#include "peridotwheel/http/stream_connector.h"

#include "peridotwheel/support/earliest_timer.h"

#include <algorithm>
#include <utility>

namespace peridotwheel {

namespace {

/// A reply that keeps arriving may take up to this many timeouts.
constexpr int maxTimeoutsPerReply = 4;

const char *methodName(http_method method)
{
    switch (method) {
    case http_method::Get:
        return "GET";
    case http_method::Post:
        return "POST";
    case http_method::Put:
        return "PUT";
    case http_method::Delete:
        return "DELETE";
    }
    return "GET";
}

class stream_http_connection : public http_connection
{
public:
    stream_http_connection(event_loop &loop, client_connector &connector, endpoint to)
        : m_loop(loop)
        , m_connector(connector)
        , m_to(std::move(to))
        , m_host(m_to.address.find(':') == std::string::npos ? m_to.address
                                                             : "[" + m_to.address + "]")
        , m_timer(loop, [this] { onTimer(); })
    {
        m_host += ":" + std::to_string(m_to.port);
    }

    void send(const http_request &request, duration timeout, outcome_hook done) override;
    bool busy() const override { return m_done != nullptr; }
    bool established() const override { return m_connection && m_connection->open(); }

private:
    void onTimer();
    time_point deadline() const;
    void finish(http_outcome outcome);

    event_loop &m_loop;
    client_connector &m_connector;
    endpoint m_to;
    std::string m_host;
    std::unique_ptr<client_connection> m_connection;
    outcome_hook m_done;
    time_point m_sentAt{};
    duration m_timeout{};
    /// Stays armed between requests to avoid rearming it, since most requests end long before their
    /// deadline.
    earliest_timer m_timer;
};

void stream_http_connection::send(const http_request &request, duration timeout, outcome_hook done)
{
    m_done = std::move(done);
    if (!established())
        m_connection = m_connector.open(m_to, {nullptr, [] {}});
    exchange_request text;
    text.text = requestText(methodName(request.method), request.path, m_host, request.headers,
                            request.body);
    m_sentAt = m_loop.now();
    m_timeout = timeout;
    m_timer.wakeAt(m_sentAt + m_timeout);
    m_connection->send(std::move(text),
                       [this](http_outcome outcome) { finish(std::move(outcome)); });
}

time_point stream_http_connection::deadline() const
{
    const time_point progressAt = m_connection->lastReceivedAt().value_or(m_sentAt);
    return std::min(progressAt + m_timeout, m_sentAt + maxTimeoutsPerReply * m_timeout);
}

void stream_http_connection::onTimer()
{
    if (!busy())
        return;
    if (m_loop.now() < deadline()) {
        m_timer.wakeAt(deadline());
        return;
    }
    http_outcome outcome;
    outcome.failure = m_connection->isRequestWritten() ? transport_failure::MayHaveRun
                                                       : transport_failure::NotSent;
    m_connection.reset();
    finish(std::move(outcome));
}

void stream_http_connection::finish(http_outcome outcome)
{
    // The hook may destroy this connection, so no member is accessed after the call.
    const auto done = std::exchange(m_done, nullptr);
    if (done)
        done(std::move(outcome));
}

} // namespace

std::unique_ptr<http_connection> stream_connector::open(const endpoint &to)
{
    return std::make_unique<stream_http_connection>(m_loop, *m_connector, to);
}

} // namespace peridotwheel
