#ifndef PERIDOTWHEEL_LIMITS_RETRY_BUDGET_H
#define PERIDOTWHEEL_LIMITS_RETRY_BUDGET_H

#include "peridotwheel/support/units.h"

#include <cstdint>

namespace peridotwheel {

/// Bounds extra attempts to a fraction of the recent first attempts plus a burst. The counts of
/// both kinds of attempts decay with a half-life of 5 s.
class retry_budget
{
public:
    /// Allows \p fraction of the recent first attempts, plus \p burst.
    retry_budget(double fraction, double burst, time_point now);

    void onFirstAttempts(std::uint32_t count, time_point now);
    /// Takes a token for one extra attempt. Returns false if the budget is exhausted.
    bool tryTake(time_point now);
    /// Sets the ratio of the current latency over all services to the baseline latency; 1 is
    /// normal. When everything is slow, extra attempts only add to the load, so the budget shrinks
    /// above `toleratedSlowdown`.
    void setSlowdown(double ratio) { m_slowdown = ratio; }

    static constexpr double toleratedSlowdown = 2.0;

private:
    void decay(time_point now);

    double m_fraction;
    double m_burst;
    double m_firstAttempts = 0;
    double m_extraAttempts = 0;
    double m_slowdown = 1;
    time_point m_decayedAt;
};

} // namespace peridotwheel

#endif
