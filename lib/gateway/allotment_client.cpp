#include "allotment_client.h"

#include "peridotwheel/support/hash.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace peridotwheel {

namespace {

/// A team is active for this long after a request. It is less than the validity of tokens, so that
/// most tokens need no renewal.
constexpr duration activeTime = seconds(30);
/// Tokens that expire within this time are renewed.
constexpr duration renewalMargin = seconds(1);
/// Time constant of the average request rate.
constexpr duration demandTime = seconds(2);
/// Tokens at hand last for this long at the average rate, besides one for slow teams.
constexpr double supplySeconds = 1;
/// Messages for which no request waits are delayed by this time, so that one serves many requests.
constexpr duration batchDelay = milliseconds(25);
/// Used tokens are reported within this time.
constexpr duration reportDelay = milliseconds(500);
constexpr duration sweepInterval = milliseconds(500);
/// Validity of tokens from an owner that does not know the present limits yet.
constexpr duration outdatedValidity = seconds(1);
/// From this rate on, an instance asks for tokens again as soon as its owner has capacity.
constexpr double frequentPerSecond = 2;
/// An owner that does not answer in time is asked again after this time.
constexpr duration absentTime = seconds(1);
/// A claim for a bucket takes about this long.
constexpr duration disownedTime = milliseconds(300);
/// Instances that name each other as the owner are not asked any more for `disownedTime`.
constexpr unsigned maxRedirections = 3;
/// An instance that hears of no other one for this long may have been replaced as the owner.
constexpr duration isolationTime = seconds(2);
/// A claimant that was not answered sends its claim again within this time.
constexpr duration rejoinTime = seconds(1);
/// Least and longest retry delay while there is no owner.
constexpr duration minUnavailable = milliseconds(100);
constexpr duration maxUnavailable = seconds(1);

} // namespace

allotment_client::allotment_client(instance_id self, start_id process, allotment_owner &owner,
                                   time_point now)
    : m_self(std::move(self))
    , m_process(process)
    , m_owner(owner)
    , m_reserveFrom(now)
    , m_peerHeardAt(now)
{
}

void allotment_client::setTeams(const std::map<team_name, team_terms> &teams,
                                std::vector<instance_id> instances, time_point now)
{
    decided_requests decided;
    const auto before = std::move(m_terms);
    m_terms = teams;
    m_instances = std::move(instances);
    for (auto it = m_teams.begin(); it != m_teams.end();) {
        auto &[team, s] = *it;
        s.reserveShare.reset();
        const auto terms = m_terms.find(team);
        const auto old = before.find(team);
        if (terms == m_terms.end()) {
            // Its limit has ended, so nothing holds its requests any more.
            for (auto &w : s.waiting)
                decided.push_back({std::move(w.done), {allotment_verdict::Granted, {team}, {}}});
            it = m_teams.erase(it);
            continue;
        }
        if (old == before.end() || old->second.owner != terms->second.owner)
            onOwnerChanged(team, s, now, decided);
        if (old != before.end() && old->second.bounds != terms->second.bounds) {
            // Tokens of the former limit would come on top of what the new one allows.
            s.blockedUntil = time_point();
            voidTokens(s, now);
        }
        ++it;
    }
    const std::vector<instance_id> &known = m_instances;
    for (auto it = m_links.begin(); it != m_links.end();) {
        const auto isOwner = [&it](const auto &each) { return each.second.owner == it->first; };
        const bool isKnown = std::find(known.begin(), known.end(), it->first) != known.end() ||
                             std::any_of(m_terms.begin(), m_terms.end(), isOwner);
        it = isKnown || it->second.isInFlight ? std::next(it) : m_links.erase(it);
    }
    callBack(decided);
}

void allotment_client::setOwner(const team_name &team, const std::optional<instance_id> &owner,
                                time_point now)
{
    const auto terms = m_terms.find(team);
    if (terms == m_terms.end() || terms->second.owner == owner)
        return;
    terms->second.owner = owner;
    decided_requests decided;
    const auto found = m_teams.find(team);
    if (found != m_teams.end())
        onOwnerChanged(team, found->second, now, decided);
    callBack(decided);
}

void allotment_client::onOwnerChanged(const team_name &team, team_state &s, time_point now,
                                      decided_requests &decided)
{
    // A bucket that was handed over keeps its tokens, and its new owner tells if it is used up.
    s.blockedUntil = time_point();
    s.disownedUntil = time_point();
    const auto &owner = m_terms.at(team).owner;
    if (s.waiting.empty())
        return;
    if (!owner)
        return endWaits(team, s, now, decided);
    if (*owner != m_self)
        return sendBy(*owner, now);
    for (auto &w : s.waiting)
        decided.push_back({std::move(w.done), takeHere(team, now)});
    s.waiting.clear();
}

