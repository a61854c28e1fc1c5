#ifndef PERIDOTWHEEL_ROUTING_SERVER_STATS_H
#define PERIDOTWHEEL_ROUTING_SERVER_STATS_H

#include "peridotwheel/support/units.h"

#include <cstdint>

namespace peridotwheel {

/// Measurements of one instance about one server. The load and health that the server reports are
/// not used, since they lag behind.
class server_stats
{
public:
    /// \p prior is the latency assumed before the first reply.
    server_stats(duration prior, time_point now);

    void onSent(time_point now);
    void onReply(duration latency, time_point now);
    /// Records an error reply or a broken connection.
    void onFailure(time_point now);
    /// Records a reply that did no work, because the server is full or lacks the index version. The
    /// server is alive, but work is better sent to others for a while.
    void onShed(time_point now);
    /// Records a good reply whose latency is not known.
    void onUntimedReply(time_point now);
    /// Records that an attempt was abandoned without an answer, which by itself is no sign of a
    /// fault.
    void onAbandoned(time_point now);
    /// Records that this process was stopped for a while, so that the time without replies does not
    /// count as silence of the server.
    void onLocalStall(time_point now);

    /// Marks the server as suspect if attempts are in flight and none has been answered or has
    /// failed for \p silenceTimeout. Returns true if this made the server suspect.
    bool checkSilence(time_point now, duration silenceTimeout);
    /// Marks the server as suspect for a reason other than its replies.
    void markSuspect(time_point now) { becomeSuspect(now); }
    /// Returns true if the server is silent or failing. It gets only probes until it replies to
    /// one.
    bool suspect() const { return m_suspect; }
    duration suspectFor(time_point now) const { return now - m_suspectSince; }
    bool probeDue(time_point now) const { return m_suspect && now >= m_nextProbe; }
    void onProbe(time_point now);

    std::uint32_t inFlight() const { return m_inFlight; }
    /// Returns the number of replies since the server was first seen with its current start id.
    std::uint64_t replies() const { return m_replies; }
    /// Returns the average latency. Without recent samples it decays towards `baselineLatency`, so
    /// that a server that has been slow is tried again.
    duration expectedLatency(time_point now) const;
    /// Returns the average latency without overload: the minimum of the average, which rises slowly
    /// so that it follows lasting changes.
    duration baselineLatency() const { return duration(static_cast<duration::rep>(m_baselineUs)); }
    /// Returns the share of failures and shed replies among recent answers; decays over time.
    double errorRate(time_point now) const;
    /// Returns the time for which attempts have been in flight without any of them being answered
    /// or failing; zero if none is in flight.
    duration silentFor(time_point now) const;

private:
    void addError(time_point now);
    void becomeSuspect(time_point now);
    void recordCompletion(time_point now);

    double m_averageUs;
    double m_baselineUs;
    double m_errorRate = 0;
    std::uint64_t m_replies = 0;
    std::uint32_t m_inFlight = 0;
    std::uint32_t m_failuresInRow = 0;
    bool m_suspect = false;
    time_point m_lastSample;
    time_point m_lastError;
    time_point m_lastProgress;
    time_point m_suspectSince{};
    time_point m_nextProbe{};
    duration m_probeInterval{};
};

} // namespace peridotwheel

#endif
