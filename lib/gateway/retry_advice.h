#ifndef PERIDOTWHEEL_LIB_GATEWAY_RETRY_ADVICE_H
#define PERIDOTWHEEL_LIB_GATEWAY_RETRY_ADVICE_H

#include "peridotwheel/support/units.h"

#include <algorithm>

namespace peridotwheel {

/// When callers had better come back whose requests one service did not take.
///
/// Answers the load of floods at single services and of outages of all servers of one: after a
/// single rejection the next server is free soon, while those who come back early to a service that
/// rejects most requests are rejected again.
class retry_advice
{
public:
    void onAccepted() { add(0); }
    void onRejected() { add(1); }
    /// \p chance is uniform in [0, 1) and spreads the callers.
    duration retryDelay(double chance) const
    {
        const double stretch = 1 + (maxStretch - 1) * m_rejectedShare;
        return scaled(minDelay, stretch * (1 + jitter * chance));
    }

private:
    /// Suspects are checked several times a second, and a full queue is worked off as quickly.
    static constexpr duration minDelay = milliseconds(400);
    /// Stretches the advice to two seconds while all requests are rejected; floods last for
    /// seconds.
    static constexpr double maxStretch = 5;
    static constexpr double jitter = 0.5;
    /// Weight of the last request: about twenty are remembered.
    static constexpr double sampleWeight = 0.05;

    void add(double rejected) { m_rejectedShare += sampleWeight * (rejected - m_rejectedShare); }

    double m_rejectedShare = 0;
};

} // namespace peridotwheel

#endif
