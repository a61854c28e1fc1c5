#ifndef PERIDOTWHEEL_PEER_VERSION_SOURCE_H
#define PERIDOTWHEEL_PEER_VERSION_SOURCE_H

#include <functional>

namespace peridotwheel {

/// Where a new version was learned from; decides to whom it is pushed.
enum class version_source { Platform, SameDataCentre, OtherDataCentre };

using adopted_hook = std::function<void(version_source)>;

} // namespace peridotwheel

#endif
