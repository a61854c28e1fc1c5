#include "running_request.h"

#include <algorithm>
#include <utility>

namespace peridotwheel {

namespace {

/// At most this fraction (1 / `marginDivisor`) of the caller's time budget is reserved for the way
/// of the answer back to the caller.
constexpr int marginDivisor = 10;
/// Selects the part that gives the queueing delay of a query: one fifth of the parts are quicker.
/// Faults of some servers of each shard do not affect it, while queues at all of them do.
constexpr std::size_t quickPartDivisor = 5;

} // namespace

refusal allotmentRefusal(const allotment_decision &decision)
{
    if (decision.verdict == allotment_verdict::OverLimit) {
        return {refusal_kind::OverAllotment, decision.retryAfter,
                "the team has used up its allotment; not run, try again later\n"};
    }
    return {refusal_kind::NotRun, decision.retryAfter,
            "the allotment of the team is not known at present; not run, try again\n"};
}

const char *allotmentRefusalReason(const allotment_decision &decision)
{
    return decision.verdict == allotment_verdict::OverLimit ? "over_allotment"
                                                            : "allotment_unknown";
}

running_request::running_request(gateway_state &state, route_ptr r, configuration_version version,
                                 const opaque_request &request, const caller_terms &terms,
                                 const caller_identity &identity,
                                 std::shared_ptr<http_responder> client)
    : m_state(state)
    , m_route(std::move(r))
    , m_team(identity.team)
    , m_rank(identity.team && identity.team->rank ? *identity.team->rank : m_route->rank)
    , m_homes(*m_route, identity.team.get(), state.options.regions)
    , m_admission(state.admissionOf(*m_route))
    , m_number(state.nextQuery())
    , m_version(version)
    , m_request(std::make_shared<outgoing_request>(state.dialect.prepare(request, terms, identity)))
    , m_client(std::move(client))
    , m_trace(terms.id, state.loop.now(), state.loop.processorTime())
    , m_timer(state.loop, [this] { onTimer(); })
{
    if (identity.team)
        m_trace.setTeam(identity.team->name);
    const duration timeBudget =
            std::min(terms.timeBudget.value_or(m_route->timeout), m_route->timeout);
    const duration margin = std::min(m_state.options.answerMargin, timeBudget / marginDivisor);
    m_times.arrival = m_state.loop.now();
    m_times.deadline = m_times.arrival + timeBudget - margin;
    const duration lead = m_state.options.answerMargin + m_state.answerLeadOf(*m_route).lead();
    const duration target = m_route->target - std::min(lead, m_route->target / 2);
    m_times.targetEnd = std::min(m_times.arrival + target, m_times.deadline);
    if (m_state.finishBy)
        limitTo(*m_state.finishBy);
}

void running_request::limitTo(time_point end)
{
    m_times.deadline = std::min(m_times.deadline, end);
    m_times.targetEnd = std::min(m_times.targetEnd, end);
}

void running_request::finishBy(time_point end)
{
    limitTo(end);
    answerIfDecided();
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
        p.group = m_state.groupOf(name);
        p.group->extra.onRequest(now);
        p.group->usualWork = m_state.workOf(*m_route).typical();
        m_parts.push_back(std::move(p));
    }
}

void running_request::watchClient()
{
    m_client->onClientDisconnected([weak = weak_from_this()] {
        if (const auto request = weak.lock())
            request->onClientGone();
    });
}

void running_request::start()
{
    const auto self = shared_from_this();
    if (!isAdmitted())
        return;
    m_state.teamCounts.addAdmitted(m_team);
    run();
}

void running_request::onAllotment(const allotment_decision &decision)
{
    const auto self = shared_from_this();
    if (decision.verdict == allotment_verdict::Granted) {
        m_token = decision.token;
        if (m_isOver)
            return returnUnusedToken();
        return start();
    }
    if (m_isOver)
        return;
    if (decision.verdict == allotment_verdict::OverLimit)
        m_state.count.overAllotment.add();
    m_state.count.refused.add();
    m_state.teamCounts.addRefused(m_team);
    deliver(m_state.dialect.writeRefusal(allotmentRefusal(decision)),
            allotmentRefusalReason(decision));
}

bool running_request::wasSent() const
{
    return std::any_of(m_parts.begin(), m_parts.end(), [](const part &p) {
        const bool isLiveSent = std::any_of(p.live.begin(), p.live.end(),
                                            [](const auto &l) { return l.attempt->isSent; });
        return isLiveSent || p.isAnswered || p.wasWritten || p.possibleRuns > 0 ||
               p.receivedAttempts > 0;
    });
}

void running_request::returnUnusedToken()
{
    if (m_token && !wasSent() && m_state.allotments.giveBack)
        m_state.allotments.giveBack(*m_token);
    m_token.reset();
}

bool running_request::isAdmitted()
{
    if (!m_admission)
        return true;
    const duration work = m_state.workOf(*m_route).onIdleServers();
    const time_point now = m_state.loop.now();
    const team_name team = m_team ? m_team->name : team_name();
    if (m_admission->admit(m_rank, team, work, m_state.random.fraction(), now))
        return true;
    m_trace.add(now, "not_admitted", "", "", toMilliseconds(m_admission->queueing()));
    refuse(m_admission->retryAfter(m_state.random.fraction()),
           "more work than the servers can do in time; not run, try again\n");
    return false;
}

