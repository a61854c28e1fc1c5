#include "running_request.h"

#include <algorithm>

namespace peridotwheel {

namespace {

/// Maximum number of attempts that reach a server for one part, rejected ones included.
constexpr unsigned maxReceivedAttempts = 4;
/// Minimum ratio of the service time at a full server to that on idle servers. Most of the time at
/// a full server is spent in queues.
constexpr int fullServerWorkFactor = 2;
/// Interval after which a second attempt that was denied is tried again.
constexpr duration budgetRetryInterval = milliseconds(20);
/// Multiple of the service time above which a server counts as slow for a second attempt.
constexpr double slowServerFactor = 1.5;
/// Share of the extra attempts that is reserved per more urgent rank, and the bound of the sum.
constexpr double reservePerRank = 0.1;
constexpr double maxReserve = 0.5;

} // namespace

placement_choice running_request::chooseFirstPlacement(const part &p) const
{
    const auto &servers = p.group->servers;
    if (std::none_of(servers.begin(), servers.end(), [](const auto &s) { return s->isPaced(); }))
        return choosePlacement(p, false);
    const placement_choice paced = choosePlacement(p, false, true);
    if (!paced.best || isTooLate(*paced.best) || isLimited(*paced.best))
        return choosePlacement(p, false);
    if (paced.wasDeferred)
        m_state.count.attemptsDeferred.add();
    return paced;
}

void running_request::applyPace(const service_group &group,
                                std::vector<placement_candidate> &candidates, duration work) const
{
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        placement_candidate &c = candidates[i];
        if (!c.isUsable || !group.servers[i]->isPaced())
            continue;
        const double share = group.servers[i]->paceShare();
        const double usual = usualShare(candidates, i, work);
        const bool isIncluded = m_state.random.fraction() < share * (usual > 0 ? usual : 1);
        c.isInvited = isIncluded && usual > 0;
        c.isDeferred = !isIncluded;
    }
}

placement_choice running_request::choosePlacement(const part &p, bool allowTried) const
{
    return choosePlacement(p, allowTried, false);
}

placement_choice running_request::choosePlacement(const part &p, bool allowTried,
                                                  bool isPaced) const
{
    std::vector<placement_candidate> candidates;
    candidates.reserve(p.group->servers.size());
    for (const auto &server : p.group->servers) {
        placement_candidate c = server->candidate();
        const bool tried = std::find(p.tried.begin(), p.tried.end(), server.get()) != p.tried.end();
        const bool isLive = std::any_of(p.live.begin(), p.live.end(),
                                        [&](const auto &l) { return l.server == server; });
        c.isUsable = c.isUsable && !isLive && (allowTried || !tried) &&
                     m_homes.allows(server->record().dataCentre);
        candidates.push_back(c);
    }
    const duration work = m_state.workOf(*m_route).typical();
    if (isPaced)
        applyPace(*p.group, candidates, work);
    return chooseServers(candidates, work, m_state.loop.now());
}

bool running_request::sendAttempt(std::size_t index, attempt_kind kind)
{
    part &p = m_parts[index];
    placement_choice choice = choosePlacement(p, false);
    if (!choice.best && kind == attempt_kind::Retry) {
        choice = choosePlacement(p, true);
        // A second attempt goes to a server that has not been tried.
        choice.alternative.reset();
    }
    return sendAttempt(index, kind, choice);
}

bool running_request::sendAttempt(std::size_t index, attempt_kind kind,
                                  const placement_choice &choice)
{
    part &p = m_parts[index];
    const auto &best = choice.best;
    if (!best)
        return false;
    const backend_server_ptr server = p.group->servers[best->index];
    const time_point now = m_state.loop.now();
    attempt_spec spec;
    spec.rank = m_rank;
    spec.deadline = m_times.deadline;
    spec.work = m_state.workOf(*m_route).typical();
    spec.needsProvenConnection = !isIdempotent();
    for (const used_connection &used : p.used) {
        if (used.server == server.get())
            spec.excludedConnections.push_back(used.number);
    }
    spec.request = m_request;
    p.tried.push_back(server.get());
    const char *event = "attempt";
    if (kind == attempt_kind::Second) {
        event = "second_attempt";
        m_state.count.secondAttempts.add();
    } else if (kind == attempt_kind::Retry) {
        event = "repeated_attempt";
        m_state.count.repeatedAttempts.add();
    }
    m_state.count.attempts.add();
    m_trace.add(now, event, p.group->name.value(), server->record().id.value(),
                toMilliseconds(best->expectedTime));
    // The callback needs its attempt, which exists only after `submit` has returned.
    auto attemptHolder = std::make_shared<backend_attempt_ptr>();
    spec.done = [weak = weak_from_this(), index, attemptHolder](attempt_result result) {
        if (const auto self = weak.lock())
            self->onResult(index, *attemptHolder, std::move(result));
    };
    *attemptHolder = server->submit(std::move(spec));
    p.live.push_back({server, *attemptHolder});
    p.secondAttemptAt.reset();
    if (isIdempotent() && p.live.size() == 1 && choice.alternative)
        scheduleSecondAttempt(index, *server, *choice.alternative);
    return true;
}

void running_request::scheduleSecondAttempt(std::size_t index, const backend_server &server,
                                            const placement &alternative)
{
    if (alternative.likelyUnresponsive)
        return;
    second_attempt_input input;
    input.sentAt = m_state.loop.now();
    input.work = m_state.workOf(*m_route).typical();
    input.roundTrip = server.health().roundTrip();
    input.alternativeRoundTrip = std::max(alternative.expectedTime - input.work, duration::zero());
    input.isAlternativeSlow = alternative.serviceTime > scaled(input.work, slowServerFactor);
    setSecondAttempt(index, secondAttemptTime(input, m_times));
}

