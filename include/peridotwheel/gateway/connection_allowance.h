#ifndef PERIDOTWHEEL_GATEWAY_CONNECTION_ALLOWANCE_H
#define PERIDOTWHEEL_GATEWAY_CONNECTION_ALLOWANCE_H

#include "peridotwheel/support/units.h"

namespace peridotwheel {

/// Bounds the time for which an instance without a share of a server's connections holds one that
/// it opens for single attempts.
///
/// Answers a fleet with more instances than a server accepts connections: most connections are idle
/// at any moment, so that some of them can be open to all instances for the length of an attempt.
/// Each instance gets an equal part of their time, so that on average no more of them are in use
/// than there are, without any communication. Time is saved up for a short while only, and not
/// across a restart, since all instances may need the server at the same moment.
class connection_allowance
{
public:
    /// Sets the number of connections that this instance may hold on average, a fraction of one.
    void setPart(double connections, time_point now);
    /// Returns whether a part of \p connections is ever enough for an attempt.
    static bool isEnough(double connections)
    {
        return scaled(savingPeriod, connections) >= leastTime;
    }
    /// Returns whether a connection may be opened, provided that none is open.
    bool mayOpen(time_point now) const { return available(now) >= leastTime; }
    /// Records that a connection was closed after it had been held for \p held.
    void onClosed(duration held, time_point now);

private:
    /// Time for which an attempt holds a connection between regions, its opening included.
    static constexpr duration leastTime = milliseconds(100);
    /// Time over which an unused part is saved up.
    static constexpr duration savingPeriod = seconds(10);

    duration available(time_point now) const;

    double m_part = 0;
    /// Time that a connection may be held, as of `m_availableAt`; negative after a long attempt.
    duration m_available{};
    time_point m_availableAt{};
};

} // namespace peridotwheel

#endif
