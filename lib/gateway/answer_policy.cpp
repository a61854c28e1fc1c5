#include "peridotwheel/gateway/answer_policy.h"

#include <algorithm>

namespace peridotwheel {

namespace {

/// Multiple of the typical service time after which an attempt counts as delayed.
constexpr double delayedWorkFactor = 2.5;
/// Minimum wait before a second attempt; shorter delays are caused by process scheduling.
constexpr duration minWait = milliseconds(12);
constexpr duration schedulingSlack = milliseconds(6);
/// Multiple of the typical service time that is reserved for the alternative before the target.
constexpr double alternativeWorkFactor = 1.5;
/// Absorbs rounding errors of shares such as 0.89 of 9 parts.
constexpr double shareTolerance = 1e-9;

} // namespace

time_point secondAttemptTime(const second_attempt_input &input, const request_times &times)
{
    const duration delayedAfter =
            input.roundTrip +
            std::max(scaled(input.work, delayedWorkFactor) + schedulingSlack, minWait);
    const time_point delayed = input.sentAt + delayedAfter;
    const time_point latestUseful = times.targetEnd - input.alternativeRoundTrip -
                                    scaled(input.work, alternativeWorkFactor) - schedulingSlack;
    const time_point earliest = input.sentAt + input.roundTrip + minWait;
    if (latestUseful <= earliest) {
        const bool isInTime = earliest + input.alternativeRoundTrip + input.work <= times.targetEnd;
        return isInTime && !input.isAlternativeSlow ? std::min(delayed, earliest) : delayed;
    }
    return std::min(delayed, latestUseful);
}

bool meetsMinCoverage(const parts_state &parts)
{
    if (parts.answered == 0 || parts.total == 0)
        return false;
    const double share = static_cast<double>(parts.answered) / static_cast<double>(parts.total);
    return share + shareTolerance >= parts.minCoverage;
}

answer_decision decideAnswer(const parts_state &parts, const request_times &times, time_point now)
{
    const bool enough = meetsMinCoverage(parts);
    if (parts.pending == 0)
        return enough ? answer_decision::Answer : answer_decision::Fail;
    parts_state best = parts;
    best.answered += parts.pending;
    if (!meetsMinCoverage(best))
        return answer_decision::Fail;
    if (!enough)
        return now >= times.deadline ? answer_decision::Fail : answer_decision::Wait;
    if (now >= times.targetEnd)
        return answer_decision::Answer;
    // If all pending parts are unlikely to be answered, there is nothing to wait for.
    return parts.pending == parts.unresponsive ? answer_decision::Answer : answer_decision::Wait;
}

} // namespace peridotwheel
