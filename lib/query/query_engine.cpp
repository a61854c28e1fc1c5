#include "peridotwheel/query/query_engine.h"

#include "engine_state.h"
#include "running_query.h"

namespace peridotwheel {

namespace {

/// Service time assumed before the first answer.
constexpr duration assumedServiceTime = milliseconds(50);

} // namespace

query_engine::query_engine(event_loop &loop, blackboard &board, http_connector &connector,
                           counter_set &counters, event_sink events, std::uint64_t seed,
                           instance_id self, data_centre_id dataCentre,
                           query_engine_options options)
    : m_state(std::make_unique<engine_state>(loop, board, connector, counters, std::move(events),
                                             seed, std::move(self), std::move(dataCentre), options))
{
    m_state->onServerLeaving = [this](const server_id &server, start_id start) {
        if (onServerLeaving)
            onServerLeaving(server, start);
    };
}

query_engine::~query_engine() = default;

void query_engine::run(query_request request, answer_hook done)
{
    m_state->detectLocalStall(m_state->loop.now());
    const auto query =
            std::make_shared<running_query>(*m_state, std::move(request), std::move(done));
    m_state->active.insert(query);
    query->start();
}

bool query_engine::connected() const
{
    return m_state->connected();
}

std::uint32_t query_engine::concurrencyLimit() const
{
    return m_state->queryConcurrencyLimit;
}

std::uint32_t query_engine::slotsInUse() const
{
    return m_state->slots.inUse();
}

duration query_engine::slotTime() const
{
    return m_state->slotTime;
}

void query_engine::setSlotFreeHook(std::function<void()> hook)
{
    m_state->onSlotFree = std::move(hook);
}

duration query_engine::expectedServiceTime() const
{
    if (m_state->queryLatency.samples() == 0)
        return assumedServiceTime;
    return m_state->queryLatency.p90();
}

std::uint32_t query_engine::connectionShare(const server_id &server) const
{
    const auto it = m_state->servers.find(server);
    if (it == m_state->servers.end())
        return 0;
    const server_record &record = it->second->record;
    return m_state->share(server, record.connectionLimit, record.dataCentre);
}

bool query_engine::usable(const server_id &server) const
{
    const auto it = m_state->servers.find(server);
    return it != m_state->servers.end() && it->second->eligible() && !it->second->stats.suspect();
}

std::vector<instance_id> query_engine::connectionOwners(const server_id &server) const
{
    const auto it = m_state->servers.find(server);
    if (it == m_state->servers.end())
        return {};
    const server_record &record = it->second->record;
    return m_state->share.owners(server, record.connectionLimit, record.dataCentre);
}

std::uint64_t query_engine::shareEpoch() const
{
    return m_state->shareEpoch;
}

void query_engine::noteServerLeaving(const server_id &server, start_id start)
{
    m_state->noteLeaving(server, start, false);
}

} // namespace peridotwheel
