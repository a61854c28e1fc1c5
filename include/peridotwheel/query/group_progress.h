#ifndef PERIDOTWHEEL_QUERY_GROUP_PROGRESS_H
#define PERIDOTWHEEL_QUERY_GROUP_PROGRESS_H

#include "peridotwheel/support/units.h"

#include <algorithm>
#include <cstddef>
#include <optional>
#include <vector>

namespace peridotwheel {

/// Progress of a group of shards that are asked together.
struct group_progress
{
    unsigned outstanding = 0;
    bool done = false;
    /// An attempt may have run, and the request must not be sent again.
    bool outcomeUnknown = false;
    std::optional<time_point> hedgeAt;
    std::optional<time_point> retryAt;

    /// Returns whether an attempt is outstanding or a retry is scheduled.
    bool isOpen() const { return !done && (outstanding > 0 || retryAt); }
};

/// Returns the earliest time, up to \p last, at which a hedge or a retry of one of \p groups is
/// due.
template <class Group>
time_point nextWakeTime(const std::vector<Group> &groups, time_point last)
{
    for (const group_progress &g : groups) {
        if (g.done)
            continue;
        last = std::min({last, g.hedgeAt.value_or(last), g.retryAt.value_or(last)});
    }
    return last;
}

/// Returns the indices of the groups whose scheduled retry is due, and clears their retry times.
template <class Group>
std::vector<std::size_t> takeDueRetries(std::vector<Group> &groups, time_point now)
{
    std::vector<std::size_t> due;
    for (std::size_t i = 0; i < groups.size(); ++i) {
        group_progress &g = groups[i];
        if (g.done || !g.retryAt || now < *g.retryAt)
            continue;
        g.retryAt.reset();
        due.push_back(i);
    }
    return due;
}

} // namespace peridotwheel

#endif
