#include "peridotwheel/bench/load_generator.h"

#include "peridotwheel/bench/reply_check.h"
#include "peridotwheel/support/libevent_loop.h"

#include <nlohmann/json.hpp>

namespace peridotwheel {

namespace {

/// A caller gives a request up this long after its target; longer than every class's target, so
/// that a late answer is counted as late and not as lost.
constexpr duration callerPatience = seconds(5);
/// Copies arrive while the first is queued, running or just answered.
constexpr double maxResendDelayMs = 60.0;

} // namespace

struct load_generator::active_stream
{
    load_stream spec;
    time_point nextArrival{};
    timer next;
};

struct load_generator::sent_request
{
    const active_stream *stream;
    time_point intended;
    expected_reply expected;
};

load_generator::load_generator(libevent_loop &loop, load_target target,
                               std::vector<load_stream> streams, std::uint64_t seed)
    : m_loop(loop)
    , m_connector(loop)
    , m_client(m_connector)
    , m_target(std::move(target))
    , m_random(seed)
    , m_idPrefix("load-" + std::to_string(m_random.next()) + "-")
{
    for (auto &s : streams) {
        if (s.ratePerSecond <= 0.0)
            continue;
        m_streams.push_back(std::make_unique<active_stream>());
        m_streams.back()->spec = std::move(s);
    }
}

load_generator::~load_generator() = default;

void load_generator::start(std::function<void()> done)
{
    m_done = std::move(done);
    m_start = m_loop.now();
    m_running = m_streams.size();
    for (auto &stream : m_streams) {
        stream->nextArrival = m_start + stream->spec.start;
        scheduleNext(*stream);
    }
    checkDone();
}

void load_generator::scheduleNext(active_stream &stream)
{
    std::exponential_distribution<double> gap(stream.spec.ratePerSecond);
    stream.nextArrival += fromMilliseconds(gap(m_random.engine()) * 1000.0);
    stream.next = m_loop.schedule(stream.nextArrival - m_loop.now(),
                                  [this, &stream] { sendDue(stream); });
}

void load_generator::sendDue(active_stream &stream)
{
    const time_point end = m_start + stream.spec.end;
    if (stream.nextArrival >= end) {
        --m_running;
        checkDone();
        return;
    }
    sendOne(stream, stream.nextArrival);
    scheduleNext(stream);
}

void load_generator::sendOne(active_stream &stream, time_point intended)
{
    sent_request sent{&stream, intended, {}};
    sent.expected.requestId = m_idPrefix + std::to_string(m_nextId++);
    sent.expected.queryText = "q" + sent.expected.requestId;
    sent.expected.repeatable = stream.spec.repeatable;
    sent.expected.sharded = stream.spec.service.empty();

    nlohmann::json body = {{"class", stream.spec.spec.name.value()},
                           {"requestId", sent.expected.requestId},
                           {"query", sent.expected.queryText}};
    if (!stream.spec.service.empty())
        body["services"] = {stream.spec.service};
    if (!stream.spec.repeatable) {
        body["repeatable"] = false;
        body["issuedAt"] = m_loop.wallNow().time_since_epoch().count();
    }
    const http_request request{
            http_method::Post, "/query", {{"Content-Type", "application/json"}}, body.dump()};
    const duration timeout = stream.spec.spec.latencyTarget + callerPatience;
    if (m_random.fraction() < stream.spec.resendShare)
        sendAgain(sent, request, timeout);
    ++m_outstanding;
    m_client.send(m_target.balance(m_random), request, timeout,
                  [this, sent = std::move(sent)](const http_outcome &outcome) {
                      finishOne(sent, outcome);
                  });
}

void load_generator::sendAgain(const sent_request &sent, const http_request &request,
                               duration timeout)
{
    ++m_outstanding;
    const auto slot = m_resends.emplace(m_resends.end());
    const duration delay = fromMilliseconds(m_random.fraction() * maxResendDelayMs);
    *slot = m_loop.schedule(delay, [this, slot, sent, request, timeout] {
        // The loop keeps this function while it runs, also without its timer.
        m_resends.erase(slot);
        m_client.send(m_target.balance(m_random), request, timeout,
                      [this, sent](const http_outcome &outcome) {
                          --m_outstanding;
                          noteNotRun(sent, checkReply(sent.expected, outcome, m_result.violations));
                          checkDone();
                      });
    });
}

void load_generator::noteNotRun(const sent_request &sent, const observed_reply &seen)
{
    if (seen.refusedNotRun && !sent.expected.repeatable)
        m_result.saidNotRun.push_back(sent.expected.requestId);
}

void load_generator::finishOne(const sent_request &sent, const http_outcome &outcome)
{
    --m_outstanding;
    const class_spec &spec = sent.stream->spec.spec;
    observed_reply seen = checkReply(sent.expected, outcome, m_result.violations);
    seen.latency = m_loop.now() - sent.intended + m_target.callerRoundTrip;
    m_result.classes[spec.name].record(spec, sent.intended - m_start, seen);
    noteNotRun(sent, seen);
    checkDone();
}

void load_generator::checkDone()
{
    if (m_running != 0 || m_outstanding != 0 || !m_done)
        return;
    // The hook may destroy this generator.
    m_loop.post(std::exchange(m_done, nullptr));
}

} // namespace peridotwheel
