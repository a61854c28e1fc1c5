#ifndef PERIDOTWHEEL_GATEWAY_EVACUATION_LIST_H
#define PERIDOTWHEEL_GATEWAY_EVACUATION_LIST_H

#include "peridotwheel/support/ids.h"

#include <set>

namespace peridotwheel {

/// The data centres whose servers get no requests at present.
struct evacuation_list
{
    /// Revision of the store at which the list was read.
    object_version revision;
    std::set<data_centre_id> dataCentres;
};

} // namespace peridotwheel

#endif
