#include "peridotwheel/http/socket_connector.h"

#include "peridotwheel/http/socket_stream.h"
#include "peridotwheel/support/libevent_loop.h"

#include <cassert>
#include <utility>

namespace peridotwheel {

namespace {

constexpr std::size_t maxReplyHeaderBytes = 64 * 1024;
/// Interim replies and replies to other requests that one exchange skips before it fails.
constexpr int maxSkippedReplies = 16;

class socket_connection : public client_connection
{
public:
    socket_connection(libevent_loop &loop, const endpoint &to, std::size_t maxReplyBytes,
                      reply_memory &memory, tcp_keepalive keepalive, client_connection_hooks hooks)
        : m_loop(loop)
        , m_hooks(std::move(hooks))
        , m_parser(message_parser::role::Reply)
        , m_held(memory, {[this](bool reading) { setReading(reading); }, [this] { giveUp(); }})
        , m_stream(loop, to, keepalive,
                   {[this] { onConnected(); }, [this](std::string_view data) { onData(data); },
                    [this](stream_end how) { onEnd(how); }})
    {
        m_parser.setLimits({maxReplyHeaderBytes, maxReplyBytes});
    }

    void send(exchange_request request, outcome_hook done) override
    {
        assert(!busy() && "one request at a time on a connection");
        m_request = std::move(request);
        m_done = std::move(done);
        m_parser.expectNoBody(m_request.isHead);
        m_lastReceivedAt.reset();
        m_skippedReplies = 0;
        if (m_stream.isConnected())
            writeRequest();
    }

    bool busy() const override { return m_done != nullptr; }
    bool open() const override { return m_stream.isConnected() && !m_ended; }
    bool isRequestWritten() const override { return m_written; }
    std::optional<time_point> lastReceivedAt() const override { return m_lastReceivedAt; }

private:
    void onConnected()
    {
        if (busy())
            writeRequest();
        if (const auto hook = m_hooks.onOpen)
            hook();
    }

    void writeRequest()
    {
        m_written = true;
        m_stream.write(m_request.text);
        m_request.text = std::string();
    }

    void onData(std::string_view data)
    {
        if (m_ended)
            return;
        m_lastReceivedAt = m_loop.now();
        while (!data.empty()) {
            // Bytes outside an exchange belong to no request, and later bytes could no longer be
            // matched to a request reliably.
            if (!busy())
                return fail();
            data.remove_prefix(m_parser.feed(data.data(), data.size()));
            const auto state = m_parser.state();
            if (state == message_parser::parse_state::Incomplete)
                return m_held.setBytes(m_parser.heldBytes());
            m_held.setBytes(0);
            if (state != message_parser::parse_state::Complete)
                return fail();
            if (takeReply(!data.empty()))
                return;
        }
    }

    /// Returns true if the exchange has ended, in which case this connection may be destroyed.
    bool takeReply(bool hasMoreBytes)
    {
        const bool keep = m_parser.keepAlive();
        http_reply reply = m_parser.takeReply();
        constexpr int firstFinalStatus = 200;
        const bool isInterim = reply.status < firstFinalStatus;
        const bool answersOtherRequest =
                m_request.isReplyToRequest && !m_request.isReplyToRequest(reply);
        if (isInterim || answersOtherRequest) {
            if (answersOtherRequest && m_hooks.onReplySkipped)
                m_hooks.onReplySkipped();
            if (keep && ++m_skippedReplies <= maxSkippedReplies)
                return false;
            fail();
            return true;
        }
        m_ended = m_ended || !keep || hasMoreBytes;
        http_outcome outcome;
        outcome.reply = std::move(reply);
        finish(std::move(outcome));
        return true;
    }

    void setReading(bool reading)
    {
        if (!m_ended)
            m_stream.setReading(reading);
    }

    /// Called amid changes of `reply_memory`, so the failure is reported from the event loop.
    void giveUp()
    {
        m_ended = true;
        m_parser.reset();
        m_stream.setReading(false);
        m_failure = m_loop.schedule(duration::zero(), [this] { fail(); });
    }

    void onEnd(stream_end how)
    {
        const bool notWritten = !m_written;
        m_ended = true;
        m_held.setBytes(0);
        if (!busy()) {
            if (const auto hook = m_hooks.onClosed)
                hook();
            return;
        }
        if (how == stream_end::Closed) {
            m_parser.feedEnd();
            if (m_parser.state() == message_parser::parse_state::Complete && takeReply(false))
                return;
        }
        http_outcome outcome;
        outcome.failure = notWritten ? transport_failure::NotSent : transport_failure::MayHaveRun;
        outcome.isRefused = how == stream_end::Refused;
        finish(std::move(outcome));
    }

    void fail()
    {
        m_ended = true;
        if (!busy()) {
            if (const auto hook = m_hooks.onClosed)
                hook();
            return;
        }
        http_outcome outcome;
        outcome.failure = transport_failure::MayHaveRun;
        finish(std::move(outcome));
    }

    void finish(http_outcome outcome)
    {
        m_written = false;
        // The hook may destroy this connection, so no member is accessed after the call.
        const auto done = std::exchange(m_done, nullptr);
        if (done)
            done(std::move(outcome));
    }

    libevent_loop &m_loop;
    client_connection_hooks m_hooks;
    message_parser m_parser;
    exchange_request m_request;
    outcome_hook m_done;
    std::optional<time_point> m_lastReceivedAt;
    int m_skippedReplies = 0;
    bool m_written = false;
    bool m_ended = false;
    timer m_failure;
    reply_memory::holder m_held;
    socket_stream m_stream;
};

} // namespace

std::unique_ptr<client_connection> socket_connector::open(const endpoint &to,
                                                          client_connection_hooks hooks)
{
    return std::make_unique<socket_connection>(m_loop, to, m_maxReplyBytes, *m_memory, m_keepalive,
                                               std::move(hooks));
}

std::string requestText(const std::string &method, const std::string &target,
                        const std::string &host, const http_headers &headers,
                        const std::string &body)
{
    std::string out;
    constexpr std::size_t typicalHeadBytes = 512;
    out.reserve(typicalHeadBytes + body.size());
    out += method;
    out += ' ';
    out += target;
    out += " HTTP/1.1\r\nHost: ";
    out += host;
    out += "\r\n";
    for (const auto &[name, value] : headers) {
        out += name;
        out += ": ";
        out += value;
        out += "\r\n";
    }
    if (!body.empty() || method == "POST" || method == "PUT" || method == "PATCH") {
        out += "Content-Length: ";
        out += std::to_string(body.size());
        out += "\r\n";
    }
    out += "\r\n";
    out += body;
    return out;
}

} // namespace peridotwheel
