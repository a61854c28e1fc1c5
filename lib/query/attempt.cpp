#include "attempt.h"

#include "engine_state.h"
#include "running_query.h"

#include <algorithm>
#include <charconv>
#include <strings.h>

namespace peridotwheel {

namespace {

/// Replies shortly after the deadline still show how slow a server is; waiting longer would only
/// block the connection.
constexpr duration lateReplyGrace = milliseconds(250);
/// Latency that queueing may add before the concurrency limit shrinks, as a multiple of the lowest
/// latency floor among the servers of the service.
constexpr int toleratedQueueingFactor = 2;

template <class Id>
std::optional<Id> parseNumber(const std::string &text)
{
    typename Id::value_type value{};
    const char *const end = text.data() + text.size();
    const auto [next, code] = std::from_chars(text.data(), end, value);
    if (code != std::errc() || next != end)
        return std::nullopt;
    return Id(value);
}

bool equalsIgnoringCase(const std::string &a, std::string_view b)
{
    return a.size() == b.size() && strncasecmp(a.data(), b.data(), b.size()) == 0;
}

std::string joinShards(const std::vector<shard_id> &shards)
{
    std::string text;
    for (const shard_id s : shards) {
        if (!text.empty())
            text += ',';
        text += std::to_string(s.value());
    }
    return text;
}

} // namespace

reply_headers parseHeaders(const http_headers &headers)
{
    reply_headers parsed;
    for (const auto &[name, value] : headers) {
        if (name.size() < 3 || (name[0] != 'X' && name[0] != 'x') || name[1] != '-')
            continue;
        if (equalsIgnoringCase(name, "X-Index-Version"))
            parsed.version = parseNumber<index_version>(value);
        if (equalsIgnoringCase(name, "X-Shards"))
            parsed.shards = value;
        if (equalsIgnoringCase(name, "X-Draining"))
            parsed.draining = value == "1";
        if (equalsIgnoringCase(name, "X-Not-Run"))
            parsed.notRun = value == "1";
        if (equalsIgnoringCase(name, "X-Start-Id"))
            parsed.start = parseNumber<start_id>(value);
    }
    return parsed;
}

attempt::attempt(engine_state &state, running_query &query, std::shared_ptr<backend_server> to,
                 attempt_kind k)
    : id(state.nextAttempt++)
    , server(std::move(to))
    , kind(k)
    , m_state(state)
    , m_query(&query)
{
}

class_rank attempt::rank() const
{
    return m_query->request().spec.rank;
}

time_point attempt::deadline() const
{
    return m_query->answerDeadline();
}

void attempt::abortConnection()
{
    if (!m_sent || m_finished || !server->pool.abort(*this))
        return;
    m_finished = true;
    server->stats.onAbandoned(m_state.loop.now());
}

std::string attempt::wireId() const
{
    return m_state.attemptPrefix + std::to_string(id.value());
}

http_request attempt::buildRequest(time_point now)
{
    const query_request &query = m_query->request();
    const auto leftMs = std::chrono::duration_cast<milliseconds>(query.deadline - now).count();
    http_request request;
    request.method = http_method::Post;
    request.path = plain ? "/run" : "/search";
    request.headers.reserve(6);
    request.headers.emplace_back("X-Attempt", wireId());
    request.headers.emplace_back("X-Deadline-Ms", std::to_string(std::max<long>(leftMs, 1)));
    request.headers.emplace_back("X-Data-Centre", m_state.dataCentre.value());
    if (!plain) {
        request.headers.emplace_back("X-Index-Version", std::to_string(m_query->version().value()));
        request.headers.emplace_back("X-Shards", joinShards(shards));
    }
    if (!query.repeatable)
        request.headers.emplace_back("X-Request-Id", query.id.value());
    request.body = query.text;
    return request;
}

duration attempt::timeout(time_point now) const
{
    return m_query->request().deadline - now + lateReplyGrace;
}

void attempt::onSent(time_point now)
{
    m_sent = true;
    m_sentAt = now;
    server->stats.onSent(now);
    switch (kind) {
    case attempt_kind::First:
        m_state.count.firstAttempts.add();
        return;
    case attempt_kind::Hedge:
        m_state.count.hedges.add();
        return;
    case attempt_kind::Retry:
        m_state.count.retries.add();
        return;
    case attempt_kind::Probe:
        m_state.count.probes.add();
        return;
    }
}

void attempt::onOutcome(http_outcome outcome)
{
    m_finished = true;
    const time_point now = m_state.loop.now();
    m_state.detectLocalStall(now);
    const reply_headers headers = parseHeaders(outcome.reply.headers);
    recordOutcome(outcome, headers, now);
    if (m_query != nullptr)
        m_query->onOutcome(*this, headers, outcome);
}

void attempt::onReturned()
{
    m_finished = true;
    if (m_query != nullptr)
        m_query->onReturned(*this);
}

void attempt::recordOutcome(const http_outcome &outcome, const reply_headers &headers,
                            time_point now)
{
    if (outcome.ok()) {
        recordReply(outcome.reply.status, headers, now);
        return;
    }
    // The server closed an idle connection: nothing was sent, so this is no failure of the server.
    if (outcome.failure == transport_failure::NotSent) {
        server->stats.onAbandoned(now);
        return;
    }
    m_state.count.failedReplies.add();
    server->stats.onFailure(now);
}

void attempt::recordReply(int status, const reply_headers &headers, time_point now)
{
    const bool isShed = (status == 503 && headers.notRun) || status == 504;
    if (status == 200) {
        recordSuccess(now);
    } else if (isShed) {
        m_state.count.shedReplies.add();
        server->stats.onShed(now);
        server->limiter.onShed(now);
    } else if (status == 410) {
        server->stats.onShed(now);
    } else {
        m_state.count.failedReplies.add();
        server->stats.onFailure(now);
    }
    server->pool.setMaxInFlight(server->limiter.limit());
    if (headers.draining && !server->leaving)
        m_state.noteLeaving(server->record.id, headers.start.value_or(server->record.start), true);
}

void attempt::recordSuccess(time_point now)
{
    const duration latency = now - m_sentAt;
    // The measured time includes a local stall and is not the latency of the server.
    if (m_sentAt < m_state.lastStallEnd) {
        server->stats.onUntimedReply(now);
        return;
    }
    server->stats.onReply(latency, now);
    server->service.add(latency);
    const duration tolerated = server->stats.baselineLatency() +
                               toleratedQueueingFactor * server->service.nearestFloor;
    server->limiter.onReply(server->stats.expectedLatency(now), tolerated, server->stats.inFlight(),
                            now);
}

void attempt::discard()
{
    m_query = nullptr;
    if (m_finished)
        return;
    if (!m_sent) {
        m_finished = true;
        server->pool.withdraw(*this);
        return;
    }
    // The purpose of a probe is its reply, and the reply of a suspect server shows whether it is
    // slow or dead.
    if (kind == attempt_kind::Probe || server->stats.suspect())
        return;
    const time_point now = m_state.loop.now();
    // A cancellation is a request as well. It is worth its cost only while the attempt probably
    // still waits in the queue of the server.
    if (now - m_sentAt >= server->stats.baselineLatency() / 2)
        return;
    const http_request cancel{http_method::Post, "/cancel", {{"X-Attempt", wireId()}}, ""};
    if (server->pool.sendIgnoringReply(cancel, lateReplyGrace))
        m_state.count.cancels.add();
}

} // namespace peridotwheel
