#include "slot_tracker.h"

#include <cassert>

namespace peridotwheel {

void slot_tracker::enter(std::uint32_t &waiting)
{
    if (waiting > 0)
        --m_services[waiting];
    ++waiting;
    if (m_services.size() <= waiting)
        m_services.resize(waiting + 1);
    ++m_services[waiting];
    if (waiting > m_highest)
        m_highest = waiting;
}

void slot_tracker::leave(std::uint32_t &waiting)
{
    assert(waiting > 0 && "each query leaves a service once");
    --m_services[waiting];
    --waiting;
    if (waiting > 0)
        ++m_services[waiting];
    if (m_services[m_highest] != 0)
        return;
    --m_highest;
    if (onDecrease)
        onDecrease();
}

} // namespace peridotwheel
