#ifndef PERIDOTWHEEL_LIB_GATEWAY_ADMISSION_GATE_H
#define PERIDOTWHEEL_LIB_GATEWAY_ADMISSION_GATE_H

#include "peridotwheel/limits/admission_queue.h"
#include "peridotwheel/support/event_loop.h"
#include "peridotwheel/support/random_source.h"
#include "pressure_limiter.h"

#include <functional>
#include <map>
#include <unordered_map>

namespace peridotwheel {

/// Lets queries over one set of shards in, the most urgent ones first, as far as the shards keep
/// up, and refuses at once those that would not meet their target.
class admission_gate
{
public:
    struct waiting_query
    {
        /// Starts the query; false if it is not wanted any more.
        std::function<bool()> run;
        /// The query does not run; it may come again after this time.
        std::function<void(duration)> refuse;
    };

    admission_gate(event_loop &loop, std::uint64_t seed);
    admission_gate(const admission_gate &) = delete;
    admission_gate &operator=(const admission_gate &) = delete;
    ~admission_gate();

    void setClasses(const std::map<class_name, class_spec> &classes)
    {
        m_queue.setClasses(classes);
    }
    /// One of the hooks is called, now or later. \p targetEnd is the latest useful time of an
    /// answer.
    void offer(class_rank rank, time_point targetEnd, waiting_query query);
    /// A query that ran has ended after \p took under \p pressure.
    void onEnded(class_rank rank, duration took, double pressure);
    /// A query ended without telling anything about the servers.
    void onAbandoned();

    std::uint32_t running() const { return m_running; }
    std::uint32_t limit() const { return m_limiter.limit(); }
    std::size_t waiting() const { return m_waiting.size(); }

private:
    slot_state slots(class_rank rank) const;
    void dispatch();
    void refuse(admission_queue::ticket ticket);
    void expireLater();

    struct entry
    {
        class_rank rank;
        waiting_query query;
    };

    event_loop &m_loop;
    random_source m_random;
    admission_queue m_queue;
    pressure_limiter m_limiter;
    std::unordered_map<admission_queue::ticket, entry> m_waiting;
    /// Smoothed time from start to end by rank.
    std::map<class_rank, duration> m_serviceTime;
    duration m_slotTime{};
    std::uint32_t m_running = 0;
    timer m_expiry;
};

} // namespace peridotwheel

#endif
