#include "peridotwheel/limits/admission_queue.h"

#include <algorithm>
#include <cassert>
#include <tuple>

namespace peridotwheel {

namespace {

/// Share of its slack for which a request may wait behind others of its rank. In a lasting overload
/// the queue always fills up to this bound, so half of the slack is reserved for the variation of
/// service times. A short burst may use all of it, since there is no reason to refuse a request
/// that is expected to end in time.
constexpr double overloadShareOfSlack = 0.5;
constexpr double burstShareOfSlack = 1.0;
/// Ratios of offered to served requests between which the share falls linearly from the burst value
/// to the overload value. Ratios below 1.5 also arise from the random arrivals of a slow class
/// (18/s) without overload.
constexpr double maxBurstRatio = 1.5;
constexpr double minOverloadRatio = 2.5;
/// Weight of a new head-of-queue wait in the moving average, which covers about ten dispatches.
constexpr double headWaitWeight = 0.1;
constexpr double thresholdJitter = 0.1;
/// A rank whose requests have all been refused for this long has one admitted as a probe: without
/// new measurements, a single slow service time would keep the rank refused for ever.
constexpr duration probeInterval = seconds(1);
constexpr duration minRetryDelay = seconds(1);
constexpr duration maxRetryDelay = seconds(60);
constexpr double retryJitter = 0.5;

double shareOfSlack(double overloadRatio)
{
    const double excess = (overloadRatio - maxBurstRatio) / (minOverloadRatio - maxBurstRatio);
    const double part = std::clamp(excess, 0.0, 1.0);
    return burstShareOfSlack + part * (overloadShareOfSlack - burstShareOfSlack);
}

} // namespace

bool admission_queue::key::operator<(const key &other) const
{
    return std::tie(rank, order, id) < std::tie(other.rank, other.order, other.id);
}

admission_queue::admission_queue(options o)
    : m_options(o)
{
    assert(o.maxQueued > 0 && "the queue must hold at least one request");
}

admission_queue::rank_state &admission_queue::stateOf(class_rank rank)
{
    auto [it, isNew] = m_ranks.try_emplace(rank);
    if (isNew)
        it->second.dueAtDispatch = m_dispatches;
    return it->second;
}

void admission_queue::setClasses(const std::map<class_name, class_spec> &classes)
{
    if (!m_options.enabled)
        return;
    const auto floors = rankFloors(classes);
    for (auto it = m_ranks.begin(); it != m_ranks.end();) {
        it->second.configured = false;
        const bool removable = it->second.queued == 0 && floors.count(it->first) == 0;
        it = removable ? m_ranks.erase(it) : std::next(it);
    }
    for (const auto &[rank, floor] : floors) {
        rank_state &r = stateOf(rank);
        r.configured = true;
        r.floor = floor;
        const double share = floor * static_cast<double>(m_options.maxQueued);
        r.quota = std::max<std::size_t>(1, static_cast<std::size_t>(share));
    }
    m_due.clear();
    m_overQuota.clear();
    for (const auto &[rank, r] : m_ranks) {
        if (r.queued != 0 && r.floor > 0)
            m_due.emplace(r.dueAtDispatch, rank);
        updateQuota(rank, r);
    }
}

void admission_queue::updateQuota(class_rank rank, const rank_state &r)
{
    if (r.queued > r.quota) {
        m_overQuota.insert(rank);
        return;
    }
    m_overQuota.erase(rank);
}

void admission_queue::insert(const key &k, time_point now)
{
    rank_state &r = stateOf(k.rank);
    m_order.insert(k);
    m_deadlines.emplace(std::make_pair(latestStart(k), k.id), k);
    if (++r.queued == 1) {
        r.headSince = now;
        // A rank that was idle is owed at most one dispatch, not one for each interval that passed.
        r.dueAtDispatch = std::max(r.dueAtDispatch, m_dispatches);
        if (r.floor > 0)
            m_due.emplace(r.dueAtDispatch, k.rank);
    }
    updateQuota(k.rank, r);
}

void admission_queue::erase(const key &k)
{
    const auto it = m_ranks.find(k.rank);
    assert(it != m_ranks.end() && "a rank is kept while it has queued requests");
    rank_state &r = it->second;
    m_order.erase(k);
    m_deadlines.erase({latestStart(k), k.id});
    if (--r.queued == 0)
        m_due.erase({r.dueAtDispatch, k.rank});
    updateQuota(k.rank, r);
    if (r.queued == 0 && !r.configured && m_options.enabled)
        m_ranks.erase(it);
}

admission_queue::key admission_queue::firstKey(class_rank rank)
{
    key k;
    k.rank = rank;
    k.order = time_point::min();
    return k;
}

admission_queue::key admission_queue::lastKey(class_rank rank)
{
    key k;
    k.rank = rank;
    k.order = time_point::max();
    k.id = ~ticket{0};
    return k;
}

admission_queue::offer_result admission_queue::offer(class_rank rank, time_point deadline,
                                                     time_point now, const slot_state &slots,
                                                     double jitter)
{
    key k;
    k.rank = m_options.enabled ? rank : class_rank();
    k.order = m_options.enabled ? deadline : time_point();
    k.id = m_nextTicket++;
    k.deadline = deadline;
    k.serviceTime = slots.serviceTime;

    offer_result result;
    rank_state &r = stateOf(k.rank);
    r.offered.add(now);
    result.reason = checkAdmission(r, k, result, now, slots, jitter);
    if (result.reason == refusal_reason::None && !makeRoom(k, result))
        result.reason = refusal_reason::QueueFull;
    if (result.reason != refusal_reason::None) {
        if (!r.refusingSince)
            r.refusingSince = now;
        return result;
    }
    result.id = k.id;
    insert(k, now);
    // Making room may have erased the state of a rank without classes, so `r` may be dangling.
    stateOf(k.rank).refusingSince.reset();
    return result;
}

refusal_reason admission_queue::checkAdmission(rank_state &r, key &k, offer_result &result,
                                               time_point now, const slot_state &slots,
                                               double jitter) const
{
    if (k.deadline <= now)
        return refusal_reason::DeadlinePassed;
    const std::size_t ahead = m_order.order_of_key(k);
    const std::size_t sameRankAhead = ahead - m_order.order_of_key(firstKey(k.rank));
    const double wait = waitMicroseconds(r, ahead, sameRankAhead, slots);
    result.estimatedWait = duration(static_cast<duration::rep>(wait));
    if (!m_options.enabled)
        return refusal_reason::None;
    const double factor = 1 + thresholdJitter * (2 * jitter - 1);
    const auto slack = static_cast<double>((k.deadline - now - slots.serviceTime).count());
    const double usable = sameRankAhead == 0 ? slack : slack * shareOfSlack(r.overloadRatio(now));
    if (slack >= 0 && wait * factor <= usable)
        return refusal_reason::None;
    k.probe = r.refusingSince && now - *r.refusingSince >= probeInterval;
    return k.probe ? refusal_reason::None : refusal_reason::TargetUnreachable;
}

double admission_queue::waitMicroseconds(const rank_state &r, std::size_t ahead,
                                         std::size_t sameRankAhead, const slot_state &slots) const
{
    if (slots.running + ahead < slots.limit)
        return 0;
    const duration slotTime = slots.slotTime > duration() ? slots.slotTime : slots.serviceTime;
    const double dispatchIntervalUs =
            static_cast<double>(slotTime.count()) / std::max<std::uint32_t>(slots.limit, 1);
    const double position = static_cast<double>(sameRankAhead) + 1;
    const double strictOrderWaitUs = (static_cast<double>(ahead) + 1) * dispatchIntervalUs;
    const double estimate = std::max(strictOrderWaitUs, r.headWaitUs * position);
    if (r.floor <= 0)
        return estimate;
    // The floor bounds the wait, whatever the load of the more urgent ranks.
    return std::min(estimate, position * dispatchIntervalUs / r.floor);
}

bool admission_queue::makeRoom(const key &k, offer_result &result)
{
    if (m_order.size() < m_options.maxQueued)
        return true;
    // Each rank may fill its floor's share of the queue. The least urgent rank above its share
    // makes room, or the least urgent of all if none is above.
    const bool anyOver = !m_overQuota.empty();
    const class_rank rank = anyOver ? *m_overQuota.rbegin() : m_order.rbegin()->rank;
    const key victim = *std::prev(m_order.upper_bound(lastKey(rank)));
    const rank_state &own = stateOf(k.rank);
    const bool entitled = anyOver && rank != k.rank && own.queued < own.quota;
    if (!entitled && !(k < victim))
        return false;
    erase(victim);
    result.displaced = victim.id;
    return true;
}

class_rank admission_queue::nextRank() const
{
    if (!m_due.empty() && m_due.begin()->first <= m_dispatches)
        return m_due.begin()->second;
    return m_order.begin()->rank;
}

void admission_queue::recordDispatch(class_rank rank, time_point now)
{
    rank_state &r = stateOf(rank);
    if (r.floor > 0) {
        const double interval = 1 / r.floor;
        m_due.erase({r.dueAtDispatch, rank});
        const bool due = r.dueAtDispatch <= m_dispatches;
        r.dueAtDispatch = (due ? r.dueAtDispatch : m_dispatches) + interval;
        m_due.emplace(r.dueAtDispatch, rank);
    }
    ++m_dispatches;
    const auto waited = static_cast<double>((now - r.headSince).count());
    r.headWaitUs += headWaitWeight * (waited - r.headWaitUs);
    r.headSince = now;
    r.served.add(now);
}

admission_queue::take_result admission_queue::take(time_point now)
{
    take_result result;
    while (!m_order.empty()) {
        const key k = *m_order.lower_bound(firstKey(nextRank()));
        const bool late = tooLate(k, now);
        if (!late)
            recordDispatch(k.rank, now);
        erase(k);
        if (!late) {
            result.run = k.id;
            return result;
        }
        result.refused.push_back(k.id);
    }
    return result;
}

time_point admission_queue::latestStart(const key &k) const
{
    return k.probe || !m_options.enabled ? k.deadline : k.deadline - k.serviceTime;
}

bool admission_queue::tooLate(const key &k, time_point now) const
{
    if (k.probe || !m_options.enabled)
        return k.deadline <= now;
    return now > latestStart(k);
}

std::vector<admission_queue::ticket> admission_queue::expire(time_point now)
{
    std::vector<ticket> out;
    while (!m_deadlines.empty()) {
        const key k = m_deadlines.begin()->second;
        if (!tooLate(k, now))
            return out;
        erase(k);
        out.push_back(k.id);
    }
    return out;
}

std::optional<time_point> admission_queue::nextExpiry() const
{
    if (m_deadlines.empty())
        return std::nullopt;
    const key &k = m_deadlines.begin()->second;
    if (k.probe || !m_options.enabled)
        return k.deadline;
    // One microsecond after this time, the remaining time is shorter than the service time.
    return latestStart(k) + duration(1);
}

duration admission_queue::retryAfter(class_rank rank, time_point now, double jitter) const
{
    const auto it = m_ranks.find(m_options.enabled ? rank : class_rank());
    double ratio = 1;
    if (it != m_ranks.end())
        ratio = it->second.overloadRatio(now);
    const duration delay = std::min(scaled(minRetryDelay, std::max(ratio, 1.0)), maxRetryDelay);
    return scaled(delay, 1 + retryJitter * jitter);
}

duration admission_queue::estimatedWait(class_rank rank, const slot_state &slots) const
{
    const class_rank wanted = m_options.enabled ? rank : class_rank();
    const auto it = m_ranks.find(wanted);
    const std::size_t ahead = m_order.order_of_key(lastKey(wanted));
    const std::size_t sameRankAhead = ahead - m_order.order_of_key(firstKey(wanted));
    const rank_state none;
    const rank_state &r = it == m_ranks.end() ? none : it->second;
    return duration(static_cast<duration::rep>(waitMicroseconds(r, ahead, sameRankAhead, slots)));
}

} // namespace peridotwheel
