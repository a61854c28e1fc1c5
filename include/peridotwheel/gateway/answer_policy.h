#ifndef PERIDOTWHEEL_GATEWAY_ANSWER_POLICY_H
#define PERIDOTWHEEL_GATEWAY_ANSWER_POLICY_H

#include "peridotwheel/support/units.h"

#include <cstddef>
#include <optional>

namespace peridotwheel {

/// Times of one request that its decisions depend on.
struct request_times
{
    time_point arrival;
    /// An answer after this time is late.
    time_point targetEnd;
    /// The caller waits no longer.
    time_point deadline;
};

/// One attempt on its way and its best alternative.
struct second_attempt_input
{
    time_point sentAt;
    /// Time that the work takes on a usual server.
    duration work{};
    /// Round trips to the present server and to the alternative.
    duration roundTrip{};
    duration alternativeRoundTrip{};
};

/// When a second attempt is sent, if the first has not answered by then.
///
/// Late enough that most first attempts have answered, since every extra attempt adds load; early
/// enough that the second one still arrives within the target. Past the target the same wait
/// applies: the answer is late, but callers prefer it to none.
time_point secondAttemptTime(const second_attempt_input &input, const request_times &times);

/// What is known about the parts of a query when the question comes up whether to answer.
struct parts_state
{
    std::size_t total = 0;
    std::size_t answered = 0;
    /// Parts that may still answer.
    std::size_t pending = 0;
    /// Of the open ones, those whose servers probably do not answer.
    std::size_t unresponsive = 0;
    /// Least share of the parts in an answer.
    double minCoverage = 1;
};

enum class answer_decision {
    Wait,
    Answer, ///< With the parts that are in.
    Fail,   ///< The least coverage can no longer be reached.
};

/// Whether to answer now.
///
/// The value of an answer falls with the square of its coverage, while a late one is worth a small
/// part: as long as the target can be met, waiting for a missing part beats leaving it out, and at
/// the target leaving it out beats waiting.
answer_decision decideAnswer(const parts_state &parts, const request_times &times, time_point now);

/// Whether the parts that are in suffice for an answer.
bool meetsMinCoverage(const parts_state &parts);

} // namespace peridotwheel

#endif
