#include "running_request.h"

#include "record_merge.h"

#include <algorithm>

namespace peridotwheel {

namespace {

/// Attempts that are still in flight after the answer are aborted after this time; pauses of
/// servers are shorter.
constexpr duration leftoverAttemptTimeout = milliseconds(500);
/// Greatest share of the time until servers accept requests again that is added to it, so that
/// callers do not all return at once.
constexpr double availabilityJitter = 0.2;

std::size_t sizeOf(const http_reply &reply)
{
    std::size_t size = reply.body.size();
    for (const auto &[name, value] : reply.headers)
        size += name.size() + value.size();
    return size;
}

} // namespace

void running_request::onAnswer(std::size_t index, duration served, attempt_result &result)
{
    part &p = m_parts[index];
    p.isAnswered = true;
    ++m_answered;
    p.served = served;
    p.group->advice.onAccepted();
    releaseAttempts(p, m_state.loop.now() + leftoverAttemptTimeout);
    if (!isGather()) {
        deliver(m_state.dialect.toCallerReply(std::move(result.reply)), "answered");
        return;
    }
    p.result = m_state.dialect.readPart(std::move(result.reply));
    keepGreatestRecords(p.result, m_route->gather->topRecords);
    m_partBytes += p.result.records.capacity();
    m_client->setPartBytes(m_partBytes);
    answerIfDecided();
}

parts_state running_request::partsState() const
{
    parts_state s;
    s.total = m_parts.size();
    s.answered = m_answered;
    s.pending = m_parts.size() - m_answered - m_givenUp;
    s.minCoverage = isGather() ? m_route->gather->minCoverage : 1.0;
    return s;
}

bool running_request::isStuck(const part &p, time_point now) const
{
    if (p.live.empty())
        return p.isLikelyUnresponsive();
    return std::all_of(p.live.begin(), p.live.end(), [now, this](const live_attempt &l) {
        return estimatePlacement(l.server->candidate(), m_state.workOf(*m_route).typical(), now)
                .likelyUnresponsive;
    });
}

bool running_request::isStuck(time_point now) const
{
    const auto isAwaited = [&](std::size_t index) {
        return isPending(m_parts[index]) && !isStuck(m_parts[index], now);
    };
    if (isAwaited(m_awaited))
        return false;
    for (std::size_t i = 0; i < m_parts.size(); ++i) {
        if (isAwaited(i)) {
            m_awaited = i;
            return false;
        }
    }
    return true;
}

void running_request::giveUp(part &p)
{
    if (!isPending(p))
        return;
    p.isGivenUp = true;
    ++m_givenUp;
}

void running_request::answerIfDecided()
{
    if (m_isOver || m_isStarting)
        return;
    const time_point now = m_state.loop.now();
    parts_state parts = partsState();
    const bool isEnoughBeforeTargetEnd = meetsMinCoverage(parts) && now < m_times.targetEnd;
    m_isWaitingForTargetEnd = m_isWaitingForTargetEnd || isEnoughBeforeTargetEnd;
    // Looked at only where the decision depends on it, since this is called for each reply.
    if (isEnoughBeforeTargetEnd && parts.pending > 0)
        parts.unresponsive = isStuck(now) ? parts.pending : 0;
    switch (decideAnswer(parts, m_times, now)) {
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
    const auto isVoid = [this](const due_attempt &due) {
        const part &p = m_parts[due.second];
        return !isPending(p) || p.secondAttemptAt != due.first;
    };
    while (!m_dueAttempts.empty() && isVoid(m_dueAttempts.top()))
        m_dueAttempts.pop();
    const time_point next =
            m_state.loop.now() < m_times.targetEnd ? m_times.targetEnd : m_times.deadline;
    m_timer.wakeAt(m_dueAttempts.empty() ? next : std::min(next, m_dueAttempts.top().first));
}

void running_request::onTimer()
{
    const auto self = shared_from_this();
    sendDueSecondAttempts(m_state.loop.now());
    answerIfDecided();
}

void running_request::answerGathered()
{
    std::vector<answer_part> parts;
    parts.reserve(m_parts.size());
    for (part &p : m_parts) {
        if (p.isAnswered)
            parts.push_back(std::move(p.result));
    }
    const std::size_t missing = m_parts.size() - parts.size();
    if (missing > 0)
        m_state.count.partial.add();
    std::string records = greatestRecords(parts, m_route->gather->topRecords);
    deliver(m_state.dialect.writeGathered(parts, missing, std::move(records)),
            missing > 0 ? "partial" : "answered");
}

duration running_request::retryAfter() const
{
    const double chance = m_state.random.fraction();
    duration longest{};
    for (const part &p : m_parts) {
        if (!p.isAnswered)
            longest = std::max(longest, p.group->advice.retryDelay(chance));
    }
    return std::max(longest, scaled(timeUntilServersAccept(), 1 + availabilityJitter * chance));
}

duration running_request::timeUntilServersAccept() const
{
    std::vector<duration> waits;
    waits.reserve(m_parts.size());
    for (const part &p : m_parts) {
        duration wait{};
        if (!p.isAnswered && !p.group->servers.empty()) {
            wait = server_limit::unavailable;
            for (const auto &server : p.group->servers) {
                if (m_homes.allows(server->record().dataCentre))
                    wait = std::min(wait, server->availableIn());
            }
        }
        waits.push_back(wait);
    }
    std::sort(waits.begin(), waits.end());
    parts_state accepted = partsState();
    for (accepted.answered = 1; accepted.answered <= waits.size(); ++accepted.answered) {
        const duration wait = waits[accepted.answered - 1];
        if (meetsMinCoverage(accepted))
            return wait < server_limit::unavailable ? wait : duration::zero();
    }
    return duration::zero();
}

refusal running_request::ownFailure() const
{
    bool mayHaveRun = false;
    for (const part &p : m_parts) {
        mayHaveRun = mayHaveRun || p.wasWritten || p.isAnswered;
        for (const live_attempt &l : p.live)
            mayHaveRun = mayHaveRun || l.attempt->isSent;
    }
    if (!mayHaveRun) {
        return {refusal_kind::NotRun, retryAfter(),
                "no server accepted the request; not run, try again\n"};
    }
    if (m_state.loop.now() >= m_times.deadline)
        return {refusal_kind::DeadlineExceeded, std::nullopt,
                "no answer in time; it may have run\n"};
    return {refusal_kind::NoAnswer, std::nullopt, "no usable answer; it may have run\n"};
}

void running_request::answerFailure()
{
    if (!isGather() && m_parts.front().failure && m_parts.front().live.empty()) {
        m_state.count.failed.add();
        deliver(m_state.dialect.toCallerReply(std::move(*m_parts.front().failure)),
                "server_failure");
        return;
    }
    // Cancels unsent attempts first, so that a refusal as "not run" stays true.
    for (part &p : m_parts) {
        for (const live_attempt &l : p.live)
            l.server->cancelUnsent(l.attempt);
    }
    const refusal r = ownFailure();
    const bool notRun = r.kind == refusal_kind::NotRun;
    (notRun ? m_state.count.refused : m_state.count.failed).add();
    if (notRun)
        m_state.teamCounts.addRefused(m_team);
    deliver(m_state.dialect.writeRefusal(r), notRun ? "not_run" : "failed");
}

void running_request::refuse(duration retryAfter, const char *text)
{
    m_state.count.refused.add();
    m_state.teamCounts.addRefused(m_team);
    deliver(m_state.dialect.writeRefusal({refusal_kind::NotRun, retryAfter, text}), "refused");
}

void running_request::releaseAttempts(part &p, time_point end)
{
    for (const live_attempt &l : p.live) {
        l.server->detach(l.attempt);
        l.attempt->spec.deadline = std::min(l.attempt->spec.deadline, end);
    }
    p.live.clear();
}

void running_request::deliver(const http_reply &reply, const char *outcome)
{
    const auto self = shared_from_this();
    const time_point now = m_state.loop.now();
    m_isOver = true;
    m_timer.cancel();
    returnUnusedToken();
    for (part &p : m_parts) {
        for (const live_attempt &l : p.live)
            traceSent(*l.attempt);
        releaseAttempts(p, now + leftoverAttemptTimeout);
    }
    m_client->reply(reply);
    // An answer that had enough parts before the end of the target was due exactly then.
    if (m_isWaitingForTargetEnd && now >= m_times.targetEnd) {
        const duration delay = m_state.loop.now() - m_times.targetEnd;
        m_state.answerLeadOf(*m_route).add(delay + m_state.options.link.timeFor(sizeOf(reply)));
    }
    // The caller does not wait for what follows, which takes milliseconds on a small instance.
    m_state.running.erase(self);
    reportEnd();
    recordOutcome(reply.status, outcome, now);
}

missing_parts running_request::missingParts() const
{
    missing_parts missing;
    for (const part &p : m_parts) {
        if (p.isAnswered)
            continue;
        if (p.wasBudgetDenied)
            ++missing.byBudget;
        else if (!choosePlacement(p, false).best)
            ++missing.withoutServer;
        else
            ++missing.awaited;
    }
    return missing;
}

void running_request::recordOutcome(int status, const char *outcome, time_point at)
{
    constexpr int firstFailure = 300;
    const bool late = at > m_times.targetEnd;
    if (status < firstFailure) {
        m_state.count.answered.add();
        m_state.latency.add(m_rank, at - m_times.arrival);
        if (late)
            m_state.count.late.add();
    }
    for (const part &p : m_parts) {
        if (!p.isAnswered)
            m_trace.add(at, "part_missing", p.group->name.value(), "", p.possibleRuns);
    }
    if (isGather() && m_answered < m_parts.size()) {
        const missing_parts missing = missingParts();
        m_state.count.missingWithoutServer.add(missing.withoutServer);
        m_state.count.missingByBudget.add(missing.byBudget);
        m_state.count.missingAwaited.add(missing.awaited);
        m_trace.setMissing(missing);
    }
    const bool isRemarkable = late || status >= firstFailure || m_answered < m_parts.size();
    m_trace.write(m_state.log, at, m_state.loop.processorTime(), *m_route, m_version, outcome,
                  isRemarkable);
}

} // namespace peridotwheel