void allotment_client::dropTokens(const team_name &team, time_point now)
{
    const auto found = m_teams.find(team);
    if (found == m_teams.end())
        return;
    voidTokens(found->second, now);
}

void allotment_client::voidTokens(team_state &s, time_point now)
{
    s.tokens = 0;
    s.tokensDroppedAt = now;
    ++s.bucketGeneration;
}

void allotment_client::onPeerHeard(time_point now)
{
    if (silence(now) >= isolationTime)
        m_rejoinedAt = now;
    m_peerHeardAt = now;
}

bool allotment_client::isActive(const team_state &s, time_point now)
{
    return s.recentRequests > 0 && now < s.lastRequest + activeTime;
}

double allotment_client::requestsPerSecond(const team_state &s, time_point now)
{
    const double elapsed = toMilliseconds(now - s.lastRequest) / toMilliseconds(demandTime);
    return s.recentRequests * std::exp(-elapsed) * 1000 / toMilliseconds(demandTime);
}

std::int32_t allotment_client::targetOf(const team_state &s, time_point now)
{
    return isActive(s, now)
                   ? 1 + static_cast<std::int32_t>(supplySeconds * requestsPerSecond(s, now))
                   : 0;
}

bool allotment_client::isIsolated(time_point now) const
{
    const bool hasJustRejoined = m_rejoinedAt != time_point() && now < m_rejoinedAt + rejoinTime;
    return m_instances.size() > 1 && (silence(now) >= isolationTime || hasJustRejoined);
}

bool allotment_client::isOwnerUsable(const team_state &s, const team_terms &terms,
                                     time_point now) const
{
    if (now < s.disownedUntil)
        return false;
    const auto link = m_links.find(*terms.owner);
    return link == m_links.end() || now >= link->second.absentUntil;
}

void allotment_client::take(const team_name &team, time_point deadline, time_point now,
                            allotment_callback done)
{
    const auto terms = m_terms.find(team);
    if (terms == m_terms.end())
        return done({allotment_verdict::Granted, {team}, {}});
    team_state &s = m_teams[team];
    s.recentRequests = 1 + requestsPerSecond(s, now) * toMilliseconds(demandTime) / 1000;
    s.lastRequest = now;
    const auto &owner = terms->second.owner;
    if (isIsolated(now))
        return done(takeFromReserve(team, s, now));
    if (owner == m_self)
        return done(takeHere(team, now));
    if (!m_sweepAt)
        m_sweepAt = now + sweepInterval;
    if (s.tokens > 0 && now < s.tokenExpiry) {
        const allotment_decision decision = takeToken(team, s);
        if (owner)
            requestTokensSoon(s, *owner, now);
        return done(decision);
    }
    if (now < s.blockedUntil)
        return done({allotment_verdict::OverLimit, {}, s.blockedUntil - now});
    if (!owner) {
        // A process that has just started reads the list of instances within the wait.
        s.waiting.push_back({deadline, std::move(done)});
        return;
    }
    if (!isOwnerUsable(s, terms->second, now))
        return done(takeFromReserve(team, s, now));
    s.waiting.push_back({deadline, std::move(done)});
    sendBy(*owner, now);
}

allotment_decision allotment_client::takeHere(const team_name &team, time_point now)
{
    allotment_bucket *bucket = m_owner.find(team);
    if (bucket == nullptr)
        return {allotment_verdict::Unavailable, {}, minUnavailable};
    if (const auto capacityIn = bucket->take(now))
        return {allotment_verdict::OverLimit, {}, *capacityIn};
    return {allotment_verdict::Granted, {team, allotment_token::source::Self, 0}, {}};
}

allotment_decision allotment_client::takeToken(const team_name &team, team_state &s)
{
    --s.tokens;
    ++s.used;
    return {allotment_verdict::Granted,
            {team, allotment_token::source::Owner, s.bucketGeneration},
            {}};
}

std::size_t allotment_client::reserveShareOf(const team_name &team, team_state &s) const
{
    if (s.reserveShare)
        return *s.reserveShare;
    const auto whole = static_cast<std::size_t>(m_terms.at(team).bounds.reserve);
    std::size_t share = 0;
    // The others do not count an instance that is not in the list.
    if (std::find(m_instances.begin(), m_instances.end(), m_self) != m_instances.end()) {
        // Requests cannot be divided, so the instances with the highest weights get one more.
        share = whole / m_instances.size();
        const auto key = stableHash(team.value());
        const auto own = rendezvousWeight(key, m_self.value());
        const auto ahead = static_cast<std::size_t>(
                std::count_if(m_instances.begin(), m_instances.end(), [&](const instance_id &id) {
                    return rendezvousWeight(key, id.value()) > own;
                }));
        share += ahead < whole % m_instances.size() ? 1 : 0;
    }
    s.reserveShare = share;
    return share;
}

