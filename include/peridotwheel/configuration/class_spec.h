#ifndef PERIDOTWHEEL_CONFIGURATION_CLASS_SPEC_H
#define PERIDOTWHEEL_CONFIGURATION_CLASS_SPEC_H

#include "peridotwheel/support/ids.h"
#include "peridotwheel/support/units.h"

namespace peridotwheel {

/// The targets of one class of work, as an operator sets them.
struct class_spec
{
    class_name name;
    /// Time within which `quantile` of the answers must reach the caller.
    duration latencyTarget{};
    /// In (0, 1).
    double quantile = 0.99;
    /// Share of the shards that an answer must cover, in (0, 1].
    double coverageTarget = 1.0;
    class_rank rank;

    friend bool operator==(const class_spec &a, const class_spec &b)
    {
        return a.name == b.name && a.latencyTarget == b.latencyTarget && a.quantile == b.quantile &&
               a.coverageTarget == b.coverageTarget && a.rank == b.rank;
    }
};

} // namespace peridotwheel

#endif
