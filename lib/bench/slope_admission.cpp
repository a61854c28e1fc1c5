// Costs of admission and of events.

#include "peridotwheel/limits/admission_controller.h"
#include "peridotwheel/status/request_registry.h"
#include "peridotwheel/support/manual_loop.h"
#include "peridotwheel/timeline/event_ring.h"
#include "slope_list.h"

#include <deque>
#include <stdexcept>

namespace peridotwheel {

namespace {

constexpr std::size_t measured = 20000;
constexpr std::size_t fewClasses = 3;

/// Runs one request at a time, until told.
class held_executor : public query_executor
{
public:
    void run(query_request, answer_hook done) override { m_running.push_back(std::move(done)); }
    void finishOne()
    {
        const auto done = std::move(m_running.front());
        m_running.pop_front();
        done({});
    }

private:
    std::deque<answer_hook> m_running;
};

class admission_bench
{
public:
    admission_bench(std::size_t classes, std::size_t capacity, std::uint64_t seed)
    {
        configuration_document document;
        for (std::size_t i = 0; i < classes; ++i) {
            m_specs.push_back({class_name("class-" + std::to_string(i)), std::chrono::hours(1),
                               0.99, 0.95, class_rank(static_cast<std::uint32_t>(i))});
            document.classes[m_specs.back().name] = m_specs.back();
        }
        m_board.configuration.set(document);
        admission_hooks hooks;
        hooks.concurrencyLimit = [] { return 1U; };
        hooks.expectedServiceTime = [] { return duration(50); };
        admission_queue::options options;
        options.maxQueued = capacity;
        m_admission = std::make_unique<admission_controller>(
                m_loop, m_board, m_inner, hooks, m_counters, event_sink(), seed, options);
    }

    void offer()
    {
        query_request r;
        r.id = request_id("request-" + std::to_string(++m_requests));
        r.spec = m_specs[m_requests % m_specs.size()];
        r.text = "title:compass";
        r.arrival = m_loop.now();
        r.deadline = r.arrival + r.spec.latencyTarget;
        m_admission->run(std::move(r), [](const query_answer &) {});
    }
    void finishOne()
    {
        m_inner.finishOne();
        m_loop.advance(duration(50));
    }
    /// Waiting requests.
    std::size_t queued() const { return m_admission->queued(); }

private:
    manual_loop m_loop;
    blackboard m_board;
    counter_set m_counters;
    held_executor m_inner;
    std::vector<class_spec> m_specs;
    std::unique_ptr<admission_controller> m_admission;
    std::size_t m_requests = 0;
};

/// One request offered, one started and one finished, with \p queued waiting.
double admissionCpu(std::size_t queued, std::size_t classes, std::uint64_t seed)
{
    admission_bench bench(classes, queued + 10, seed);
    for (std::size_t i = 0; i <= queued; ++i)
        bench.offer();
    const double cpu = cpuMicroseconds([&] {
        for (std::size_t i = 0; i < measured; ++i) {
            bench.offer();
            bench.finishOne();
        }
    });
    if (bench.queued() != queued)
        throw std::runtime_error("requests were refused: " + std::to_string(bench.queued()) +
                                 " wait in place of " + std::to_string(queued));
    return cpu / measured;
}

double queuedMemory(std::size_t queued, std::uint64_t seed)
{
    const double before = heapBytes();
    admission_bench bench(fewClasses, queued + 10, seed);
    for (std::size_t i = 0; i <= queued; ++i)
        bench.offer();
    return heapBytes() - before;
}

double classMemory(std::size_t classes, std::uint64_t seed)
{
    const double before = heapBytes();
    admission_bench bench(classes, 100 * classes, seed);
    for (std::size_t i = 0; i < classes; ++i)
        bench.offer();
    return heapBytes() - before;
}

double eventCpu(std::size_t events)
{
    manual_loop loop;
    event_ring ring(loop, 4096);
    const auto sink = ring.sink();
    const timeline_event event{{},
                               event_kind::Hedge,
                               request_id("request-0123456789"),
                               class_name("urgent"),
                               "attempt=entry-00001-0123456789abcdef-17 server=server-00017"};
    return cpuMicroseconds([&] {
        for (std::size_t i = 0; i < events; ++i)
            sink(event);
    });
}

double eventMemory(std::size_t capacity)
{
    const double before = heapBytes();
    manual_loop loop;
    event_ring ring(loop, capacity);
    for (std::size_t i = 0; i < capacity; ++i)
        ring.record({{},
                     event_kind::Hedge,
                     request_id("request-0123456789"),
                     class_name("urgent"),
                     "attempt=entry-00001-0123456789abcdef-17 server=server-00017"});
    return heapBytes() - before;
}

double registryMemory(std::size_t finished)
{
    const double before = heapBytes();
    request_registry registry;
    for (std::size_t i = 0; i < finished; ++i) {
        query_request r;
        r.id = request_id("request-0123456789-" + std::to_string(i));
        r.spec.name = class_name("urgent");
        query_answer answer;
        answer.kind = answer_kind::Complete;
        answer.covered = {400, 400, {}};
        registry.finish(r.id, registry.begin(r, time_point()), answer, time_point());
    }
    return heapBytes() - before;
}

const std::vector<std::size_t> queueSizes{10, 100, 1000, 10000};
const std::vector<std::size_t> classCounts{3, 30, 100, 300};
const std::vector<std::size_t> eventCounts{10000, 20000, 40000, 80000};

} // namespace

void addAdmissionSlopes(std::vector<slope> &list)
{
    list.push_back({"admission-cpu", "queued requests", "microseconds per request", [](auto seed) {
                        return pointsAt(queueSizes,
                                        [=](auto n) { return admissionCpu(n, fewClasses, seed); });
                    }});
    list.push_back({"admission-class-cpu", "classes", "microseconds per request, 1000 queued",
                    [](auto seed) {
                        return pointsAt(classCounts,
                                        [=](auto n) { return admissionCpu(1000, n, seed); });
                    }});
    list.push_back({"queued-memory", "queued requests", "bytes", [](auto seed) {
                        return pointsAt(queueSizes, [=](auto n) { return queuedMemory(n, seed); });
                    }});
    list.push_back({"class-memory", "classes, each with a queued request", "bytes", [](auto seed) {
                        return pointsAt(classCounts, [=](auto n) { return classMemory(n, seed); });
                    }});
    list.push_back({"event-cpu", "events", "microseconds in all",
                    [](auto) { return pointsAt(eventCounts, eventCpu); }});
    list.push_back({"event-memory", "events kept", "bytes", [](auto) {
                        return pointsAt({512, 1024, 2048, 4096}, eventMemory);
                    }});
    list.push_back({"registry-memory", "finished requests remembered", "bytes", [](auto) {
                        return pointsAt({2500, 5000, 10000, 20000}, registryMemory);
                    }});
}

} // namespace peridotwheel
