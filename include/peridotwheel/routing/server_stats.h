#ifndef PERIDOTWHEEL_ROUTING_SERVER_STATS_H
#define PERIDOTWHEEL_ROUTING_SERVER_STATS_H

#include "peridotwheel/support/units.h"

#include <cstdint>

namespace peridotwheel {

/// What one instance measured about one server. Reported load and health play no part: they lag.
class server_stats
{
public:
    /// \p prior is the latency assumed before the first reply.
    server_stats(duration prior, time_point now);

    void onSent(time_point now);
    void onReply(duration latency, time_point now);
    /// An error reply or a broken connection.
    void onFailure(time_point now);
    /// A reply that did no work, because the server is full or lacks the index version: it is
    /// alive, but work is better sent elsewhere for a while.
    void onShed(time_point now);
    /// A good reply whose latency is not known.
    void onUntimedReply(time_point now);
    /// The attempt was given up without an answer; says nothing by itself.
    void onAbandoned(time_point now);
    /// This process was stopped for a while: the silence of the server is not its own.
    void onLocalStall(time_point now);

    /// Marks the server as suspect if attempts are outstanding and nothing came back for
    /// \p silenceTimeout. Returns true on the change to suspect.
    bool checkSilence(time_point now, duration silenceTimeout);
    /// The server is suspected for a reason other than its replies.
    void markSuspect(time_point now) { becomeSuspect(now); }
    /// Silent or failing: gets probes only, until it answers one.
    bool suspect() const { return m_suspect; }
    duration suspectFor(time_point now) const { return now - m_suspectSince; }
    bool probeDue(time_point now) const { return m_suspect && now >= m_nextProbe; }
    void onProbe(time_point now);

    std::uint32_t inFlight() const { return m_inFlight; }
    /// Replies since the server was first seen with its present start id.
    std::uint64_t replies() const { return m_replies; }
    /// Average latency; without fresh samples it falls back towards `baselineLatency`, so that a
    /// server that has been slow is tried again.
    duration expectedLatency(time_point now) const;
    /// Average latency in good times.
    duration baselineLatency() const { return duration(static_cast<duration::rep>(m_baselineUs)); }
    /// Share of failures and shed replies among recent answers, fading with time.
    double errorRate(time_point now) const;
    /// Time since the last sign of life while attempts are outstanding.
    duration silentFor(time_point now) const;

private:
    void addError(time_point now);
    void becomeSuspect(time_point now);
    void recordCompletion(time_point now);

    double m_averageUs;  // microseconds
    double m_baselineUs; // microseconds
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
