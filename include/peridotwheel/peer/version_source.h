#ifndef PERIDOTWHEEL_PEER_VERSION_SOURCE_H
#define PERIDOTWHEEL_PEER_VERSION_SOURCE_H

#include <functional>

namespace peridotwheel {

/// The source of a new version, which determines the instances that it is pushed to.
enum class version_source { Platform, SameDataCentre, OtherDataCentre };

using adopted_hook = std::function<void(version_source)>;

} // namespace peridotwheel

#endif
