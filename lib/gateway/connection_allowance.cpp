#include "peridotwheel/gateway/connection_allowance.h"

#include <algorithm>

namespace peridotwheel {

void connection_allowance::setPart(double connections, time_point now)
{
    m_available = available(now);
    m_availableAt = now;
    m_part = connections;
}

void connection_allowance::onClosed(duration held, time_point now)
{
    m_available = available(now) - held;
    m_availableAt = now;
}

duration connection_allowance::available(time_point now) const
{
    return std::min(scaled(savingPeriod, m_part),
                    m_available + scaled(now - m_availableAt, m_part));
}

} // namespace peridotwheel
