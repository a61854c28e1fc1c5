#ifndef PERIDOTWHEEL_QUERY_GROUP_PROGRESS_H
#define PERIDOTWHEEL_QUERY_GROUP_PROGRESS_H

#include "peridotwheel/support/units.h"

#include <algorithm>
#include <cstddef>
#include <optional>
#include <vector>

namespace peridotwheel {

/// How far the shards have come that are asked together.
struct group_progress
{
    unsigned outstanding = 0;
    bool done = false;
    /// May have run and must not be sent again.
    bool outcomeUnknown = false;
    std::optional<time_point> hedgeAt;
    std::optional<time_point> retryAt;

    /// An answer may still come.
    bool isOpen() const { return !done && (outstanding > 0 || retryAt); }
};

/// When the query has to look at its groups again, at \p last at the latest.
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

/// The groups whose pause before another try is over; they are not due again.
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
