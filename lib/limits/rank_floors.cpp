#include "peridotwheel/limits/rank_floors.h"

#include <algorithm>
#include <cmath>

namespace peridotwheel {

std::map<class_rank, double> rankFloors(const std::map<class_name, class_spec> &classes)
{
    std::map<class_rank, double> floors;
    double total = 0;
    for (const auto &[name, spec] : classes) {
        const auto target = std::max<duration::rep>(spec.latencyTarget.count(), 1);
        const double weight = 1.0 / std::sqrt(static_cast<double>(target));
        floors[spec.rank] += weight;
        total += weight;
    }
    for (auto &[rank, floor] : floors)
        floor *= reservedShare / total;
    return floors;
}

} // namespace peridotwheel
