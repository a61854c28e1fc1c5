#ifndef PERIDOTWHEEL_LIMITS_CLASS_LOAD_H
#define PERIDOTWHEEL_LIMITS_CLASS_LOAD_H

#include "peridotwheel/support/units.h"

#include <cstdint>
#include <optional>

namespace peridotwheel {

/// Current load of one class, or of all classes together, on one instance.
struct class_load
{
    std::uint32_t queued = 0;
    std::uint32_t running = 0;
    duration estimatedWait{};
    /// The delay after which callers should retry. Set while requests are refused because of load.
    std::optional<duration> retryAfter;
};

} // namespace peridotwheel

#endif
