#include "running_request.h"

#include "record_merge.h"

#include <algorithm>
#include <utility>

namespace peridotwheel {

namespace {

/// Requests to one service for one part of a request, rejected ones included.
constexpr unsigned maxArrivals = 4;
/// A second attempt that the budget denies asks again after this long.
constexpr duration budgetRetry = milliseconds(20);
/// What is on its way after the answer is given up after this long: pauses of servers are shorter.
constexpr duration leftoverTime = milliseconds(500);
/// Advice to callers of a request that was refused because no server can be reached. Suspects are
/// checked several times a second.
constexpr duration unreachableRetryAfter = milliseconds(400);
constexpr int marginShare = 10;
/// Share of the extra attempts that is kept back for each rank of greater urgency, and its bound.
constexpr double reservePerRank = 0.1;
constexpr double maxReserve = 0.5;

double asMs(duration d)
{
    return toMilliseconds(d);
}

} // namespace

running_request::running_request(gateway_state &state, route_ptr r, configuration_version version,
                                 const opaque_request &request, const caller_terms &terms,
                                 std::shared_ptr<client_exchange> client)
    : m_state(state)
    , m_route(std::move(r))
    , m_version(version)
    , m_request(std::make_shared<outgoing_request>(state.dialect.prepare(request, terms)))
    , m_client(std::move(client))
    , m_story(terms.id, state.loop.now())
{
    const duration patience = std::min(terms.patience.value_or(m_route->timeout), m_route->timeout);
    const duration margin = std::min(m_state.options.answerMargin, patience / marginShare);
    m_times.arrival = m_state.loop.now();
    m_times.deadline = m_times.arrival + patience - margin;
    const duration target =
            m_route->target - std::min(m_state.options.answerMargin, m_route->target / 2);
    m_times.targetEnd = std::min(m_times.arrival + target, m_times.deadline);
}

void running_request::addParts()
{
    std::vector<service_name> services;
    if (isGather()) {
        services = m_route->gather->shards;
    } else {
        auto &rotation = m_state.rotations[m_route->name];
        services = {m_route->services[rotation.next(m_route->services)].service};
    }
    m_parts.reserve(services.size());
    const time_point now = m_state.loop.now();
    for (const auto &name : services) {
        part p;
        p.group = m_state.groupPtr(name);
        p.group->extra.onRequest(now);
        m_parts.push_back(std::move(p));
    }
}

void running_request::start()
{
    const auto self = shared_from_this();
    m_client->onClientGone([weak = weak_from_this()] {
        if (const auto request = weak.lock())
            request->onClientGone();
    });
    if (isGather())
        waitForAdmission();
    else
        run();
}

void running_request::waitForAdmission()
{
    admission_gate &gate = m_state.gateOf(*m_route);
    admission_gate::waiting_query query;
    query.run = [this, &gate, self = shared_from_this()] {
        if (m_over)
            return false;
        m_gate = &gate;
        run();
        return true;
    };
    query.refuse = [this, &gate, self = shared_from_this()](duration retryAfter) {
        if (m_over)
            return;
        m_story.add(m_state.loop.now(), "not_admitted", "", "", gate.limit());
        refuse(retryAfter, "more work than the servers can do in time; not run, try again\n");
    };
    gate.offer(m_route->rank, m_times.targetEnd, std::move(query));
}

void running_request::leaveGate()
{
    admission_gate *gate = std::exchange(m_gate, nullptr);
    if (gate == nullptr)
        return;
    const bool anySent = std::any_of(m_parts.begin(), m_parts.end(), [](const part &p) {
        return p.done || p.arrivals > 0 || !p.tried.empty();
    });
    if (anySent)
        gate->onEnded(m_route->rank, m_state.loop.now() - m_admittedAt, pressure());
    else
        gate->onAbandoned();
}

double running_request::pressure() const
{
    const duration idle = std::max(m_state.workOf(*m_route).onIdleServers(), duration(1));
    std::vector<duration> times;
    times.reserve(m_parts.size());
    const time_point now = m_state.loop.now();
    for (const part &p : m_parts) {
        if (p.done)
            times.push_back(p.served);
        // Waiting for a connection says nothing about the server's work.
        else if (!p.live.empty() && p.live.front().attempt->sent)
            times.push_back(now - p.live.front().attempt->sentAt);
    }
    if (times.empty())
        return 1;
    const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
    std::nth_element(times.begin(), middle, times.end());
    return toMilliseconds(*middle) / toMilliseconds(idle);
}

void running_request::run()
{
    const auto self = shared_from_this();
    m_inStart = true;
    m_admittedAt = m_state.loop.now();
    addParts();
    if (m_times.deadline <= m_state.loop.now()) {
        refuse(duration::zero(), "no time is left; not run\n");
    } else if (!refuseIfHopeless()) {
        for (std::size_t i = 0; i < m_parts.size(); ++i) {
            if (!m_parts[i].lost && !send(i, attempt_kind::First))
                m_parts[i].lost = true;
        }
    }
    m_inStart = false;
    check();
}

bool running_request::refuseIfHopeless()
{
    const time_point now = m_state.loop.now();
    for (part &p : m_parts) {
        const auto best = place(p, false);
        p.lost = !best;
        p.doubtful = best && best->doubtful;
        const bool tooLong =
                best && !best->doubtful && now + best->expected > m_times.deadline && !isGather();
        if (tooLong)
            p.lost = true;
        if (p.lost || p.doubtful) {
            const char *what = !best ? "no_server" : tooLong ? "wait_too_long" : "servers_silent";
            m_story.add(now, what, p.group->name.value(), "",
                        static_cast<double>(p.group->servers.size()));
        }
    }
    parts_state likely = partsState();
    likely.answered = likely.open - likely.doubtful;
    if (coversEnough(likely)) {
        // Asking servers that probably do not answer would only hold the answer back.
        for (part &p : m_parts)
            p.lost = p.lost || p.doubtful;
        return false;
    }
    refuse(unreachableRetryAfter, "too few servers can be reached; not run, try again\n");
    return true;
}

std::optional<placement> running_request::place(const part &p, bool allowTried) const
{
    std::vector<placement_candidate> candidates;
    candidates.reserve(p.group->servers.size());
    for (const auto &server : p.group->servers) {
        placement_candidate c = server->candidate();
        const bool tried = std::find(p.tried.begin(), p.tried.end(), server.get()) != p.tried.end();
        const bool isLive = std::any_of(p.live.begin(), p.live.end(),
                                        [&](const auto &l) { return l.server == server; });
        c.usable = c.usable && !isLive && (allowTried || !tried);
        candidates.push_back(c);
    }
    return chooseServer(candidates, m_state.workOf(*m_route).usual(), m_state.loop.now());
}

bool running_request::send(std::size_t index, attempt_kind kind)
{
    part &p = m_parts[index];
    auto best = place(p, false);
    if (!best && kind == attempt_kind::Repeat)
        best = place(p, true);
    if (!best)
        return false;
    const backend_server_ptr server = p.group->servers[best->index];
    const time_point now = m_state.loop.now();
    attempt_spec spec;
    spec.rank = m_route->rank;
    spec.deadline = m_times.deadline;
    spec.work = m_state.workOf(*m_route).usual();
    spec.needsProvenConnection = !mayRepeat();
    spec.request = m_request;
    p.tried.push_back(server.get());
    const char *what = "attempt";
    if (kind == attempt_kind::Second) {
        what = "second_attempt";
        m_state.count.secondAttempts.add();
    } else if (kind == attempt_kind::Repeat) {
        what = "repeated_attempt";
        m_state.count.repeatedAttempts.add();
    }
    m_state.count.attempts.add();
    m_story.add(now, what, p.group->name.value(), server->record().id.value(),
                asMs(best->expected));
    // The result names its attempt, which exists only after `submit`.
    auto slot = std::make_shared<backend_attempt_ptr>();
    spec.done = [weak = weak_from_this(), index, slot](attempt_result result) {
        if (const auto self = weak.lock())
            self->onResult(index, *slot, std::move(result));
    };
    *slot = server->submit(std::move(spec));
    p.live.push_back({server, *slot});
    planSecond(p, *server);
    return true;
}

void running_request::planSecond(part &p, const backend_server &server)
{
    p.secondAt.reset();
    if (!mayRepeat() || p.live.size() > 1)
        return;
    const auto other = place(p, false);
    if (!other || other->doubtful)
        return;
    second_attempt_input input;
    input.sentAt = m_state.loop.now();
    input.work = m_state.workOf(*m_route).usual();
    input.distance = server.health().distance();
    input.alternativeDistance = p.group->servers[other->index]->health().distance();
    p.secondAt = secondAttemptTime(input, m_times);
}

void running_request::onResult(std::size_t index, const backend_attempt_ptr &a,
                               attempt_result result)
{
    if (m_over)
        return;
    const auto self = shared_from_this();
    part &p = m_parts[index];
    backend_server_ptr server;
    const auto it = std::find_if(p.live.begin(), p.live.end(),
                                 [&](const auto &l) { return l.attempt == a; });
    if (it != p.live.end()) {
        server = it->server;
        p.live.erase(it);
    }
    if (p.done || !server)
        return;
    // A request that may be repeated loses nothing if a connection that was probably refused is
    // taken for one that was not opened; any other one may have run.
    const bool sent =
            result.end != attempt_end::NotSent && !(result.probablyRefused && mayRepeat());
    if (sent)
        ++p.arrivals;
    const bool isReply = result.end == attempt_end::Reply;
    const bool rejected = isReply && (result.verdict == reply_verdict::NotRun ||
                                      result.verdict == reply_verdict::WrongServer);
    if (sent && !rejected)
        ++p.mayHaveRun;
    if (isReply && result.verdict == reply_verdict::Answer) {
        onAnswer(index, sampleWork(*server, *a), result);
        return;
    }
    const time_point now = m_state.loop.now();
    const char *what = "attempt_not_sent";
    if (rejected)
        what = "attempt_rejected";
    else if (isReply)
        what = "attempt_failed";
    else if (sent)
        what = "attempt_lost";
    m_story.add(now, what, p.group->name.value(), server->record().id.value(),
                isReply ? result.reply.status : 0);
    if (isReply && result.verdict == reply_verdict::WrongServer && m_state.onOutdatedView)
        m_state.onOutdatedView();
    if (isReply && result.verdict == reply_verdict::Failure)
        p.failure = std::move(result.reply);
    if (p.live.empty())
        repeat(index, sent && !rejected);
    check();
}

duration running_request::sampleWork(const backend_server &server, const backend_attempt &a)
{
    const time_point now = m_state.loop.now();
    const duration served = std::max(now - a.sentAt - server.health().distance(), duration::zero());
    m_state.workOf(*m_route).add(served, now);
    return served;
}

void running_request::onAnswer(std::size_t index, duration served, attempt_result &result)
{
    part &p = m_parts[index];
    p.done = true;
    p.served = served;
    for (const live_attempt &l : p.live) {
        l.server->detach(l.attempt);
        l.attempt->spec.deadline =
                std::min(l.attempt->spec.deadline, m_state.loop.now() + leftoverTime);
    }
    p.live.clear();
    if (!isGather()) {
        deliver(m_state.dialect.passOn(std::move(result.reply)), "answered");
        return;
    }
    p.result = m_state.dialect.readPart(std::move(result.reply));
    check();
}

bool running_request::takeExtra(part &p)
{
    const time_point now = m_state.loop.now();
    const double reserve = std::min(reservePerRank * m_route->rank.value(), maxReserve);
    if (p.group->extra.take(now, m_state.instances(), reserve))
        return true;
    m_state.count.budgetDenied.add();
    if (!p.wasDenied) {
        m_story.add(now, "extra_attempt_denied", p.group->name.value(), "",
                    p.group->extra.allowance(now, m_state.instances()));
    }
    p.wasDenied = true;
    return false;
}

void running_request::repeat(std::size_t index, bool mayHaveRun)
{
    part &p = m_parts[index];
    const bool isForbidden = mayHaveRun && !mayRepeat();
    const bool isUsedUp = p.mayHaveRun >= m_route->maxAttempts || p.arrivals >= maxArrivals;
    const auto next = place(p, p.arrivals > 0);
    const time_point now = m_state.loop.now();
    const bool inTime = next && !next->doubtful && now + next->expected < m_times.deadline;
    if (isForbidden || isUsedUp || !inTime || (p.arrivals > 0 && !takeExtra(p)) ||
        !send(index, attempt_kind::Repeat))
        p.lost = true;
}

void running_request::sendDueSeconds(time_point now)
{
    for (std::size_t i = 0; i < m_parts.size(); ++i) {
        part &p = m_parts[i];
        if (p.done || p.lost || !p.secondAt || now < *p.secondAt)
            continue;
        p.secondAt.reset();
        sendSecond(i, now);
    }
}

void running_request::sendSecond(std::size_t index, time_point now)
{
    part &p = m_parts[index];
    if (p.live.size() != 1)
        return;
    const auto other = place(p, false);
    if (!other || other->doubtful || now + other->expected >= m_times.deadline)
        return;
    const live_attempt first = p.live.front();
    if (!first.attempt->sent) {
        // Nothing has reached a server yet, so that going elsewhere costs no extra attempt.
        if (first.server->withdraw(first.attempt)) {
            p.live.clear();
            if (!send(index, attempt_kind::First))
                p.lost = true;
        }
        return;
    }
    const unsigned mayRun = p.mayHaveRun + 1;
    if (mayRun >= m_route->maxAttempts || p.arrivals + 1 >= maxArrivals)
        return;
    if (!takeExtra(p)) {
        p.secondAt = now + budgetRetry;
        return;
    }
    send(index, attempt_kind::Second);
}

parts_state running_request::partsState() const
{
    parts_state s;
    s.total = m_parts.size();
    s.minCoverage = isGather() ? m_route->gather->minCoverage : 1.0;
    const time_point now = m_state.loop.now();
    for (const part &p : m_parts) {
        s.answered += p.done ? 1 : 0;
        if (p.done || p.lost)
            continue;
        ++s.open;
        const bool stuck = !p.live.empty() &&
                           std::all_of(p.live.begin(), p.live.end(), [now, this](const auto &l) {
                               return expectedPlacement(l.server->candidate(),
                                                        m_state.workOf(*m_route).usual(), now)
                                       .doubtful;
                           });
        s.doubtful += p.live.empty() ? (p.doubtful ? 1 : 0) : (stuck ? 1 : 0);
    }
    return s;
}

void running_request::check()
{
    if (m_over || m_inStart)
        return;
    const time_point now = m_state.loop.now();
    switch (decideAnswer(partsState(), m_times, now)) {
    case answer_decision::Wait:
        armTimer();
        return;
    case answer_decision::Answer:
        answerGathered();
        return;
    case answer_decision::Fail:
        answerFailure();
        return;
    }
}

void running_request::armTimer()
{
    const time_point now = m_state.loop.now();
    time_point next = now < m_times.targetEnd ? m_times.targetEnd : m_times.deadline;
    for (const part &p : m_parts) {
        if (!p.done && !p.lost && p.secondAt)
            next = std::min(next, *p.secondAt);
    }
    // A timer that fires early only looks again.
    if (m_armedFor && *m_armedFor <= next)
        return;
    m_armedFor = next;
    m_timer = m_state.loop.schedule(next - now, [this] { onTimer(); });
}

void running_request::onTimer()
{
    const auto self = shared_from_this();
    m_armedFor.reset();
    sendDueSeconds(m_state.loop.now());
    check();
}

void running_request::answerGathered()
{
    std::vector<answer_part> parts;
    parts.reserve(m_parts.size());
    for (part &p : m_parts) {
        if (p.done)
            parts.push_back(std::move(p.result));
    }
    const std::size_t missing = m_parts.size() - parts.size();
    if (missing > 0)
        m_state.count.partial.add();
    std::string records = greatestRecords(parts, m_route->gather->topRecords);
    deliver(m_state.dialect.writeGathered(parts, missing, std::move(records)),
            missing > 0 ? "partial" : "answered");
}

refusal running_request::ownFailure() const
{
    bool mayHaveRun = false;
    for (const part &p : m_parts) {
        mayHaveRun = mayHaveRun || p.mayHaveRun > 0 || p.done;
        for (const live_attempt &l : p.live)
            mayHaveRun = mayHaveRun || l.attempt->sent;
    }
    if (!mayHaveRun) {
        return {refusal_kind::NotRun, unreachableRetryAfter,
                "no server accepted the request; not run, try again\n"};
    }
    if (m_state.loop.now() >= m_times.deadline)
        return {refusal_kind::TimeRanOut, std::nullopt, "no answer in time; it may have run\n"};
    return {refusal_kind::NoAnswer, std::nullopt, "no usable answer; it may have run\n"};
}

void running_request::answerFailure()
{
    if (!isGather() && m_parts.front().failure && m_parts.front().live.empty()) {
        m_state.count.failed.add();
        deliver(m_state.dialect.passOn(std::move(*m_parts.front().failure)), "server_failure");
        return;
    }
    // What has not been sent is taken back first, so that "not run" stays true.
    for (part &p : m_parts) {
        for (const live_attempt &l : p.live)
            l.server->withdraw(l.attempt);
    }
    const refusal r = ownFailure();
    const bool notRun = r.kind == refusal_kind::NotRun;
    (notRun ? m_state.count.refused : m_state.count.failed).add();
    deliver(m_state.dialect.writeRefusal(r), notRun ? "not_run" : "failed");
}

void running_request::refuse(duration retryAfter, const char *text)
{
    m_state.count.refused.add();
    deliver(m_state.dialect.writeRefusal({refusal_kind::NotRun, retryAfter, text}), "refused");
}

void running_request::endAttempts()
{
    const time_point end = m_state.loop.now() + leftoverTime;
    for (part &p : m_parts) {
        for (const live_attempt &l : p.live) {
            l.server->detach(l.attempt);
            l.attempt->spec.deadline = std::min(l.attempt->spec.deadline, end);
        }
        p.live.clear();
    }
}

void running_request::deliver(const http_reply &reply, const char *outcome)
{
    const auto self = shared_from_this();
    const time_point now = m_state.loop.now();
    m_over = true;
    m_timer.cancel();
    leaveGate();
    endAttempts();
    m_state.running.erase(self);
    constexpr int firstFailure = 300;
    const bool late = now > m_times.targetEnd;
    if (reply.status < firstFailure) {
        m_state.count.answered.add();
        m_state.latency.add(m_route->rank, now - m_times.arrival);
        if (late)
            m_state.count.late.add();
    }
    const bool isRemarkable =
            late || reply.status >= firstFailure ||
            std::any_of(m_parts.begin(), m_parts.end(), [](const part &p) { return !p.done; });
    m_story.write(m_state.log, now, *m_route, m_version, outcome, isRemarkable);
    m_client->reply(reply);
}

void running_request::onClientGone()
{
    const auto self = shared_from_this();
    const time_point now = m_state.loop.now();
    m_over = true;
    m_timer.cancel();
    m_state.count.clientsGone.add();
    m_story.add(now, "client_gone", "", "");
    m_story.write(m_state.log, now, *m_route, m_version, "client_gone", false);
    // Short work is left to finish, which keeps the connection; closing is the only way to end the
    // rest.
    for (part &p : m_parts) {
        for (const live_attempt &l : p.live) {
            l.server->detach(l.attempt);
            l.attempt->spec.deadline =
                    std::min(l.attempt->spec.deadline, now + m_state.options.goneGrace);
        }
        p.live.clear();
    }
    m_state.running.erase(self);
    leaveGate();
}

void running_request::drop()
{
    m_over = true;
    m_timer.cancel();
    for (part &p : m_parts) {
        for (const live_attempt &l : p.live)
            l.server->detach(l.attempt);
        p.live.clear();
    }
}

} // namespace peridotwheel
