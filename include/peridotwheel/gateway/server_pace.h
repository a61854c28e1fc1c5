#ifndef PERIDOTWHEEL_GATEWAY_SERVER_PACE_H
#define PERIDOTWHEEL_GATEWAY_SERVER_PACE_H

#include "peridotwheel/gateway/server_report.h"
#include "peridotwheel/support/units.h"

#include <optional>

namespace peridotwheel {

/// The share of its usual first attempts that a new or recovered server gets from this instance.
///
/// Designed for servers that are several times slower than usual for up to 10 s after they begin,
/// and for 7 to 300 instances that begin at once: an instance gets from many replies a second to
/// one in several seconds, so the share rises with time, and falls by own replies and hints.
class server_pace
{
public:
    /// Share at the beginning of a pace, and its lower bound.
    static constexpr double leastShare = 0.1;
    /// Share at the beginning for a server that has lost little, such as after a short silence.
    static constexpr double shortAbsenceShare = 0.5;

    /// Begins a pace with \p share, or lowers the present share to it. The failures in \p hint
    /// were measured before; they do not count until a hint without failures has ended them.
    void begin(double share, const server_hint &hint, time_point now);
    /// Returns whether a pace has begun and has not ended; the share is 1 otherwise.
    bool isActive() const { return m_isActive; }
    /// Returns the share, from `leastShare` to 1.
    double share(time_point now) const;
    /// Records a reply that kept its time.
    void onReplyInTime(time_point now);
    /// Records a sign of a queue: a slow reply, a rejection, or a failed attempt.
    void onTrouble(time_point now);
    /// Records what other instances measured.
    void onHint(const server_hint &hint, time_point now);
    /// Ends a pace that has stayed at the full share for a while. Returns whether it ended now.
    bool endIfSteady(time_point now);

private:
    void lower(time_point now, duration pause);
    /// Fixes the share reached by \p now, and pauses its rise until \p resumeAt.
    void restart(double share, time_point now, time_point resumeAt);

    bool m_isActive = false;
    /// Share at `m_risesFrom`, the time from which it rises.
    double m_share = 1;
    /// Whether the last reply to this instance, if any, kept its time.
    bool m_isConfirmed = false;
    time_point m_risesFrom{};
    std::optional<time_point> m_loweredAt;
    bool m_areFailuresOld = false;
    /// Until then other instances' measurements speak against a rise.
    time_point m_hintedUntil{};
};

} // namespace peridotwheel

#endif