allotment_decision allotment_client::takeFromReserve(const team_name &team, team_state &s,
                                                     time_point now)
{
    const duration window = m_terms.at(team).bounds.window;
    auto &uses = s.reserveUses;
    while (!uses.empty() && uses.front() + window <= now)
        uses.pop_front();
    // A process that ran here before may have used the reserve just before it ended.
    const time_point usableFrom = m_reserveFrom + window;
    const std::size_t share = reserveShareOf(team, s);
    if (now >= usableFrom && uses.size() < share) {
        uses.push_back(now);
        return {allotment_verdict::Granted,
                {team, allotment_token::source::Reserve, s.bucketGeneration},
                {}};
    }
    duration wait = maxUnavailable;
    if (share > 0)
        wait = std::min(wait, now < usableFrom ? usableFrom - now : uses.front() + window - now);
    return {allotment_verdict::Unavailable, {}, std::max(wait, minUnavailable)};
}

void allotment_client::requestTokensSoon(const team_state &s, const instance_id &owner,
                                         time_point now)
{
    const bool isLow = s.tokens <= targetOf(s, now) / 2;
    sendBy(owner, isLow && now >= s.blockedUntil ? now + batchDelay : now + reportDelay);
}

void allotment_client::sendBy(const instance_id &owner, time_point at)
{
    owner_link &link = m_links[owner];
    link.sendAt = std::min(link.sendAt.value_or(at), at);
}

void allotment_client::giveBack(const allotment_token &token, time_point now)
{
    if (token.from == allotment_token::source::Self) {
        if (allotment_bucket *bucket = m_owner.find(token.team))
            bucket->giveBack(now);
        return;
    }
    const auto found = m_teams.find(token.team);
    if (found == m_teams.end())
        return;
    team_state &s = found->second;
    if (token.from == allotment_token::source::Reserve) {
        if (!s.reserveUses.empty())
            s.reserveUses.pop_back();
        return;
    }
    if (token.bucketGeneration != s.bucketGeneration)
        return;
    --s.used;
    if (now < s.tokenExpiry)
        ++s.tokens;
    if (!m_sweepAt)
        m_sweepAt = now + sweepInterval;
}

std::optional<allotment_report> allotment_client::reportOf(const team_name &team, team_state &s,
                                                           time_point now)
{
    if (now >= s.tokenExpiry)
        s.tokens = 0;
    const std::int32_t target = targetOf(s, now);
    const bool isReturning = s.tokens > 2 * target;
    const bool isNeeded =
            target > 0 || isReturning || !s.waiting.empty() || s.used != s.reportedUsed;
    if (!isNeeded)
        return std::nullopt;
    if (isReturning)
        s.tokens = target;
    allotment_report report;
    report.team = team;
    report.used = s.used;
    report.unused = s.tokens;
    report.waiting = static_cast<std::int32_t>(s.waiting.size());
    report.inAdvance = now < s.blockedUntil ? 0 : std::max(target - s.tokens, 0);
    s.reportedUsed = s.used;
    return report;
}

std::vector<outgoing_allotment_request> allotment_client::takeDueMessages(time_point now)
{
    std::vector<outgoing_allotment_request> due;
    for (auto &[owner, link] : m_links) {
        if (link.isInFlight || !link.sendAt || now < *link.sendAt || now < link.absentUntil)
            continue;
        link.sendAt.reset();
        outgoing_allotment_request message;
        message.owner = owner;
        for (auto &[team, s] : m_teams) {
            if (m_terms.at(team).owner != owner)
                continue;
            if (auto report = reportOf(team, s, now))
                message.request.reports.push_back(std::move(*report));
        }
        if (message.request.reports.empty())
            continue;
        link.isInFlight = true;
        link.sentAt = now;
        message.request.sender = {m_self, m_process, ++m_sequence};
        due.push_back(std::move(message));
    }
    return due;
}

void allotment_client::onReply(const instance_id &owner, const allotment_reply &reply,
                               bool isOutdated, time_point now)
{
    decided_requests decided;
    owner_link &link = m_links[owner];
    link.isInFlight = false;
    link.absentUntil = time_point();
    for (const auto &grant : reply.grants)
        applyGrant(grant, owner, isOutdated, link.sentAt, now, decided);
    callBack(decided);
}

