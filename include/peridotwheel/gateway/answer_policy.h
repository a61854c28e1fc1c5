#ifndef PERIDOTWHEEL_GATEWAY_ANSWER_POLICY_H
#define PERIDOTWHEEL_GATEWAY_ANSWER_POLICY_H

#include "peridotwheel/support/units.h"

#include <cstddef>
#include <optional>

namespace peridotwheel {

/// Points in time that the decisions on one request depend on.
struct request_times
{
    time_point arrival;
    /// End of the latency target; a later answer counts as late.
    time_point targetEnd;
    /// Time by which the request must be answered.
    time_point deadline;
};

/// An attempt in flight, and its best alternative.
struct second_attempt_input
{
    time_point sentAt;
    /// Service time on a typical server.
    duration work{};
    /// Network round trip to the server of the attempt.
    duration roundTrip{};
    /// Expected time for the alternative beyond `work`.
    duration alternativeRoundTrip{};
    /// Whether the alternative works on requests for notably longer than usual.
    bool isAlternativeSlow = false;
};

/// Returns the time at which a second attempt (a hedged request) is sent if the first one has not
/// been answered by then.
///
/// It is late enough that most first attempts have been answered, since every extra attempt adds
/// load, and early enough that the second attempt can be answered within the target. An alternative
/// that needs most of the target, such as one in another region to which a connection has to be
/// opened first, is used as early as possible, unless it is slow itself: early requests would keep
/// such a server from recovering. If the target can no longer be met, the usual wait
/// applies: callers prefer a late answer to none.
time_point secondAttemptTime(const second_attempt_input &input, const request_times &times);

/// State of the parts of a query, as input of `decideAnswer`.
struct parts_state
{
    std::size_t total = 0;
    std::size_t answered = 0;
    /// Parts that may still answer.
    std::size_t pending = 0;
    /// Pending parts whose servers are likely unresponsive. Matters only if it equals `pending`
    /// while the answered parts are enough.
    std::size_t unresponsive = 0;
    /// Minimum share of the parts that an answer must contain.
    double minCoverage = 1;
};

enum class answer_decision {
    Wait,
    Answer, ///< With the parts that have been answered.
    Fail,   ///< The minimum coverage can no longer be reached, or not by the deadline.
};

/// Decides whether to answer a query at \p now.
///
/// The value of an answer goes with the square of its coverage, while a late answer is worth only a
/// small part of a timely one. Until the end of the target it is therefore better to wait for a
/// missing part than to leave it out, and from then on better to leave it out. Pending parts that
/// are unlikely to be answered are not waited for.
answer_decision decideAnswer(const parts_state &parts, const request_times &times, time_point now);

/// Returns whether the answered parts reach the minimum coverage.
bool meetsMinCoverage(const parts_state &parts);

} // namespace peridotwheel

#endif
