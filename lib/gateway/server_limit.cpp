#include "peridotwheel/gateway/server_limit.h"

#include <algorithm>

namespace peridotwheel {

namespace {

/// An instance with a share gets an answer about once a second.
constexpr duration recentlyNamed = seconds(2);
constexpr double roundingTolerance = 1e-6;
/// An answer to this instance outweighs hints for this time, since hints lag behind.
constexpr duration hintLag = milliseconds(1500);

} // namespace

bool server_limit::set(request_rate named, time_point now)
{
    const bool isFirst = !limit(now);
    const bool changed = isFirst || *m_limit != named;
    // The share up to now was of the former limit.
    m_available = isFirst ? 0 : available(now);
    m_availableAt = now;
    m_limit = named;
    m_namedAt = now;
    return changed;
}

bool server_limit::onAnswer(std::optional<request_rate> named, time_point now)
{
    m_answeredAt = now;
    m_wasNamedHere = named.has_value();
    if (named)
        return set(*named, now);
    const bool wasLimited = limit(now).has_value();
    m_limit.reset();
    return wasLimited;
}

bool server_limit::onHint(std::optional<request_rate> named, time_point now)
{
    if (!named || now - m_answeredAt < hintLag)
        return false;
    return set(*named, now);
}

void server_limit::setOwnShare(double share, time_point now)
{
    m_available = available(now);
    m_availableAt = now;
    m_ownShare = share;
}

std::optional<request_rate> server_limit::limit(time_point now) const
{
    return m_limit && now - m_namedAt < m_lifetime ? m_limit : std::nullopt;
}

std::optional<request_rate> server_limit::namedHere(time_point now) const
{
    return m_wasNamedHere && now - m_answeredAt < recentlyNamed ? m_limit : std::nullopt;
}

double server_limit::available(time_point now) const
{
    if (!m_limit)
        return 0;
    const double ownRate = m_limit->perSecond() * m_ownShare;
    return std::min(1.0, m_available + ownRate * toMilliseconds(now - m_availableAt) / 1000);
}

duration server_limit::delay(std::size_t ahead, time_point now) const
{
    if (!limit(now))
        return duration::zero();
    const double ownRate = m_limit->perSecond() * m_ownShare;
    const double missing = static_cast<double>(ahead) + 1 - available(now);
    if (missing <= roundingTolerance)
        return duration::zero();
    if (1000 * missing >= ownRate * toMilliseconds(unavailable))
        return unavailable;
    // Rounded up, since a request that is sent a microsecond early is not let through.
    return fromMilliseconds(1000 * missing / ownRate) + duration(1);
}

bool server_limit::take(time_point now)
{
    if (!limit(now))
        return true;
    const double present = available(now);
    if (present < 1 - roundingTolerance)
        return false;
    m_available = std::max(present - 1, 0.0);
    m_availableAt = now;
    return true;
}

} // namespace peridotwheel
