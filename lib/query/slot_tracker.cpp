#include "slot_tracker.h"

#include <cassert>

namespace peridotwheel {

void slot_tracker::enter(std::uint32_t &waiting)
{
    if (waiting > 0)
        --m_servicesByCount[waiting];
    ++waiting;
    if (m_servicesByCount.size() <= waiting)
        m_servicesByCount.resize(waiting + 1);
    ++m_servicesByCount[waiting];
    if (waiting > m_highest)
        m_highest = waiting;
}

void slot_tracker::leave(std::uint32_t &waiting)
{
    assert(waiting > 0 && "each query leaves a service once");
    --m_servicesByCount[waiting];
    --waiting;
    if (waiting > 0)
        ++m_servicesByCount[waiting];
    if (m_servicesByCount[m_highest] != 0)
        return;
    --m_highest;
    if (onDecrease)
        onDecrease();
}

} // namespace peridotwheel
