#include "peridotwheel/limits/admission_controller.h"

#include <algorithm>
#include <cmath>

namespace peridotwheel {

namespace {

/// Bounds the queries that run at once when most of them wait for single shards and take only a
/// fraction of a slot each.
constexpr std::uint32_t maxQueriesPerSlot = 16;
/// Time constant of the averaged service time. It is jittered per instance, so that instances which
/// query the same servers do not change their estimates in step.
constexpr duration smoothingTimeConstant = milliseconds(200);
constexpr double smoothingJitter = 0.5;
/// Weight of one measured service time in the moving average of its class and, if no hook supplies
/// an estimate, in that of all queries.
constexpr double measurementWeight = 0.1;
/// A class is reported as refusing for this long after its last refusal.
constexpr duration refusalRetention = seconds(1);
/// Minimum delay of an expiry check. A refusal that is this much later still leaves the caller time
/// to act.
constexpr duration minExpiryDelay = milliseconds(2);

query_answer notRunAnswer(answer_kind kind, duration retryAfter, std::string detail)
{
    query_answer answer;
    answer.kind = kind;
    answer.ran = ran_state::No;
    answer.retryAfter = retryAfter;
    answer.detail = std::move(detail);
    return answer;
}

std::string formatMilliseconds(duration d)
{
    return std::to_string(std::chrono::duration_cast<milliseconds>(d).count()) + " ms";
}

duration scaledBy(duration d, double factor)
{
    return duration(std::llround(static_cast<double>(d.count()) * factor));
}

} // namespace

admission_controller::admission_controller(event_loop &loop, blackboard &board,
                                           query_executor &inner, admission_hooks hooks,
                                           counter_set &counters, event_sink events,
                                           std::uint64_t seed, admission_queue::options options)
    : m_loop(loop)
    , m_board(board)
    , m_inner(inner)
    , m_hooks(std::move(hooks))
    , m_events(std::move(events))
    , m_random(seed)
    , m_queue(options)
    , m_smoothingTimeConstant(fromMilliseconds(toMilliseconds(smoothingTimeConstant) *
                                               (1 + smoothingJitter * m_random.fraction())))
    , m_admitted(counters.at("admission.admitted"))
    , m_refusedTarget(counters.at("admission.refused-target"))
    , m_refusedFull(counters.at("admission.refused-full"))
    , m_refusedAtFront(counters.at("admission.refused-at-front"))
    , m_displaced(counters.at("admission.displaced"))
    , m_queuedGauge(counters.at("admission.queued"))
    , m_runningGauge(counters.at("admission.running"))
{
    adoptClasses(board.configuration.value());
    m_configuration = board.configuration.subscribe(
            [this](const auto &document) { adoptClasses(*document); });
}

admission_controller::~admission_controller() = default;

void admission_controller::adoptClasses(const configuration_document &document)
{
    m_queue.setClasses(document.classes);
    for (auto it = m_classes.begin(); it != m_classes.end();) {
        const class_state &state = it->second;
        const bool idle = state.queued == 0 && state.running == 0;
        const bool removable = idle && document.classes.count(it->first) == 0;
        it = removable ? m_classes.erase(it) : std::next(it);
    }
}

slot_state admission_controller::currentSlotState()
{
    updateServiceTime();
    m_slots.running = busySlots();
    m_slots.limit = std::max<std::uint32_t>(m_hooks.concurrencyLimit(), 1);
    if (m_hooks.slotTime)
        m_slots.slotTime = m_hooks.slotTime();
    return m_slots;
}

slot_state admission_controller::slotStateFor(const class_name &name)
{
    slot_state s = currentSlotState();
    const auto it = m_classes.find(name);
    if (it != m_classes.end() && it->second.serviceTime > duration())
        s.serviceTime = it->second.serviceTime;
    return s;
}

std::uint32_t admission_controller::busySlots() const
{
    const auto inUse = m_hooks.slotsInUse ? m_hooks.slotsInUse() : std::nullopt;
    return inUse.value_or(m_running);
}

bool admission_controller::hasFreeSlot()
{
    const slot_state s = currentSlotState();
    return s.running < s.limit && m_running < maxQueriesPerSlot * s.limit;
}

void admission_controller::updateServiceTime()
{
    if (!m_hooks.expectedServiceTime)
        return;
    const time_point now = m_loop.now();
    const auto age = static_cast<double>((now - m_serviceTimeAt).count());
    const bool first = m_serviceTimeAt == time_point();
    const double weight =
            first ? 1 : 1 - std::exp(-age / static_cast<double>(m_smoothingTimeConstant.count()));
    m_serviceTimeAt = now;
    smoothServiceTime(m_hooks.expectedServiceTime(), weight);
}

void admission_controller::smoothServiceTime(duration measured, double weight)
{
    m_slots.serviceTime += scaledBy(measured - m_slots.serviceTime, weight);
}

void admission_controller::run(query_request request, answer_hook done)
{
    const time_point now = m_loop.now();
    const auto offered = m_queue.offer(request.spec.rank, request.deadline, now,
                                       slotStateFor(request.spec.name), m_random.fraction());
    if (offered.displaced) {
        m_displaced.add();
        auto victim = removeWaiting(*offered.displaced);
        refuse(victim.request, std::move(victim.done),
               "displaced from the full queue by another request");
    }
    switch (offered.reason) {
    case refusal_reason::DeadlinePassed:
        m_loop.post([done = std::move(done)] {
            done(notRunAnswer(answer_kind::Expired, seconds(1),
                              "not run: the deadline had passed before the request was queued; "
                              "allow more time"));
        });
        return;
    case refusal_reason::TargetUnreachable:
        m_refusedTarget.add();
        refuse(request, std::move(done),
               "expected wait " + formatMilliseconds(offered.estimatedWait) + " and service time " +
                       formatMilliseconds(m_slots.serviceTime) + " exceed the remaining " +
                       formatMilliseconds(request.deadline - now));
        return;
    case refusal_reason::QueueFull:
        m_refusedFull.add();
        refuse(request, std::move(done),
               "the queue is full of requests at least as urgent as this one");
        return;
    case refusal_reason::None:
        break;
    }
    ++m_classes[request.spec.name].queued;
    m_waiting.emplace(offered.id, waiting_query{std::move(request), std::move(done)});
    dispatchQueued();
}

void admission_controller::dispatchQueued()
{
    while (hasFreeSlot()) {
        const auto taken = m_queue.take(m_loop.now());
        for (const ticket id : taken.refused) {
            m_refusedAtFront.add();
            auto late = removeWaiting(id);
            refuse(late.request, std::move(late.done),
                   "too little time remained when the request reached the front of the queue");
        }
        if (!taken.run)
            break;
        start(removeWaiting(*taken.run));
    }
    m_queuedGauge.set(m_queue.size());
    m_runningGauge.set(m_running);
    scheduleExpiry();
}

void admission_controller::start(waiting_query query)
{
    ++m_running;
    ++m_classes[query.request.spec.name].running;
    m_admitted.add();
    report(event_kind::Admission, query.request, "admitted");
    const class_name name = query.request.spec.name;
    m_inner.run(std::move(query.request),
                [this, alive = std::weak_ptr<int>(m_alive), name, started = m_loop.now(),
                 done = std::move(query.done)](query_answer answer) {
                    if (alive.expired())
                        return done(std::move(answer));
                    finish(name, started, done, std::move(answer));
                });
}

void admission_controller::finish(const class_name &name, time_point started,
                                  const answer_hook &done, query_answer answer)
{
    --m_running;
    class_state &state = m_classes[name];
    --state.running;
    const duration taken = m_loop.now() - started;
    const bool first = state.serviceTime == duration();
    state.serviceTime += first ? taken : scaledBy(taken - state.serviceTime, measurementWeight);
    if (!m_hooks.expectedServiceTime)
        smoothServiceTime(m_loop.now() - started, measurementWeight);
    // The hook may destroy this controller, so it is called last.
    dispatchQueued();
    done(std::move(answer));
}

admission_controller::waiting_query admission_controller::removeWaiting(ticket id)
{
    auto node = m_waiting.extract(id);
    waiting_query query = std::move(node.mapped());
    --m_classes[query.request.spec.name].queued;
    return query;
}

void admission_controller::refuse(const query_request &request, answer_hook done,
                                  const std::string &reason)
{
    const time_point now = m_loop.now();
    const duration delay = m_queue.retryAfter(request.spec.rank, now, m_random.fraction());
    class_state &state = m_classes[request.spec.name];
    state.refusedAt = now;
    state.retryAfter = delay;
    report(event_kind::Refusal, request, "refused: " + reason);
    m_loop.post([done = std::move(done), delay, detail = "not run: " + reason] {
        done(notRunAnswer(answer_kind::RefusedLoad, delay, detail));
    });
}

void admission_controller::scheduleExpiry()
{
    const auto at = m_queue.nextExpiry();
    if (!at) {
        m_expiry.cancel();
        m_expiryAt.reset();
        return;
    }
    // A timer that fires before the next expiry only schedules another one, so it is kept.
    if (m_expiryAt && *m_expiryAt <= *at && m_expiry)
        return;
    m_expiryAt = at;
    m_expiry = m_loop.schedule(std::max<duration>(*at - m_loop.now(), minExpiryDelay), [this] {
        m_expiryAt.reset();
        for (const ticket id : m_queue.expire(m_loop.now())) {
            m_refusedAtFront.add();
            auto late = removeWaiting(id);
            refuse(late.request, std::move(late.done),
                   "too little time remained while the request was queued");
        }
        m_queuedGauge.set(m_queue.size());
        scheduleExpiry();
    });
}

void admission_controller::report(event_kind kind, const query_request &request,
                                  const std::string &text)
{
    if (m_events)
        m_events({{}, kind, request.id, request.spec.name, text});
}

void admission_controller::addRetryAfter(class_load &load, const class_state &state, time_point now)
{
    if (state.refusedAt == time_point() || now - state.refusedAt > refusalRetention)
        return;
    load.retryAfter = std::max(load.retryAfter.value_or(duration::zero()), state.retryAfter);
}

class_load admission_controller::loadOf(const class_name &name) const
{
    class_load load;
    const auto &classes = m_board.configuration.value().classes;
    if (const auto spec = classes.find(name); spec != classes.end())
        load.estimatedWait = m_queue.estimatedWait(spec->second.rank, m_slots);
    const auto it = m_classes.find(name);
    if (it == m_classes.end())
        return load;
    load.queued = it->second.queued;
    load.running = it->second.running;
    addRetryAfter(load, it->second, m_loop.now());
    return load;
}

class_load admission_controller::totalLoad() const
{
    class_load load;
    load.queued = static_cast<std::uint32_t>(m_queue.size());
    load.running = m_running;
    for (const auto &[name, state] : m_classes)
        addRetryAfter(load, state, m_loop.now());
    for (const auto &[name, spec] : m_board.configuration.value().classes) {
        load.estimatedWait =
                std::max(load.estimatedWait, m_queue.estimatedWait(spec.rank, m_slots));
    }
    return load;
}

} // namespace peridotwheel
