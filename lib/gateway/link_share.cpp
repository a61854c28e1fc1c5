#include "link_share.h"

#include <algorithm>

namespace peridotwheel {

namespace {

/// After a pause, as many bytes may be sent at once as otherwise in this time.
constexpr duration burstDuration = milliseconds(100);

} // namespace

link_share::link_share(byte_rate link, double share, std::size_t burstBytes, time_point now)
    : m_rate(share * link.bytesPerSecond())
    , m_burstBytes(std::max(m_rate.bytesIn(burstDuration), static_cast<double>(burstBytes)))
    , m_availableBytes(m_burstBytes)
    , m_availableAt(now)
{
}

bool link_share::take(std::size_t bytes, time_point now)
{
    m_availableBytes =
            std::min(m_burstBytes, m_availableBytes + m_rate.bytesIn(now - m_availableAt));
    m_availableAt = now;
    const auto needed = static_cast<double>(bytes);
    if (m_availableBytes < std::min(needed, m_burstBytes))
        return false;
    m_availableBytes -= needed;
    return true;
}

} // namespace peridotwheel
