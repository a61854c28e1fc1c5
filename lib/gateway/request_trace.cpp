#include "request_trace.h"

#include <algorithm>
#include <functional>

namespace peridotwheel {

namespace {

/// One in this many requests that do not bypass sampling is written.
constexpr std::size_t sampleDivisor = 256;

} // namespace

void request_trace::add(time_point now, const char *what, const std::string &service,
                        const std::string &server, double value)
{
    m_entries.push_back({now - m_arrival, what, service, server, value});
}

void request_trace::addSent(time_point now, bool waitedForConnection)
{
    m_lastSent = std::max(m_lastSent, now - m_arrival);
    m_waitedForConnection += waitedForConnection ? 1 : 0;
}

void request_trace::write(decision_log &log, time_point now, duration processorTime, const route &r,
                          configuration_version version, const char *outcome,
                          bool bypassSampling) const
{
    const bool isSample = std::hash<std::string>()(m_id.value()) % sampleDivisor == 0;
    if ((!bypassSampling && !isSample) || !log.admitTrace(m_entries.size() + 1))
        return;
    for (const entry &e : m_entries) {
        decision_log::line line = log.traceLine(e.what);
        line.add("request", m_id.value()).addMs("at_ms", e.at).add("service", e.service);
        if (!e.server.empty())
            line.add("server", e.server);
        line.addMs("value", fromMilliseconds(e.value));
    }
    decision_log::line line = log.traceLine("request_ended");
    line.add("request", m_id.value()).add("route", r.name.value());
    if (!m_team.value().empty())
        line.add("team", m_team.value());
    line.add("configuration", static_cast<std::int64_t>(version.value()))
            .add("rank", static_cast<std::int64_t>(r.rank.value()))
            .add("outcome", outcome)
            .addMs("target_ms", r.target)
            .addMs("took_ms", now - m_arrival)
            .addMs("last_sent_ms", m_lastSent)
            .add("waited_for_connection", static_cast<std::int64_t>(m_waitedForConnection))
            .add("missing_no_other_server", static_cast<std::int64_t>(m_missing.withoutServer))
            .add("missing_budget_denied", static_cast<std::int64_t>(m_missing.byBudget))
            .add("missing_awaited", static_cast<std::int64_t>(m_missing.awaited))
            .addMs("processor_ms", processorTime - m_processorTimeAtArrival);
}

} // namespace peridotwheel