void allotment_client::applyGrant(const allotment_grant &grant, const instance_id &owner,
                                  bool isOutdated, time_point sentAt, time_point now,
                                  decided_requests &decided)
{
    const auto found = m_teams.find(grant.team);
    const auto terms = m_terms.find(grant.team);
    if (found == m_teams.end() || terms == m_terms.end())
        return;
    team_state &s = found->second;
    if (!grant.isOwner) {
        const auto &next = terms->second.owner;
        if (next && *next != owner && ++s.redirections <= maxRedirections) {
            if (!s.waiting.empty() || s.used != s.reportedUsed)
                sendBy(*next, now);
            return;
        }
        s.redirections = 0;
        s.disownedUntil = now + disownedTime;
        return endWaits(grant.team, s, now, decided);
    }
    s.redirections = 0;
    if (s.bucket != grant.bucket) {
        s.bucket = grant.bucket;
        s.tokens = 0;
        ++s.bucketGeneration;
    }
    // A reply that was under way when the tokens were dropped may be from an earlier bucket or of
    // an earlier limit.
    if (!s.tokensDroppedAt || sentAt > *s.tokensDroppedAt) {
        s.tokens += grant.tokens;
        s.tokenExpiry = sentAt + (isOutdated ? outdatedValidity : tokenValidity);
    }
    if (grant.capacityIn) {
        s.blockedUntil = now + *grant.capacityIn;
        // Asked before the next request comes, the owner's tokens cost no wait.
        if (requestsPerSecond(s, now) >= frequentPerSecond)
            sendBy(owner, s.blockedUntil);
    }
    while (!s.waiting.empty() && s.tokens > 0) {
        decided.push_back({std::move(s.waiting.front().done), takeToken(grant.team, s)});
        s.waiting.pop_front();
    }
    if (grant.capacityIn) {
        for (auto &w : s.waiting)
            decided.push_back(
                    {std::move(w.done), {allotment_verdict::OverLimit, {}, *grant.capacityIn}});
        s.waiting.clear();
    }
    if (!s.waiting.empty())
        sendBy(owner, now);
    else if (s.used != s.reportedUsed)
        requestTokensSoon(s, owner, now);
}

void allotment_client::onNoReply(const instance_id &owner, time_point now)
{
    decided_requests decided;
    owner_link &link = m_links[owner];
    link.isInFlight = false;
    link.absentUntil = now + absentTime;
    for (auto &[team, s] : m_teams) {
        if (m_terms.at(team).owner != owner)
            continue;
        endWaits(team, s, now, decided);
        if (isActive(s, now))
            link.sendAt = link.absentUntil;
    }
    callBack(decided);
}

void allotment_client::endWaits(const team_name &team, team_state &s, time_point now,
                                decided_requests &decided)
{
    for (auto &w : s.waiting)
        decided.push_back({std::move(w.done), takeFromReserve(team, s, now)});
    s.waiting.clear();
}

void allotment_client::onTimer(time_point now)
{
    decided_requests decided;
    for (auto &[team, s] : m_teams) {
        for (auto it = s.waiting.begin(); it != s.waiting.end();) {
            if (now < it->deadline) {
                ++it;
                continue;
            }
            decided.push_back({std::move(it->done), takeFromReserve(team, s, now)});
            it = s.waiting.erase(it);
            const auto link = m_links.find(m_terms.at(team).owner.value_or(instance_id()));
            // A request with little time may end its wait before the owner had time to reply.
            if (link != m_links.end() && link->second.isInFlight &&
                now - link->second.sentAt >= maxAllotmentWait)
                link->second.absentUntil = now + absentTime;
        }
    }
    if (m_sweepAt && now >= *m_sweepAt)
        sweep(now);
    callBack(decided);
}

void allotment_client::sweep(time_point now)
{
    m_sweepAt.reset();
    for (const auto &[team, s] : m_teams) {
        const auto &owner = m_terms.at(team).owner;
        if (!owner || *owner == m_self)
            continue;
        const bool active = isActive(s, now);
        const bool hasTokens = s.tokens > 0 && now < s.tokenExpiry;
        const bool isDue =
                active ? s.tokenExpiry - now < renewalMargin && now >= s.blockedUntil : hasTokens;
        if (isDue || s.used != s.reportedUsed)
            sendBy(*owner, now + batchDelay);
        if (active || hasTokens || s.used != s.reportedUsed)
            m_sweepAt = now + sweepInterval;
    }
}

std::optional<time_point> allotment_client::nextDue() const
{
    std::optional<time_point> next = m_sweepAt;
    const auto include = [&next](time_point at) { next = std::min(next.value_or(at), at); };
    for (const auto &[owner, link] : m_links) {
        if (link.sendAt && !link.isInFlight)
            include(std::max(*link.sendAt, link.absentUntil));
    }
    for (const auto &[team, s] : m_teams) {
        for (const auto &w : s.waiting)
            include(w.deadline);
    }
    return next;
}

void allotment_client::callBack(const decided_requests &decided)
{
    for (const auto &d : decided)
        d.done(d.decision);
}

} // namespace peridotwheel
