#include "peridotwheel/standin/backend_standin.h"

#include "backend_impl.h"

#include <algorithm>

namespace peridotwheel {

void backend_counters::add(const backend_counters &other)
{
    received += other.received;
    executed += other.executed;
    cancelled += other.cancelled;
    shed += other.shed;
    expired += other.expired;
    versionNotHeld += other.versionNotHeld;
    refusedConnections += other.refusedConnections;
    openConnections += other.openConnections;
    peakConnections = std::max(peakConnections, other.peakConnections);
    receivedAfterDrain += other.receivedAfterDrain;
    receivedAfterDrainAt.insert(receivedAfterDrainAt.end(), other.receivedAfterDrainAt.begin(),
                                other.receivedAfterDrainAt.end());
    drainStart = std::max(drainStart, other.drainStart);
    for (const auto &[id, count] : other.runs)
        runs[id] += count;
}

backend_standin::backend_standin(libevent_loop &loop, backend_config config)
    : m_impl(std::make_unique<impl>(loop, std::move(config)))
{
}

backend_standin::~backend_standin() = default;

result<void> backend_standin::start()
{
    return m_impl->start();
}

const endpoint &backend_standin::address() const
{
    return m_impl->config().address;
}

const backend_config &backend_standin::config() const
{
    return m_impl->config();
}

const fault_plan &backend_standin::faults() const
{
    return m_impl->faults();
}

void backend_standin::setFaults(const fault_plan &plan)
{
    m_impl->setFaults(plan);
}

void backend_standin::addVersion(index_version version, std::vector<shard_id> shards)
{
    m_impl->addVersion(version, std::move(shards));
}

void backend_standin::restart(start_id start, std::uint32_t coldReplies)
{
    m_impl->restart(start, coldReplies);
}

backend_counters backend_standin::counters()
{
    return m_impl->counters();
}

} // namespace peridotwheel
