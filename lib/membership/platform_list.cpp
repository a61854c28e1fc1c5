// The parts of the membership controller that handle the platform's list and backend servers.

#include "peridotwheel/membership/membership_controller.h"
#include "peridotwheel/platform/watcher_election.h"

#include <algorithm>

namespace peridotwheel {

namespace {

/// Bounds of the leaving servers in one message: recently learned ones, and known ones that are
/// repeated.
constexpr std::size_t maxRecentLeaving = 64;
constexpr std::size_t maxRepeatedLeaving = 8;

} // namespace

void membership_controller::readList()
{
    std::weak_ptr<membership_controller *> weak = m_this;
    m_platform.instances([weak](const result<instance_list> &list) {
        if (auto self = weak.lock())
            (*self)->onList(list);
    });
}

void membership_controller::onList(const result<instance_list> &list)
{
    duration delay = isWatcher(m_board.members.value(), m_self, "instances")
                             ? m_options.watcherListInterval
                             : m_options.otherListInterval;
    if (!list) {
        m_listFailures = std::min(m_listFailures + 1, m_options.maxListBackoffSteps);
        delay = std::min(m_options.watcherListInterval * (1 << (m_listFailures - 1)),
                         m_options.otherListInterval);
    }
    const auto factor = 0.75 + 0.5 * m_random.fraction();
    m_listTimer = m_loop.schedule(
            duration(static_cast<duration::rep>(static_cast<double>(delay.count()) * factor)),
            [this] { readList(); });
    if (!list)
        return;
    m_listFailures = 0;
    for (auto &[id, n] : m_localStates)
        n.listed = false;
    for (const auto &m : list.value().instances)
        addListed(m);
    const std::size_t leavingBefore = m_servers.leavingCount();
    const unsigned transmits = m_options.transmitsPerDoubling * log2FleetSize();
    if (m_servers.applyList(list.value().servers, transmits))
        m_board.servers.set(m_servers.servers());
    if (m_servers.leavingCount() > leavingBefore && m_onLeavingServer)
        m_onLeavingServer(update_source::Direct);
}

/// Adds \p listed if it is unknown, and marks each of its starts as leaving at most once. The list
/// lags, so a member from it gets incarnation 0, which any update by the member itself supersedes.
void membership_controller::addListed(const member &listed)
{
    if (listed.id == m_self.id)
        return;
    member m = listed;
    m.incarnation = 0;
    m.state = member_state::Alive;
    if (m_table.find(m.id) == nullptr)
        apply(m);
    const member *present = m_table.find(m.id);
    if (present == nullptr)
        return;
    local_state &n = m_localStates[m.id];
    n.listed = listed.state != member_state::Leaving;
    if (listed.state != member_state::Leaving || n.listedLeavingStart == listed.start)
        return;
    n.listedLeavingStart = listed.start;
    if (present->start != listed.start)
        return;
    member leaving = *present;
    leaving.state = member_state::Leaving;
    apply(leaving);
}

std::vector<server_leaving> membership_controller::leavingServers()
{
    return m_servers.updatesForMessage(maxRecentLeaving, maxRepeatedLeaving);
}

void membership_controller::merge(const std::vector<server_leaving> &runs)
{
    applyLeaving(runs, update_source::Peer);
}

void membership_controller::applyLeaving(const std::vector<server_leaving> &runs,
                                         update_source source)
{
    bool learned = false;
    const unsigned transmits = m_options.transmitsPerDoubling * log2FleetSize();
    for (const auto &n : runs)
        learned = m_servers.noteLeaving(n, transmits) || learned;
    if (!learned)
        return;
    m_board.servers.set(m_servers.servers());
    if (m_onLeavingServer)
        m_onLeavingServer(source);
}

void membership_controller::noteServerLeaving(const server_id &id, start_id start)
{
    applyLeaving({{id, start}}, update_source::Direct);
}

} // namespace peridotwheel
