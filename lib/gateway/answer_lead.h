#ifndef PERIDOTWHEEL_LIB_GATEWAY_ANSWER_LEAD_H
#define PERIDOTWHEEL_LIB_GATEWAY_ANSWER_LEAD_H

#include "peridotwheel/support/units.h"

#include <algorithm>

namespace peridotwheel {

/// How much earlier than planned the answers of one route have to be given so that they leave this
/// instance by the planned time.
///
/// Answers the load on an instance whose processor share or link is small: the timer at the end of
/// the target fires late, merging the parts takes time, and so does sending the answer. Without the
/// lead all answers that wait until the target are late by this much.
class answer_lead
{
public:
    /// Records that an answer that was due at the end of its target had left \p delay later.
    void add(duration delay)
    {
        const duration difference = delay - m_lead;
        const int divisor = difference > duration::zero() ? riseDivisor : fallDivisor;
        m_lead = std::clamp(m_lead + difference / divisor, duration::zero(), maxLead);
    }

    duration lead() const { return m_lead; }

private:
    /// The lead follows long delays faster than short ones, so that it covers most of them.
    static constexpr int riseDivisor = 4;
    static constexpr int fallDivisor = 16;
    /// Longer delays are faults of the instance, and answering still earlier would cost coverage.
    static constexpr duration maxLead = milliseconds(40);

    duration m_lead{};
};

} // namespace peridotwheel

#endif
