#include "experiment_list.h"

#include <algorithm>

namespace peridotwheel {

const std::vector<experiment> &experiments()
{
    static const std::vector<experiment> all = [] {
        std::vector<experiment> list;
        addLoadExperiments(list);
        addFaultExperiments(list);
        addClaimExperiments(list);
        addControlExperiments(list);
        addThroughputExperiment(list);
        addRelayExperiment(list);
        return list;
    }();
    return all;
}

const experiment *findExperiment(const std::string &name)
{
    const auto &all = experiments();
    const auto it = std::find_if(all.begin(), all.end(),
                                 [&](const experiment &e) { return e.name == name; });
    return it == all.end() ? nullptr : &*it;
}

} // namespace peridotwheel
