#include "attempt.h"

#include "engine_state.h"
#include "running_query.h"

#include <algorithm>
#include <charconv>
#include <strings.h>

namespace peridotwheel {

namespace {

/// Replies shortly after the deadline still tell how slow a server is; later ones only hold the
/// connection.
constexpr duration lateReplyGrace = milliseconds(250);
/// Latency that queueing may add, as a multiple of the nearest server's latency, before the
/// concurrency limit shrinks.
constexpr int toleratedQueueing = 2;

template <class Id>
std::optional<Id> numberFrom(const std::string &text)
{
    typename Id::value_type value{};
    const char *const end = text.data() + text.size();
    const auto [next, code] = std::from_chars(text.data(), end, value);
    if (code != std::errc() || next != end)
        return std::nullopt;
    return Id(value);
}

bool sameName(const std::string &a, std::string_view b)
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
        if (sameName(name, "X-Index-Version"))
            parsed.version = numberFrom<index_version>(value);
        if (sameName(name, "X-Shards"))
            parsed.shards = value;
        if (sameName(name, "X-Draining"))
            parsed.draining = value == "1";
        if (sameName(name, "X-Not-Run"))
            parsed.notRun = value == "1";
        if (sameName(name, "X-Start-Id"))
            parsed.start = numberFrom<start_id>(value);
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
    return m_query->finishAt();
}

void attempt::abandon()
{
    if (!m_sent || m_over || !server->pool.abort(*this))
        return;
    m_over = true;
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
        m_state.count.first.add();
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
    m_over = true;
    const time_point now = m_state.loop.now();
    m_state.noticeTime(now);
    const reply_headers headers = parseHeaders(outcome.reply.headers);
    account(outcome, headers, now);
    if (m_query != nullptr)
        m_query->onOutcome(*this, headers, outcome);
}

void attempt::onReturned()
{
    m_over = true;
    if (m_query != nullptr)
        m_query->onReturned(*this);
}

void attempt::account(const http_outcome &outcome, const reply_headers &headers, time_point now)
{
    if (outcome.ok()) {
        accountReply(outcome.reply.status, headers, now);
        return;
    }
    // An idle connection that the server closed shows in this way; nothing was sent.
    if (outcome.failure == transport_failure::NotSent) {
        server->stats.onAbandoned(now);
        return;
    }
    m_state.count.failures.add();
    server->stats.onFailure(now);
}

void attempt::accountReply(int status, const reply_headers &headers, time_point now)
{
    const bool full = (status == 503 && headers.notRun) || status == 504;
    if (status == 200) {
        accountSuccess(now);
    } else if (full) {
        m_state.count.shed.add();
        server->stats.onShed(now);
        server->limiter.onShed(now);
    } else if (status == 410) {
        server->stats.onShed(now);
    } else {
        m_state.count.failures.add();
        server->stats.onFailure(now);
    }
    server->pool.setMaxInFlight(server->limiter.limit());
    if (headers.draining && !server->leaving)
        m_state.noteLeaving(server->record.id, headers.start.value_or(server->record.start), true);
}

void attempt::accountSuccess(time_point now)
{
    const duration latency = now - m_sentAt;
    // Time during which this process did not run is no latency of the server.
    if (m_sentAt < m_state.stalledUntil) {
        server->stats.onUntimedReply(now);
        return;
    }
    server->stats.onReply(latency, now);
    server->service.add(latency);
    const duration tolerated =
            server->stats.baselineLatency() + toleratedQueueing * server->service.nearest;
    server->limiter.onReply(server->stats.expectedLatency(now), tolerated, server->stats.inFlight(),
                            now);
}

void attempt::giveUp()
{
    m_query = nullptr;
    if (m_over)
        return;
    if (!m_sent) {
        m_over = true;
        server->pool.withdraw(*this);
        return;
    }
    // The reply to a probe is awaited for its own sake, and that of a suspect server tells whether
    // it is slow or dead.
    if (kind == attempt_kind::Probe || server->stats.suspect())
        return;
    const time_point now = m_state.loop.now();
    // A cancellation is a request too: it pays only while the attempt probably waits in the
    // server's queue.
    if (now - m_sentAt >= server->stats.baselineLatency() / 2)
        return;
    const http_request cancel{http_method::Post, "/cancel", {{"X-Attempt", wireId()}}, ""};
    if (server->pool.sendIgnoringReply(cancel, lateReplyGrace))
        m_state.count.cancels.add();
}

} // namespace peridotwheel
