#include "member_sweeper.h"

namespace peridotwheel {

member_sweeper::member_sweeper(event_loop &loop, member self, hooks h)
    : m_loop(loop)
    , m_self(std::move(self))
    , m_hooks(std::move(h))
{
}

member_sweeper::~member_sweeper() = default;

void member_sweeper::setMembers(const member_map &members)
{
    m_members = members;
    for (auto it = m_failures.begin(); it != m_failures.end();)
        it = members.count(it->first) == 0 ? m_failures.erase(it) : std::next(it);
}

void member_sweeper::setActive(bool active)
{
    if (m_active == active)
        return;
    m_active = active;
    // Failures from an earlier active period say nothing about the time in between.
    m_failures.clear();
    m_timer.cancel();
    if (m_active)
        m_timer = m_loop.schedule(probeInterval, [this] { sweep(); });
}

void member_sweeper::sweep()
{
    const member_map present = m_members;
    for (const auto &[id, m] : present) {
        if (id == m_self.id || m.dataCentre != m_self.dataCentre)
            continue;
        m_hooks.probe(m, [this, target = m, alive = std::weak_ptr<int>(m_alive)](bool answered) {
            if (!alive.expired())
                onProbed(target, answered);
        });
    }
    m_timer = m_loop.schedule(probeInterval, [this] { sweep(); });
}

void member_sweeper::onProbed(const member &target, bool answered)
{
    if (!m_active || m_members.count(target.id) == 0)
        return;
    if (answered) {
        m_failures.erase(target.id);
        return;
    }
    if (++m_failures[target.id] < failuresUntilRemoval)
        return;
    m_failures.erase(target.id);
    m_hooks.remove(target);
}

} // namespace peridotwheel
