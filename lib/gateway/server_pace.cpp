#include "peridotwheel/gateway/server_pace.h"

#include <algorithm>
#include <cmath>

namespace peridotwheel {

namespace {

/// Time in which the share doubles after a reply in time; the full share takes 1.7 s then.
constexpr duration doublingTime = milliseconds(500);
/// The same without a reply; the full share takes 2.7 s then. An instance of a large fleet gets no
/// reply for seconds, and hints show a queue only after it has built up: with 500 ms, 222 in place
/// of 152 of some 48,000 answers were late while a server warmed for 3 s in a simulated fleet of
/// 300.
constexpr duration unconfirmedDoublingTime = milliseconds(800);
constexpr double lowerFactor = 0.5;
/// Replies that waited in one queue arrive together and lower the share once.
constexpr duration lowerInterval = milliseconds(200);
/// Pause of the rise after a slow reply, unless a reply in time ends it. An instance of a large
/// fleet gets no other reply for seconds, and goes by the hints then.
constexpr duration pauseAfterTrouble = seconds(1);
/// Pause of the rise after a hint; hints come at least twice a second.
constexpr duration pauseAfterHint = seconds(1);
/// A pace ends after the full share has been held for this time: the queue that it may cause shows
/// by then.
constexpr duration steadyTime = seconds(1);

} // namespace

void server_pace::begin(double share, const server_hint &hint, time_point now)
{
    restart(m_isActive ? std::min(share, this->share(now)) : share, now, now);
    m_isActive = true;
    m_isConfirmed = false;
    m_loweredAt.reset();
    m_hintedUntil = now;
    m_areFailuresOld = hint.errorRate > 0;
}

void server_pace::restart(double share, time_point now, time_point resumeAt)
{
    m_share = std::clamp(share, leastShare, 1.0);
    m_risesFrom = std::max(now, resumeAt);
}

double server_pace::share(time_point now) const
{
    if (!m_isActive)
        return 1;
    if (now <= m_risesFrom)
        return m_share;
    const duration each = m_isConfirmed ? doublingTime : unconfirmedDoublingTime;
    const double doublings = toMilliseconds(now - m_risesFrom) / toMilliseconds(each);
    return std::min(m_share * std::exp2(doublings), 1.0);
}

void server_pace::onReplyInTime(time_point now)
{
    if (!m_isActive)
        return;
    if (!m_isConfirmed)
        restart(share(now), now, m_risesFrom);
    m_isConfirmed = true;
    if (now < m_risesFrom && now >= m_hintedUntil)
        m_risesFrom = now;
}

void server_pace::lower(time_point now, duration pause)
{
    const bool isRepeated = m_loweredAt && now - *m_loweredAt < lowerInterval;
    const double lowered = share(now) * (isRepeated ? 1 : lowerFactor);
    m_isConfirmed = false;
    if (!isRepeated)
        m_loweredAt = now;
    restart(lowered, now, std::max(m_risesFrom, now + pause));
}

void server_pace::onTrouble(time_point now)
{
    if (m_isActive)
        lower(now, pauseAfterTrouble);
}

void server_pace::onHint(const server_hint &hint, time_point now)
{
    if (!m_isActive)
        return;
    m_areFailuresOld = m_areFailuresOld && hint.errorRate > 0;
    if (hint.slowness <= 1 && (hint.errorRate <= 0 || m_areFailuresOld)) {
        m_hintedUntil = std::min(m_hintedUntil, now);
        return;
    }
    m_hintedUntil = now + pauseAfterHint;
    lower(now, pauseAfterHint);
}

bool server_pace::endIfSteady(time_point now)
{
    if (!m_isActive || now - m_risesFrom < steadyTime || share(now - steadyTime) < 1)
        return false;
    m_isActive = false;
    return true;
}

} // namespace peridotwheel
