#ifndef PERIDOTWHEEL_LIMITS_CONCURRENCY_LIMITER_H
#define PERIDOTWHEEL_LIMITS_CONCURRENCY_LIMITER_H

#include "peridotwheel/support/units.h"

#include <cstdint>

namespace peridotwheel {

/// Limits the attempts that one server has at once from this instance. The limit shrinks by a
/// factor on shed replies and on latencies that show queueing, and grows by one step per limit of
/// good replies while it is used.
class concurrency_limiter
{
public:
    /// \p start is 1 for a cold server and the share otherwise.
    explicit concurrency_limiter(std::uint32_t start);

    void setMaximum(std::uint32_t maximum);
    void onShed(time_point now);
    /// A good reply, with the average latency so far. \p queueingThreshold is the average above
    /// which the server is considered to queue.
    void onReply(duration average, duration queueingThreshold, std::uint32_t inFlight,
                 time_point now);
    /// At least 1 unless the maximum is 0.
    std::uint32_t limit() const;

private:
    void shrink(double factor, time_point now);

    double m_limit;
    double m_maximum;
    time_point m_nextShrink{};
};

} // namespace peridotwheel

#endif
