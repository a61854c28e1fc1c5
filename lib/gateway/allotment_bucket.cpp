#include "allotment_bucket.h"

#include <algorithm>
#include <cmath>

namespace peridotwheel {

namespace {

/// Shares of the tolerance, which add up to 1; see `allotment_bounds`.
constexpr double lendableShare = 0.375;
constexpr double startShare = 0.125;
constexpr double reserveShare = 0.5;
/// Share of the tokens that may be out which is not granted in advance. Callers that move to other
/// instances leave tokens behind, and without this share a team was refused within its allotment
/// while its tokens were out.
constexpr double keptForWaitingShare = 0.2;
/// Least time for which instances reject the requests of a team that has used up its allotment.
/// With ten instances, its owner gets at most some 60 messages a second.
constexpr duration minRejection = milliseconds(150);
/// A holder is forgotten this long after its last message.
constexpr duration holderRetention = seconds(60);

/// Of the tokens for a second of demand, this share (1 / `usedSoonDivisor`) is used so soon that it
/// is granted like tokens for waiting requests. A team over its allotment is then served and
/// refused without a wait; slow instances get none of these tokens and leave none behind.
constexpr std::int32_t usedSoonDivisor = 3;

/// Returns how many of \p wanted tokens fit into \p headroom.
std::int32_t grantable(std::int32_t wanted, double headroom)
{
    return static_cast<std::int32_t>(std::min<double>(wanted, std::max(std::floor(headroom), 0.0)));
}

} // namespace

allotment_bounds::allotment_bounds(const rate_allotment &allotment,
                                   const allotment_tolerance &tolerance)
    : ratePerSecond(allotment.rate.perSecond())
    , capacity(std::max(allotment.burst, 1.0))
    , window(tolerance.window)
{
    const double windowSeconds = toMilliseconds(window) / 1000;
    const double allowed =
            tolerance.excess * (ratePerSecond * windowSeconds + allotment.burst) + tolerance.slack;
    // A bucket for less than one token would never grant any; the rest comes from the tolerance.
    const double left = std::max(allowed - (capacity - allotment.burst), 0.0);
    lendable = lendableShare * left;
    atStart = startShare * left;
    reserve = reserveShare * left;
}

allotment_bucket::allotment_bucket(const allotment_bounds &bounds, bucket_id id, time_point now)
    : m_bounds(bounds)
    , m_id(id)
    , m_level(bounds.atStart - bounds.lendable)
    , m_settledAt(now)
{
}

allotment_bucket::allotment_bucket(const allotment_bounds &bounds,
                                   const allotment_bucket_state &state, time_point now)
    : m_bounds(bounds)
    , m_id(state.id)
    , m_level(std::min(state.level, bounds.capacity))
    , m_settledAt(now)
{
    for (const auto &from : state.holders) {
        holder &h = m_holders[from.instance];
        h.process = from.process;
        h.sequence = from.sequence;
        h.used = from.used;
        h.out = from.out;
        h.presumedUsed = from.presumedUsed;
        h.expiry = now + from.expiryIn;
        m_out += h.out;
    }
}

allotment_bucket_state allotment_bucket::state(const team_name &team, time_point now)
{
    settle(now);
    allotment_bucket_state out;
    out.team = team;
    out.id = m_id;
    out.level = m_level;
    for (const auto &[instance, h] : m_holders)
        out.holders.push_back({instance, h.process, h.sequence, h.used, h.out, h.presumedUsed,
                               std::max(h.expiry - now, duration::zero())});
    return out;
}

void allotment_bucket::setBounds(const allotment_bounds &bounds, time_point now)
{
    settle(now);
    m_bounds = bounds;
    m_level = std::min(m_level, m_bounds.capacity);
}

void allotment_bucket::settle(time_point now)
{
    const double elapsed = toMilliseconds(now - m_settledAt) / 1000;
    m_level = std::min(m_bounds.capacity, m_level + elapsed * m_bounds.ratePerSecond);
    m_settledAt = now;
    for (auto it = m_holders.begin(); it != m_holders.end();) {
        if (now >= it->second.expiry)
            presumeUsed(it->second);
        it = now >= it->second.expiry + holderRetention ? m_holders.erase(it) : std::next(it);
    }
}

void allotment_bucket::presumeUsed(holder &h)
{
    m_level -= h.out;
    m_out -= h.out;
    h.presumedUsed += h.out;
    h.out = 0;
}

duration allotment_bucket::timeUntilCapacity() const
{
    const double missing = std::max(1 - headroom(), 0.0);
    const duration wait = fromMilliseconds(std::ceil(1000 * missing / m_bounds.ratePerSecond));
    return std::max(wait, minRejection);
}

allotment_grant allotment_bucket::handle(const allotment_sender &sender,
                                         const allotment_report &report, time_point now)
{
    settle(now);
    allotment_grant grant;
    grant.team = report.team;
    grant.bucket = m_id;
    const auto [it, isNew] = m_holders.try_emplace(sender.instance);
    holder &h = it->second;
    if (isNew || h.process != sender.process) {
        presumeUsed(h);
        h = holder();
        h.process = sender.process;
        h.used = report.used;
    } else if (sender.sequence <= h.sequence) {
        return grant;
    }
    h.sequence = sender.sequence;
    // Expired tokens are not put back even if they were not used: the level may have been refilled
    // meanwhile, and a window would allow for both.
    const std::int64_t used = report.used - h.used;
    m_level -= static_cast<double>(
            h.presumedUsed > 0 ? std::max<std::int64_t>(used - h.presumedUsed, 0) : used);
    m_level = std::min(m_level, m_bounds.capacity);
    h.used = report.used;
    h.presumedUsed = 0;
    m_out += report.unused - h.out;
    h.out = report.unused;

    const std::int32_t forWaiting = grantable(report.waiting, headroom());
    const double kept = keptForWaitingShare * (m_bounds.capacity + m_bounds.lendable);
    const double left = headroom() - forWaiting;
    const std::int32_t usedSoon = report.inAdvance / usedSoonDivisor;
    grant.tokens = forWaiting +
                   std::max(grantable(report.inAdvance, left - kept), grantable(usedSoon, left));
    h.out += grant.tokens;
    m_out += grant.tokens;
    h.expiry = now + tokenValidity;
    if (forWaiting < report.waiting)
        grant.capacityIn = timeUntilCapacity();
    return grant;
}

std::optional<duration> allotment_bucket::take(time_point now)
{
    settle(now);
    if (headroom() < 1)
        return timeUntilCapacity();
    m_level -= 1;
    return std::nullopt;
}

void allotment_bucket::giveBack(time_point now)
{
    settle(now);
    m_level = std::min(m_level + 1, m_bounds.capacity);
}

} // namespace peridotwheel
