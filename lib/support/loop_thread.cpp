#include "peridotwheel/support/loop_thread.h"

namespace peridotwheel {

loop_thread::loop_thread()
    : m_thread([this] { m_loop.run(); })
{
}

loop_thread::~loop_thread()
{
    m_loop.stop();
    m_thread.join();
}

} // namespace peridotwheel
