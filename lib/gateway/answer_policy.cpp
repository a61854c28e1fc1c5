#include "peridotwheel/gateway/answer_policy.h"

#include <algorithm>

namespace peridotwheel {

namespace {

/// Multiple of the usual work after which an attempt counts as delayed.
constexpr double delayedWork = 2.5;
/// Least wait for a second attempt; shorter delays are scheduling.
constexpr duration minWait = milliseconds(12);
constexpr duration schedulingSlack = milliseconds(6);
/// The alternative gets this multiple of the usual work before the target.
constexpr double alternativeWork = 1.5;
/// Rounding of shares such as 0.89 of 9 parts.
constexpr double shareTolerance = 1e-9;

} // namespace

time_point secondAttemptTime(const second_attempt_input &input, const request_times &limits)
{
    const duration usual =
            input.distance + std::max(scaled(input.work, delayedWork) + schedulingSlack, minWait);
    const time_point delayed = input.sentAt + usual;
    const time_point latestUseful = limits.targetEnd - input.alternativeDistance -
                                    scaled(input.work, alternativeWork) - schedulingSlack;
    const time_point earliest = input.sentAt + input.distance + minWait;
    if (latestUseful <= earliest)
        return delayed;
    return std::min(delayed, latestUseful);
}

bool coversEnough(const parts_state &parts)
{
    if (parts.answered == 0 || parts.total == 0)
        return false;
    const double share = static_cast<double>(parts.answered) / static_cast<double>(parts.total);
    return share + shareTolerance >= parts.minCoverage;
}

answer_decision decideAnswer(const parts_state &parts, const request_times &limits, time_point now)
{
    const bool enough = coversEnough(parts);
    if (parts.open == 0)
        return enough ? answer_decision::Answer : answer_decision::Fail;
    parts_state best = parts;
    best.answered += parts.open;
    if (!coversEnough(best))
        return answer_decision::Fail;
    if (!enough)
        return now >= limits.deadline ? answer_decision::Fail : answer_decision::Wait;
    if (now >= limits.targetEnd)
        return answer_decision::Answer;
    // Nothing that is likely to come is missing.
    return parts.open == parts.doubtful ? answer_decision::Answer : answer_decision::Wait;
}

} // namespace peridotwheel