void running_request::reportEnd()
{
    const bool anySent = std::any_of(m_parts.begin(), m_parts.end(),
                                     [](const part &p) { return !p.tried.empty(); });
    if (m_admission && anySent)
        m_admission->onQueryEnded(progress(), m_state.loop.now());
}

void running_request::reportProgress()
{
    const time_point now = m_state.loop.now();
    // A request that waits for its allotment has no parts yet.
    if (m_admission && !m_parts.empty() && m_admission->canSample(now - m_times.arrival))
        m_admission->onQueryRunning(progress(), now);
}

query_progress running_request::progress() const
{
    query_progress progress;
    progress.query = m_number;
    progress.work = m_state.workOf(*m_route).onIdleServers();
    std::vector<duration> times;
    times.reserve(m_parts.size());
    const time_point now = m_state.loop.now();
    std::size_t rejected = 0;
    for (const part &p : m_parts) {
        rejected += p.rejectedByFullServer ? 1 : 0;
        if (p.isAnswered)
            times.push_back(p.served);
        // The time that an attempt waits for a connection is no queueing delay at the server.
        else if (!p.live.empty() && p.live.front().attempt->isSent)
            times.push_back(now - p.live.front().attempt->sentAt);
    }
    if (!m_parts.empty())
        progress.rejectedShare =
                static_cast<double>(rejected) / static_cast<double>(m_parts.size());
    if (times.empty())
        return progress;
    const auto quick = times.begin() + static_cast<std::ptrdiff_t>(times.size() / quickPartDivisor);
    std::nth_element(times.begin(), quick, times.end());
    progress.queueingDelay = std::max(*quick - progress.work, duration::zero());
    return progress;
}

void running_request::run()
{
    const auto self = shared_from_this();
    addParts();
    if (m_times.deadline <= m_state.loop.now()) {
        refuse(duration::zero(), "no time is left; not run\n");
    } else if (!refuseIfCoverageUnlikely()) {
        for (std::size_t i = 0; i < m_parts.size(); ++i) {
            if (!m_parts[i].isGivenUp && !sendAttempt(i, attempt_kind::First, m_parts[i].first))
                giveUp(m_parts[i]);
        }
    }
    m_isStarting = false;
    answerIfDecided();
}

bool running_request::refuseIfCoverageUnlikely()
{
    const time_point now = m_state.loop.now();
    std::size_t likelyUnresponsive = 0;
    for (part &p : m_parts) {
        p.first = chooseFirstPlacement(p);
        const auto &best = p.first.best;
        const bool tooLong = best && isTooLate(*best);
        const bool limited = best && isLimited(*best);
        if (!best || tooLong || limited)
            giveUp(p);
        likelyUnresponsive += isPending(p) && p.isLikelyUnresponsive() ? 1 : 0;
        if (p.isGivenUp || p.isLikelyUnresponsive()) {
            const char *event = "servers_silent";
            if (!best)
                event = "no_server";
            else if (tooLong)
                event = "wait_too_long";
            else if (limited)
                event = "servers_limited";
            m_trace.add(now, event, p.group->name.value(), "",
                        static_cast<double>(p.group->servers.size()));
        }
    }
    parts_state likely = partsState();
    likely.answered = likely.pending - likelyUnresponsive;
    if (meetsMinCoverage(likely)) {
        // Attempts at likely unresponsive servers would only delay the answer.
        for (part &p : m_parts) {
            if (p.isLikelyUnresponsive())
                giveUp(p);
        }
        return false;
    }
    refuse(retryAfter(), "too few servers can be reached; not run, try again\n");
    return true;
}

bool running_request::isTooLate(const placement &best) const
{
    return !best.likelyUnresponsive && !isGather() &&
           m_state.loop.now() + timeNeeded(best) > m_times.deadline;
}

bool running_request::isLimited(const placement &best) const
{
    // A part that may not be sent in time would delay the answer to the target for nothing.
    return isGather() && m_state.loop.now() + best.sendDelay >= m_times.targetEnd;
}

duration running_request::timeNeeded(const placement &best) const
{
    // While the process stops, the answer cannot come later than expected, so the variation of the
    // service time must fit as well.
    if (!m_state.finishBy)
        return best.expectedTime;
    const duration work = m_state.workOf(*m_route).typical();
    return best.expectedTime + toleratedSilence(duration::zero(), work) - work;
}

void running_request::onClientGone()
{
    const auto self = shared_from_this();
    const time_point now = m_state.loop.now();
    m_isOver = true;
    m_timer.cancel();
    m_state.count.clientsGone.add();
    m_trace.add(now, "client_gone", "", "");
    m_trace.write(m_state.log, now, m_state.loop.processorTime(), *m_route, m_version,
                  "client_gone", false);
    returnUnusedToken();
    // Short work may finish, which keeps the connection usable. Longer work can only be ended by
    // closing its connection.
    for (part &p : m_parts)
        releaseAttempts(p, now + m_state.options.abandonedAttemptGrace);
    m_state.running.erase(self);
    reportEnd();
}

void running_request::drop()
{
    m_isOver = true;
    m_timer.cancel();
    for (part &p : m_parts)
        releaseAttempts(p, m_state.loop.now());
}

} // namespace peridotwheel
