#ifndef PERIDOTWHEEL_LIB_GATEWAY_VIEW_WATCH_OPTIONS_H
#define PERIDOTWHEEL_LIB_GATEWAY_VIEW_WATCH_OPTIONS_H

#include "peridotwheel/platform/object_watcher.h"

namespace peridotwheel {

/// Returns the options of a watch whose changes must be applied within \p applyWithin.
object_watcher_options viewWatchOptions(duration applyWithin);

} // namespace peridotwheel

#endif
