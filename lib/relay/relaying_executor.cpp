#include "peridotwheel/relay/relaying_executor.h"

#include "relay_state.h"
#include "relayed_query.h"

namespace peridotwheel {

relaying_executor::relaying_executor(event_loop &loop, const blackboard &board,
                                     query_executor &local, http_client &http, relay_hooks hooks,
                                     counter_set &counters, event_sink events, std::uint64_t seed,
                                     const instance_id &self, start_id start,
                                     const data_centre_id &dataCentre)
    : m_state(std::make_unique<relay_state>(loop, board, local, http, std::move(hooks), counters,
                                            std::move(events), seed, self, start, dataCentre))
{
}

relaying_executor::~relaying_executor() = default;

bool relaying_executor::refreshCallsDirectly()
{
    m_state->refresh();
    return m_state->directory.ownsAll();
}

void relaying_executor::run(query_request request, answer_hook done)
{
    if (refreshCallsDirectly()) {
        m_state->local.run(std::move(request), std::move(done));
        return;
    }
    // A query that cannot be split goes to the engine, which refuses it and states the reason.
    const auto query =
            std::make_shared<relayed_query>(*m_state, std::move(request), std::move(done));
    m_state->active.insert(query);
    if (query->pinShardMap()) {
        query->start();
        return;
    }
    m_state->active.erase(query);
    m_state->local.run(query->takeRequest(), query->takeHook());
}

std::uint32_t relaying_executor::concurrencyLimit(std::uint32_t directLimit) const
{
    return m_state->directory.ownsAll() ? directLimit : m_state->concurrency;
}

bool relaying_executor::callsDirectly() const
{
    return m_state->directory.ownsAll();
}

duration relaying_executor::expectedServiceTime(duration directTime) const
{
    const auto estimate = m_state->queryTime.p90();
    return m_state->directory.ownsAll() || !estimate ? directTime : *estimate;
}

} // namespace peridotwheel
