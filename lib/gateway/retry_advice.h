#ifndef PERIDOTWHEEL_LIB_GATEWAY_RETRY_ADVICE_H
#define PERIDOTWHEEL_LIB_GATEWAY_RETRY_ADVICE_H

#include "peridotwheel/support/units.h"

#include <algorithm>

namespace peridotwheel {

/// Computes the retry delay for callers whose requests one service rejected.
///
/// Covers overloads of single services and outages of all servers of a service: after a single
/// rejection another server is free soon, while callers that retry early at a service that rejects
/// most requests are rejected again. The delay therefore grows with the share of rejections.
class retry_advice
{
public:
    void onAccepted() { add(0); }
    void onRejected() { add(1); }
    /// Returns the delay; \p chance is uniform in [0, 1) and adds jitter.
    duration retryDelay(double chance) const
    {
        const double stretch = 1 + (maxStretch - 1) * m_rejectedShare;
        return scaled(minDelay, stretch * (1 + jitter * chance));
    }

private:
    /// Delay without rejections. Suspected servers are checked several times a second, and a full
    /// queue drains as quickly.
    static constexpr duration minDelay = milliseconds(400);
    /// Factor of the delay while all requests are rejected, which makes it two seconds; overloads
    /// last for seconds.
    static constexpr double maxStretch = 5;
    static constexpr double jitter = 0.5;
    /// Weight of the last request in the exponential moving average, which covers about twenty
    /// requests.
    static constexpr double sampleWeight = 0.05;

    void add(double rejected) { m_rejectedShare += sampleWeight * (rejected - m_rejectedShare); }

    double m_rejectedShare = 0;
};

} // namespace peridotwheel

#endif
