#ifndef PERIDOTWHEEL_LIB_GATEWAY_LINK_SHARE_H
#define PERIDOTWHEEL_LIB_GATEWAY_LINK_SHARE_H

#include "peridotwheel/support/units.h"

#include <cstddef>

namespace peridotwheel {

/// Bounds what an instance sends for one purpose to a share of its link's bandwidth.
class link_share
{
public:
    /// \p share is a fraction of \p link. At least \p burstBytes may be sent at once after a pause.
    link_share(byte_rate link, double share, std::size_t burstBytes, time_point now);

    /// Takes the bandwidth for \p bytes; returns false if there is none to spare now. What exceeds
    /// a burst is taken from the time that follows.
    bool take(std::size_t bytes, time_point now);

private:
    byte_rate m_rate;
    double m_burstBytes;
    double m_availableBytes;
    time_point m_availableAt;
};

} // namespace peridotwheel

#endif