void running_request::setSecondAttempt(std::size_t index, time_point at)
{
    m_parts[index].secondAttemptAt = at;
    m_dueAttempts.emplace(at, index);
}

void running_request::onResult(std::size_t index, const backend_attempt_ptr &a,
                               attempt_result result)
{
    if (m_isOver)
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
    if (p.isAnswered || !server)
        return;
    traceSent(*a);
    if (a->isSent)
        p.used.push_back({server.get(), a->connection});
    // Only a server's reply shows that a request which was written has not run.
    const bool sent = result.end != attempt_end::NotSent;
    if (sent)
        ++p.receivedAttempts;
    const bool isReply = result.end == attempt_end::Reply;
    const bool rejected = isReply && (result.verdict == reply_verdict::NotRun ||
                                      result.verdict == reply_verdict::WrongServer);
    if (sent && !rejected)
        ++p.possibleRuns;
    if (rejected)
        p.group->advice.onRejected();
    p.rejectedByFullServer = p.rejectedByFullServer || (rejected && isFull(*server));
    p.wasWritten = p.wasWritten || (result.end != attempt_end::NotSent && !rejected);
    if (isReply && result.verdict == reply_verdict::Answer) {
        onAnswer(index, sampleWork(*server, *a), result);
        return;
    }
    const time_point now = m_state.loop.now();
    const char *event = "attempt_not_sent";
    if (rejected)
        event = "attempt_rejected";
    else if (isReply)
        event = "attempt_failed";
    else if (sent)
        event = "attempt_lost";
    m_trace.add(now, event, p.group->name.value(), server->record().id.value(),
                isReply ? result.reply.status : 0);
    if (isReply && result.verdict == reply_verdict::WrongServer && m_state.onOutdatedView)
        m_state.onOutdatedView();
    if (isReply && result.verdict == reply_verdict::Failure)
        p.failure = std::move(result.reply);
    if (p.live.empty())
        retry(index, sent && !rejected);
    answerIfDecided();
}

void running_request::traceSent(const backend_attempt &a)
{
    if (a.isSent)
        m_trace.addSent(a.sentAt, a.hasWaited);
}

bool running_request::isFull(const backend_server &server) const
{
    // A server that rejects work although it has no queue is faulty, not full.
    const work_estimate &work = m_state.workOf(*m_route);
    const duration present = scaled(work.typical(), server.health().slowness(m_state.loop.now()));
    return present >= fullServerWorkFactor * work.onIdleServers();
}

duration running_request::sampleWork(const backend_server &server, const backend_attempt &a)
{
    const time_point now = m_state.loop.now();
    const duration served =
            std::max(now - a.sentAt - server.health().roundTrip(), duration::zero());
    m_state.workOf(*m_route).add(served, now);
    return served;
}

bool running_request::takeExtraAttempt(part &p)
{
    const time_point now = m_state.loop.now();
    const double reserve = std::min(reservePerRank * m_rank.value(), maxReserve);
    if (p.group->extra.tryTake(now, m_state.instances(), reserve))
        return true;
    m_state.count.budgetDenied.add();
    if (!p.wasBudgetDenied) {
        m_trace.add(now, "extra_attempt_denied", p.group->name.value(), "",
                    p.group->extra.allowance(now, m_state.instances()));
    }
    p.wasBudgetDenied = true;
    return false;
}

void running_request::retry(std::size_t index, bool mayHaveRun)
{
    part &p = m_parts[index];
    const bool isForbidden = mayHaveRun && !isIdempotent();
    const bool isUsedUp =
            p.possibleRuns >= m_route->maxAttempts || p.receivedAttempts >= maxReceivedAttempts;
    const auto next = choosePlacement(p, p.receivedAttempts > 0).best;
    const time_point now = m_state.loop.now();
    const bool inTime =
            next && !next->likelyUnresponsive && now + next->expectedTime < m_times.deadline;
    if (isForbidden || isUsedUp || !inTime || (p.receivedAttempts > 0 && !takeExtraAttempt(p)) ||
        !sendAttempt(index, attempt_kind::Retry))
        giveUp(p);
}

void running_request::sendDueSecondAttempts(time_point now)
{
    while (!m_dueAttempts.empty() && m_dueAttempts.top().first <= now) {
        const auto [at, index] = m_dueAttempts.top();
        m_dueAttempts.pop();
        part &p = m_parts[index];
        if (!isPending(p) || p.secondAttemptAt != at)
            continue;
        p.secondAttemptAt.reset();
        sendSecondAttempt(index, now);
    }
}

void running_request::sendSecondAttempt(std::size_t index, time_point now)
{
    part &p = m_parts[index];
    if (p.live.size() != 1)
        return;
    const auto other = choosePlacement(p, false).best;
    if (!other || other->likelyUnresponsive || now + other->expectedTime >= m_times.deadline)
        return;
    const live_attempt first = p.live.front();
    if (!first.attempt->isSent) {
        // Nothing has been sent to a server yet, so another server costs no extra attempt.
        if (first.server->cancelUnsent(first.attempt)) {
            p.live.clear();
            if (!sendAttempt(index, attempt_kind::First))
                giveUp(p);
        }
        return;
    }
    const unsigned mayRun = p.possibleRuns + 1;
    if (mayRun >= m_route->maxAttempts || p.receivedAttempts + 1 >= maxReceivedAttempts)
        return;
    // While work queues at all shards, a second attempt only delays all other queries.
    const bool isOverloaded = m_admission && m_admission->share() < 1;
    if (isOverloaded || !takeExtraAttempt(p)) {
        setSecondAttempt(index, now + budgetRetryInterval);
        return;
    }
    sendAttempt(index, attempt_kind::Second);
}

} // namespace peridotwheel
