#ifndef PERIDOTWHEEL_LIMITS_ADMISSION_CONTROLLER_H
#define PERIDOTWHEEL_LIMITS_ADMISSION_CONTROLLER_H

#include "peridotwheel/counters/counter_set.h"
#include "peridotwheel/limits/admission_queue.h"
#include "peridotwheel/limits/class_load.h"
#include "peridotwheel/query/query_executor.h"
#include "peridotwheel/state/blackboard.h"
#include "peridotwheel/support/event_loop.h"
#include "peridotwheel/support/random_source.h"
#include "peridotwheel/timeline/timeline_event.h"

#include <functional>
#include <map>
#include <memory>
#include <unordered_map>

namespace peridotwheel {

struct admission_hooks
{
    /// Returns the number of queries that may run at once. Values below 1 count as 1.
    std::function<std::uint32_t()> concurrencyLimit;
    /// Returns the expected time from the start of a query to its answer. If the hook is empty, a
    /// moving average of the times measured here is used.
    std::function<duration()> expectedServiceTime;
    /// Returns the number of slots in use. A query that waits for its last few shards takes less
    /// than one slot, so the number of running queries would overstate the load. If the hook is
    /// empty or returns no value, running queries are counted.
    std::function<std::optional<std::uint32_t>()> slotsInUse;
    /// Returns the mean time for which a query holds a slot.
    std::function<duration()> slotTime;
};

/// Admission control in front of another executor, by means of an `admission_queue`: limits the
/// queries that run at once and refuses those that cannot meet their target before any work is done
/// for them.
class admission_controller : public query_executor
{
public:
    /// \p seed must differ between instances, so that their refusals and retry delays are not
    /// synchronised.
    admission_controller(event_loop &loop, blackboard &board, query_executor &inner,
                         admission_hooks hooks, counter_set &counters, event_sink events,
                         std::uint64_t seed, admission_queue::options options);
    ~admission_controller() override;

    void run(query_request request, answer_hook done) override;
    /// Starts queued queries. Must be called when `slotsInUse` has fallen.
    void onSlotFree() { dispatchQueued(); }

    /// Returns the load of one class. Its `retryAfter` is set for one second after a refusal.
    class_load loadOf(const class_name &name) const;
    /// Returns the load of all classes together.
    class_load totalLoad() const;

    std::size_t queued() const { return m_queue.size(); }
    std::size_t running() const { return m_running; }

private:
    using ticket = admission_queue::ticket;

    struct waiting_query
    {
        query_request request;
        answer_hook done;
    };

    struct class_state
    {
        std::uint32_t queued = 0;
        std::uint32_t running = 0;
        time_point refusedAt{};
        duration retryAfter{};
        /// Moving average of the time from start to answer. It is kept for each class, since a
        /// straggler that is hedged for an urgent class may be waited for in another.
        duration serviceTime{};
    };

    void adoptClasses(const configuration_document &document);
    slot_state currentSlotState();
    /// Returns the slot state with the measured service time of class \p name, if there is one.
    slot_state slotStateFor(const class_name &name);
    std::uint32_t busySlots() const;
    bool hasFreeSlot();
    void updateServiceTime();
    void smoothServiceTime(duration measured, double weight);
    void dispatchQueued();
    void start(waiting_query query);
    void finish(const class_name &name, time_point started, const answer_hook &done,
                query_answer answer);
    waiting_query removeWaiting(ticket id);
    void refuse(const query_request &request, answer_hook done, const std::string &reason);
    void scheduleExpiry();
    void report(event_kind kind, const query_request &request, const std::string &text);
    static void addRetryAfter(class_load &load, const class_state &state, time_point now);

    event_loop &m_loop;
    blackboard &m_board;
    query_executor &m_inner;
    admission_hooks m_hooks;
    event_sink m_events;
    random_source m_random;
    admission_queue m_queue;
    std::unordered_map<ticket, waiting_query> m_waiting;
    std::map<class_name, class_state> m_classes;
    std::uint32_t m_running = 0;
    slot_state m_slots;
    duration m_smoothingTimeConstant;
    time_point m_serviceTimeAt{};
    timer m_expiry;
    std::optional<time_point> m_expiryAt;
    counter &m_admitted;
    counter &m_refusedTarget;
    counter &m_refusedFull;
    counter &m_refusedAtFront;
    counter &m_displaced;
    counter &m_queuedGauge;
    counter &m_runningGauge;
    subscription m_configuration;
    // Expires with the controller, so that late answers of the inner executor do not access it.
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

} // namespace peridotwheel

#endif
