#ifndef PERIDOTWHEEL_LIMITS_RANK_FLOORS_H
#define PERIDOTWHEEL_LIMITS_RANK_FLOORS_H

#include "peridotwheel/configuration/class_spec.h"

#include <map>

namespace peridotwheel {

/// Share of the capacity that is reserved for the floors of the ranks; the rest is assigned in
/// strict rank order.
constexpr double reservedShare = 0.5;

/// Returns the floor of each rank as a share of the capacity: half of the normalised weights of its
/// classes, where the weight of a class is 1/sqrt(latency target).
std::map<class_rank, double> rankFloors(const std::map<class_name, class_spec> &classes);

} // namespace peridotwheel

#endif
