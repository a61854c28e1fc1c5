#ifndef PERIDOTWHEEL_LIB_GATEWAY_REQUEST_TRACE_H
#define PERIDOTWHEEL_LIB_GATEWAY_REQUEST_TRACE_H

#include "peridotwheel/gateway/decision_log.h"
#include "peridotwheel/gateway/route.h"

#include <string>
#include <vector>

namespace peridotwheel {

/// Numbers of parts that are missing from an answer, by reason.
struct missing_parts
{
    /// No untried server could take an attempt.
    std::size_t withoutServer = 0;
    /// A further attempt was denied by the budget.
    std::size_t byBudget = 0;
    /// An untried server was left when the answer was due.
    std::size_t awaited = 0;
};

/// The decisions about one request. They are written to the log at its end, completely or not at
/// all as the rate limit permits: for requests that bypass sampling, which are the late, failed and
/// incomplete ones, and for a sample of the others.
class request_trace
{
public:
    /// \p processorTime is that of the process at \p arrival.
    request_trace(request_id id, time_point arrival, duration processorTime)
        : m_id(std::move(id))
        , m_arrival(arrival)
        , m_processorTimeAtArrival(processorTime)
    {
    }

    /// Records a decision. \p what must outlive the trace, as a string literal does. \p server may
    /// be empty. \p value is in milliseconds, or a number whose meaning depends on \p what.
    void add(time_point now, const char *what, const std::string &service,
             const std::string &server, double value = 0);
    /// Records that an attempt was given to a connection at \p now.
    void addSent(time_point now, bool waitedForConnection);
    void setTeam(const team_name &team) { m_team = team; }
    /// Records why parts are missing from the answer.
    void setMissing(const missing_parts &missing) { m_missing = missing; }
    /// \p processorTime is that of the process at \p now.
    void write(decision_log &log, time_point now, duration processorTime, const route &r,
               configuration_version version, const char *outcome, bool bypassSampling) const;

private:
    struct entry
    {
        duration at{};
        const char *what = "";
        std::string service;
        std::string server;
        double value = 0;
    };

    request_id m_id;
    time_point m_arrival;
    duration m_processorTimeAtArrival;
    /// Time from the arrival to the last attempt that was given to a connection.
    duration m_lastSent{};
    std::size_t m_waitedForConnection = 0;
    missing_parts m_missing;
    /// Empty if no team is known.
    team_name m_team;
    std::vector<entry> m_entries;
};

} // namespace peridotwheel

#endif
