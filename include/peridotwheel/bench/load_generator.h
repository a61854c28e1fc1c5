#ifndef PERIDOTWHEEL_BENCH_LOAD_GENERATOR_H
#define PERIDOTWHEEL_BENCH_LOAD_GENERATOR_H

#include "peridotwheel/bench/class_tally.h"
#include "peridotwheel/http/evhttp_connector.h"
#include "peridotwheel/http/http_client.h"
#include "peridotwheel/support/event_loop.h"
#include "peridotwheel/support/random_source.h"

#include <functional>
#include <list>
#include <memory>
#include <string>
#include <vector>

namespace peridotwheel {

/// One class's share of a load: open-loop Poisson arrivals at a constant rate in a time window.
struct load_stream
{
    class_spec spec;
    double ratePerSecond = 0.0;
    duration start{};
    duration end{};
    bool repeatable = true;
    /// Plain service to ask; empty asks all sharded services.
    std::string service;
    /// Share of the requests that are sent a second time, to another instance, shortly after, as a
    /// balancer does when it believes that an instance has gone.
    double resendShare = 0.0;
};

/// What a load run needs to know about the system under test.
struct load_target
{
    /// Picks the entry instance for the next request, as the platform's balancer would. Called on
    /// the generator's thread.
    std::function<endpoint(random_source &)> balance;
    /// Round trip between a caller and an entry instance, added to every measured latency.
    duration callerRoundTrip{};
};

/// What one generator has seen.
struct load_result
{
    class_tallies classes;
    violation_counts violations;
    /// Ids of non-repeatable requests of which any reply said "not run".
    std::vector<std::string> saidNotRun;
};

/// Sends the streams from one thread. Latency counts from the intended send time, so that a stalled
/// generator or system cannot hide its delay.
class load_generator
{
public:
    load_generator(libevent_loop &loop, load_target target, std::vector<load_stream> streams,
                   std::uint64_t seed);
    load_generator(const load_generator &) = delete;
    load_generator &operator=(const load_generator &) = delete;
    ~load_generator();

    /// Starts sending; \p done is called once all streams have ended and every request has been
    /// answered or given up.
    void start(std::function<void()> done);
    const load_result &result() const { return m_result; }

private:
    struct active_stream;
    struct sent_request;

    void sendDue(active_stream &stream);
    void scheduleNext(active_stream &stream);
    void sendOne(active_stream &stream, time_point intended);
    void sendAgain(const sent_request &sent, const http_request &request, duration timeout);
    void finishOne(const sent_request &sent, const http_outcome &outcome);
    void noteNotRun(const sent_request &sent, const observed_reply &seen);
    void checkDone();

    libevent_loop &m_loop;
    evhttp_connector m_connector;
    pooled_http_client m_client;
    load_target m_target;
    random_source m_random;
    std::vector<std::unique_ptr<active_stream>> m_streams;
    load_result m_result;
    std::function<void()> m_done;
    time_point m_start{};
    std::uint64_t m_nextId = 0;
    std::string m_idPrefix;
    std::size_t m_outstanding = 0;
    std::list<timer> m_resends;
    std::size_t m_running = 0;
};

} // namespace peridotwheel

#endif
