#ifndef PERIDOTWHEEL_LIMITS_CONCURRENCY_LIMITER_H
#define PERIDOTWHEEL_LIMITS_CONCURRENCY_LIMITER_H

#include "peridotwheel/support/units.h"

#include <cstdint>

namespace peridotwheel {

/// Adaptive limit on the attempts that this instance has in flight to one server, with additive
/// increase and multiplicative decrease. Shed replies and latencies that indicate queueing on the
/// server shrink the limit by a factor. While the limit is reached, it grows by about one per
/// `limit` good replies.
class concurrency_limiter
{
public:
    /// \p start is 1 for a cold server and the connection share otherwise.
    explicit concurrency_limiter(std::uint32_t start);

    void setMaximum(std::uint32_t maximum);
    void onShed(time_point now);
    /// Records a good reply. If \p average, the average latency so far, exceeds
    /// \p queueingThreshold, the server is considered to queue requests.
    void onReply(duration average, duration queueingThreshold, std::uint32_t inFlight,
                 time_point now);
    /// Returns the current limit, which is at least 1 unless the maximum is 0.
    std::uint32_t limit() const;

private:
    void shrink(double factor, time_point now);

    double m_limit;
    double m_maximum;
    time_point m_nextShrink{};
};

} // namespace peridotwheel

#endif
