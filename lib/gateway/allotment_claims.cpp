#include "allotment_claims.h"

#include "peridotwheel/support/hash.h"

#include <algorithm>

namespace peridotwheel {

namespace {

/// Instances that are asked first; one of them almost always keeps the bucket.
constexpr std::size_t firstAsked = 4;
/// Limit on the claims in flight to all instances.
constexpr std::size_t maxInFlight = 64;
/// Instances of which the order is kept for each team.
constexpr std::size_t keptLeaders = 8;
constexpr duration retryInterval = milliseconds(100);
/// An instance that announced itself appears in the list within this time, or has ended.
constexpr duration announcementLifetime = seconds(90);

} // namespace

allotment_claims::allotment_claims(allotment_peer self, start_id process, allotment_owner &owner,
                                   hooks h)
    : m_self(std::move(self))
    , m_process(process)
    , m_owner(owner)
    , m_hooks(std::move(h))
{
}

void allotment_claims::setTeams(const std::vector<team_name> &teams, time_point now)
{
    m_teams = teams;
    const auto isKnown = [this](const team_name &team) {
        return std::find(m_teams.begin(), m_teams.end(), team) != m_teams.end();
    };
    m_leading.clear();
    for (auto it = m_namedOwners.begin(); it != m_namedOwners.end();)
        it = isKnown(it->first) ? std::next(it) : m_namedOwners.erase(it);
    review(now);
}

void allotment_claims::setInstances(listed_instances listed, time_point now)
{
    m_listed = std::move(listed);
    updateInstances(now);
}

void allotment_claims::stop()
{
    m_isStopped = true;
    m_claims.clear();
    m_instances.erase(m_self.id);
}

void allotment_claims::updateInstances(time_point now)
{
    const auto &listed = m_listed.addresses;
    for (auto it = m_announced.begin(); it != m_announced.end();) {
        const bool isOver = listed.count(it->first) != 0 ||
                            now - it->second.heardAt >= announcementLifetime ||
                            m_listed.revision > it->second.listRevision;
        it = isOver ? m_announced.erase(it) : std::next(it);
    }
    for (auto it = m_absent.begin(); it != m_absent.end();) {
        const bool isKnown = listed.count(it->first) != 0 || m_announced.count(it->first) != 0;
        it = isKnown ? std::next(it) : m_absent.erase(it);
    }
    instance_addresses present = listed;
    for (const auto &[id, announced] : m_announced)
        present.emplace(id, announced.address);
    for (const auto &[id, absent] : m_absent)
        present.erase(id);
    if (m_isStopped)
        present.erase(m_self.id);
    const auto isKnown = [this](const auto &each) { return m_instances.count(each.first) != 0; };
    if (!std::all_of(present.begin(), present.end(), isKnown))
        m_leading.clear();
    m_instances = std::move(present);
    for (auto it = m_namedOwners.begin(); it != m_namedOwners.end();)
        it = m_instances.count(it->second.id) != 0 ? std::next(it) : m_namedOwners.erase(it);
    review(now);
    for (const auto &team : m_teams)
        m_hooks.onOwnerChanged(team);
}

std::optional<allotment_peer> allotment_claims::firstOf(const team_name &team,
                                                        const instance_addresses &among)
{
    const auto key = stableHash(team.value());
    std::optional<allotment_peer> first;
    std::uint64_t highest = 0;
    for (const auto &[id, address] : among) {
        const auto weight = rendezvousWeight(key, id.value());
        if (first && weight <= highest)
            continue;
        first = allotment_peer{id, address};
        highest = weight;
    }
    return first;
}

const std::vector<allotment_peer> &allotment_claims::leading(const team_name &team) const
{
    std::vector<allotment_peer> &leaders = m_leading[team];
    leaders.erase(
            std::remove_if(leaders.begin(), leaders.end(),
                           [this](const auto &peer) { return m_instances.count(peer.id) == 0; }),
            leaders.end());
    if (leaders.size() >= std::min(firstAsked + 1, m_instances.size()))
        return leaders;
    const auto key = stableHash(team.value());
    std::vector<std::pair<std::uint64_t, const instance_id *>> weighted;
    weighted.reserve(m_instances.size());
    for (const auto &[id, address] : m_instances)
        weighted.emplace_back(rendezvousWeight(key, id.value()), &id);
    const auto count = static_cast<std::ptrdiff_t>(std::min(keptLeaders, weighted.size()));
    std::partial_sort(weighted.begin(), weighted.begin() + count, weighted.end(),
                      [](const auto &a, const auto &b) { return a.first > b.first; });
    leaders.clear();
    for (auto it = weighted.begin(); it != weighted.begin() + count; ++it)
        leaders.push_back({*it->second, m_instances.at(*it->second)});
    return leaders;
}

bool allotment_claims::isFirst(const team_name &team) const
{
    const auto &leaders = leading(team);
    return !leaders.empty() && leaders.front().id == m_self.id;
}

void allotment_claims::include(const instance_id &id, const endpoint &address)
{
    // An instance that is added may go before any of the present leaders.
    if (m_instances.insert_or_assign(id, address).second)
        m_leading.clear();
}

void allotment_claims::review(time_point now)
{
    for (auto it = m_claims.begin(); it != m_claims.end();) {
        const bool isKnown = std::find(m_teams.begin(), m_teams.end(), it->first) != m_teams.end();
        // While a claim is in flight, its answer may still hand the bucket over.
        const bool isOver = it->second.inFlight.empty() && !(isKnown && isFirst(it->first));
        it = isOver ? m_claims.erase(it) : std::next(it);
    }
    for (const auto &team : m_teams) {
        if (m_owner.find(team) == nullptr && m_claims.count(team) == 0 && isFirst(team))
            m_claims.try_emplace(team);
    }
    advanceAll(now);
}

void allotment_claims::onHeard(const instance_id &from, start_id process)
{
    const auto found = m_absent.find(from);
    if (found == m_absent.end() || (found->second.isLeaving && found->second.process == process))
        return;
    m_absent.erase(found);
    const auto listed = m_listed.addresses.find(from);
    const auto announced = m_announced.find(from);
    if (listed != m_listed.addresses.end())
        include(from, listed->second);
    else if (announced != m_announced.end())
        include(from, announced->second.address);
}

bool allotment_claims::isLeaving(const instance_id &id) const
{
    const auto absent = m_absent.find(id);
    return absent != m_absent.end() && absent->second.isLeaving;
}

void allotment_claims::onEnded(const instance_id &id, time_point now)
{
    const bool isKnown = m_instances.count(id) != 0;
    if (id == m_self.id || !isKnown)
        return;
    m_absent[id] = {};
    for (auto &[team, c] : m_claims)
        c.silentSince.erase(id);
    updateInstances(now);
}

void allotment_claims::onOwnerNamed(const team_name &team,
                                    const std::optional<allotment_peer> &owner)
{
    // An instance that has ended may run again, of which the one that names it has heard.
    if (owner && !isLeaving(owner->id))
        onHeard(owner->id, start_id());
    setOwner(team, owner);
}

void allotment_claims::setOwner(const team_name &team, const std::optional<allotment_peer> &owner)
{
    if (owner && owner->id != m_self.id && m_absent.count(owner->id) == 0)
        m_namedOwners.insert_or_assign(team, *owner);
    else
        m_namedOwners.erase(team);
    m_hooks.onOwnerChanged(team);
}

void allotment_claims::announce(const claimant &from, time_point now)
{
    const instance_id &id = from.sender.instance;
    onHeard(id, from.sender.process);
    if (m_listed.addresses.count(id) != 0 || m_absent.count(id) != 0)
        return;
    m_announced[id] = {from.address, from.listRevision, now};
    include(id, from.address);
}

std::optional<allotment_peer> allotment_claims::instanceBefore(const claimant &from,
                                                               const team_name &team) const
{
    // A list has all instances that are in an older one, except for those that have left, so that
    // only instances that found themselves in a newer one can go before the claimant.
    instance_addresses among;
    if (from.listRevision < m_listed.revision)
        among = m_instances;
    for (const auto &[id, announced] : m_announced) {
        if (from.listRevision < announced.listRevision && m_instances.count(id) != 0)
            among.emplace(id, announced.address);
    }
    for (const auto &id : from.ended)
        among.erase(id);
    among.emplace(from.sender.instance, from.address);
    const auto first = firstOf(team, among);
    return first && first->id != from.sender.instance ? first : std::nullopt;
}

claim_answer allotment_claims::onClaim(const claimant &from, const team_name &team, bool isFinal,
                                       time_point now)
{
    announce(from, now);
    claim_answer answer;
    answer.team = team;
    if (const auto before = instanceBefore(from, team)) {
        answer.result = claim_result::Outranked;
        answer.owner = before;
        return answer;
    }
    const auto own = m_claims.find(team);
    if (own != m_claims.end() && !own->second.inFlight.empty() && !own->second.isBegun) {
        answer.result = claim_result::Pending;
        return answer;
    }
    if (own != m_claims.end())
        m_claims.erase(own);
    const auto named = m_namedOwners.find(team);
    if (named != m_namedOwners.end() && named->second.id != from.sender.instance)
        answer.owner = named->second;
    answer.bucket = m_owner.release(team, now);
    if (answer.bucket) {
        m_hooks.log("allotment_released", team, from.sender.instance);
        answer.result = claim_result::Released;
    } else if (isFinal) {
        m_hooks.dropTokens(team);
    }
    setOwner(team, allotment_peer{from.sender.instance, from.address});
    return answer;
}

claim_answer allotment_claims::onHandedOver(const claimant &from,
                                            const allotment_bucket_state &bucket, time_point now)
{
    const instance_id &leaving = from.sender.instance;
    if (m_instances.count(leaving) != 0) {
        m_absent[leaving] = {true, from.sender.process};
        updateInstances(now);
    }
    claim_answer answer;
    answer.team = bucket.team;
    const auto &leaders = leading(bucket.team);
    const auto first = leaders.empty() ? std::nullopt : std::optional(leaders.front());
    const bool isOlder = from.listRevision < m_listed.revision;
    if (isOlder && first && first->id != m_self.id) {
        answer.result = claim_result::Outranked;
        answer.owner = first;
        return answer;
    }
    if (m_owner.adopt(bucket, now)) {
        m_hooks.log("allotment_taken_over", bucket.team, leaving);
        m_claims.erase(bucket.team);
        setOwner(bucket.team, std::nullopt);
    }
    return answer;
}

std::vector<allotment_peer> allotment_claims::askedBy(const team_name &team, const claim &c) const
{
    std::vector<allotment_peer> asked;
    if (c.isFinal) {
        asked.reserve(m_instances.size());
        for (const auto &[id, address] : m_instances)
            asked.push_back({id, address});
    } else {
        asked = leading(team);
    }
    asked.erase(std::remove_if(asked.begin(), asked.end(),
                               [this](const auto &peer) { return peer.id == m_self.id; }),
                asked.end());
    if (!c.isFinal && asked.size() > firstAsked)
        asked.resize(firstAsked);
    return asked;
}

bool allotment_claims::mayBeginWithout(const std::vector<allotment_peer> &asked, const claim &c,
                                       time_point now) const
{
    const auto answered = static_cast<std::size_t>(
            std::count_if(asked.begin(), asked.end(),
                          [&c](const auto &peer) { return c.answered.count(peer.id) != 0; }));
    const bool isMajority = 2 * (answered + 1) > asked.size() + 1;
    return isMajority && std::all_of(asked.begin(), asked.end(), [&](const auto &peer) {
               const auto silent = c.silentSince.find(peer.id);
               return c.answered.count(peer.id) != 0 ||
                      (silent != c.silentSince.end() && now - silent->second >= silentGrace);
           });
}

bool allotment_claims::advance(const team_name &team, claim &c, time_point now)
{
    const auto isAnswered = [&c](const auto &peer) { return c.answered.count(peer.id) != 0; };
    const auto asked = askedBy(team, c);
    if (!c.isFinal) {
        const bool isOver = std::all_of(asked.begin(), asked.end(), [&](const auto &peer) {
            return isAnswered(peer) || c.silentSince.count(peer.id) != 0;
        });
        if (!isOver || !c.inFlight.empty())
            return false;
        c.isFinal = true;
        c.answered.clear();
        c.retryAt.clear();
        return advance(team, c, now);
    }
    const bool isComplete = std::all_of(asked.begin(), asked.end(), isAnswered);
    if (!c.isBegun && (isComplete || mayBeginWithout(asked, c, now))) {
        c.isBegun = true;
        m_owner.begin(team, bucket_id(m_process.value() + ++m_begunBuckets), now);
        m_hooks.log("allotment_begun", team, instance_id());
        setOwner(team, std::nullopt);
    }
    return isComplete;
}

void allotment_claims::advanceAll(time_point now)
{
    for (auto it = m_claims.begin(); it != m_claims.end();) {
        const bool isOver = isFirst(it->first) && advance(it->first, it->second, now);
        it = isOver ? m_claims.erase(it) : std::next(it);
    }
}

std::vector<outgoing_claim> allotment_claims::takeDue(time_point now)
{
    advanceAll(now);
    std::map<std::pair<instance_id, bool>, outgoing_claim> due;
    for (auto &[team, c] : m_claims) {
        if (!isFirst(team))
            continue;
        for (const auto &peer : askedBy(team, c)) {
            const auto retryAt = c.retryAt.find(peer.id);
            const bool isWaiting = c.answered.count(peer.id) != 0 ||
                                   c.inFlight.count(peer.id) != 0 ||
                                   (retryAt != c.retryAt.end() && now < retryAt->second);
            const auto key = std::make_pair(peer.id, c.isFinal);
            if (isWaiting || (due.count(key) == 0 && m_inFlight >= maxInFlight))
                continue;
            auto [it, isNew] = due.try_emplace(key);
            if (isNew) {
                ++m_inFlight;
                it->second.to = peer;
                it->second.isFinal = c.isFinal;
                it->second.sentAt = now;
            }
            it->second.teams.push_back(team);
            c.inFlight.insert(peer.id);
        }
    }
    std::vector<outgoing_claim> out;
    out.reserve(due.size());
    for (auto &[key, claim] : due)
        out.push_back(std::move(claim));
    return out;
}

void allotment_claims::onAnswers(const outgoing_claim &claim,
                                 const std::vector<claim_answer> &answers, time_point now)
{
    --m_inFlight;
    for (const auto &team : claim.teams) {
        const auto found = m_claims.find(team);
        if (found != m_claims.end())
            found->second.inFlight.erase(claim.to.id);
        const auto answer = std::find_if(answers.begin(), answers.end(),
                                         [&team](const auto &a) { return a.team == team; });
        // Earlier builds answer no claims.
        claim_answer none;
        none.team = team;
        onAnswer(claim, answer != answers.end() ? *answer : none, now);
    }
    review(now);
}

void allotment_claims::onAnswer(const outgoing_claim &asked, const claim_answer &answer,
                                time_point now)
{
    if (answer.result == claim_result::Released && answer.bucket) {
        if (m_owner.adopt(*answer.bucket, now)) {
            m_hooks.log("allotment_taken_over", answer.team, asked.to.id);
            m_claims.erase(answer.team);
            setOwner(answer.team, std::nullopt);
        }
        return;
    }
    const auto found = m_claims.find(answer.team);
    if (found == m_claims.end())
        return;
    claim &c = found->second;
    c.silentSince.erase(asked.to.id);
    if (answer.result != claim_result::None)
        c.retryAt[asked.to.id] = now + retryInterval;
    else if (c.isFinal == asked.isFinal)
        c.answered.insert(asked.to.id);
    const bool isAnnounced = answer.owner && answer.owner->id != m_self.id &&
                             m_instances.count(answer.owner->id) == 0 &&
                             m_absent.count(answer.owner->id) == 0;
    if (!isAnnounced)
        return;
    m_announced[answer.owner->id] = {answer.owner->address, m_listed.revision, now};
    include(answer.owner->id, answer.owner->address);
    m_hooks.onOwnerChanged(answer.team);
}

void allotment_claims::onNoAnswer(const outgoing_claim &claim, time_point now)
{
    --m_inFlight;
    for (const auto &team : claim.teams) {
        const auto found = m_claims.find(team);
        if (found == m_claims.end())
            continue;
        found->second.inFlight.erase(claim.to.id);
        found->second.retryAt[claim.to.id] = now + retryInterval;
        found->second.silentSince.try_emplace(claim.to.id, claim.sentAt);
    }
    review(now);
}

std::optional<time_point> allotment_claims::nextDue() const
{
    std::optional<time_point> next;
    const auto include = [&next](time_point at) { next = std::min(next.value_or(at), at); };
    for (const auto &[team, c] : m_claims) {
        for (const auto &[id, at] : c.retryAt) {
            if (c.answered.count(id) == 0 && c.inFlight.count(id) == 0 &&
                m_instances.count(id) != 0)
                include(at);
        }
    }
    return next;
}

std::optional<allotment_peer> allotment_claims::ownerOf(const team_name &team) const
{
    if (m_owner.find(team) != nullptr)
        return m_self;
    const auto named = m_namedOwners.find(team);
    if (named != m_namedOwners.end())
        return named->second;
    return successorOf(team);
}

std::vector<allotment_peer> allotment_claims::instancesBefore(const team_name &team) const
{
    std::vector<allotment_peer> before = leading(team);
    const auto self = std::find_if(before.begin(), before.end(),
                                   [this](const auto &peer) { return peer.id == m_self.id; });
    before.erase(self, before.end());
    return before;
}

std::optional<allotment_peer> allotment_claims::successorOf(const team_name &team) const
{
    for (const auto &peer : leading(team)) {
        if (peer.id != m_self.id)
            return peer;
    }
    return std::nullopt;
}

std::vector<instance_id> allotment_claims::ended() const
{
    std::vector<instance_id> out;
    for (const auto &[id, absent] : m_absent)
        out.push_back(id);
    return out;
}

} // namespace peridotwheel
