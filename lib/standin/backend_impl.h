#ifndef PERIDOTWHEEL_LIB_STANDIN_BACKEND_IMPL_H
#define PERIDOTWHEEL_LIB_STANDIN_BACKEND_IMPL_H

#include "backend_job.h"
#include "peridotwheel/standin/backend_standin.h"
#include "peridotwheel/support/libevent_loop.h"
#include "peridotwheel/support/random_source.h"
#include "standin_listener.h"

#include <deque>
#include <string_view>
#include <unordered_map>

namespace peridotwheel {

/// Request headers that matter; null if absent. They live as long as the request.
struct work_headers
{
    const char *attempt = nullptr;
    const char *deadlineMs = nullptr;
    const char *version = nullptr;
    const char *shards = nullptr;
    const char *dataCentre = nullptr;
    const char *requestId = nullptr;
};

class backend_standin::impl
{
public:
    impl(libevent_loop &loop, backend_config config);

    result<void> start();
    void setFaults(const fault_plan &plan);
    void addVersion(index_version version, std::vector<shard_id> shards);
    void restart(start_id start, std::uint32_t coldReplies);
    backend_counters counters();

    const backend_config &config() const { return m_config; }
    const fault_plan &faults() const { return m_faults; }

private:
    // Reception (backend_impl.cpp).
    void onRequest(evhttp_request *req, standin_connection &connection);
    void onGone(standin_connection &connection);
    bool ignores(const work_headers &headers) const;
    void onWork(evhttp_request *req, standin_connection &connection, const work_headers &headers,
                bool run);
    void fill(backend_job &job, const work_headers &headers);
    void countAfterDrain();
    bool faultOnArrival(backend_job &job, const work_headers &headers);
    void onHealth(evhttp_request *req);
    void onLoad(evhttp_request *req);
    void onCancel(evhttp_request *req, const work_headers &headers);
    const char *cancel(const std::string &attempt);

    // Execution (backend_execution.cpp).
    void arrive(backend_job &job);
    bool holdsShards(const backend_job &job) const;
    void startQueued();
    void execute(backend_job &job);
    void finishExecution(backend_job &job);
    void returnReply(backend_job &job);
    void refuse(backend_job &job, int status, const char *message);
    void send(backend_job &job, int status, const std::string &body, bool notRun);
    std::string resultBody(const backend_job &job) const;
    void erase(backend_job &job);
    duration drawServiceTime();
    double load() const;
    double reportedLoad() const { return m_faults.loadLie >= 0 ? m_faults.loadLie : load(); }
    bool chance(double fraction) { return fraction > 0 && m_random.fraction() < fraction; }

    void sampleLoad();
    bool admitsDrain(bool where) const { return m_faults.draining && where; }

    libevent_loop &m_loop;
    backend_config m_config;
    std::string m_startText;
    fault_plan m_faults;
    random_source m_random;
    std::lognormal_distribution<double> m_serviceTime;
    backend_counters m_counters;
    std::list<backend_job> m_jobs;
    std::deque<backend_job *> m_queue;
    std::uint32_t m_running = 0;
    std::unordered_map<std::string, backend_job *> m_attempts;
    double m_sampledLoad = 0.0;
    double m_nextSample = 0.0;
    timer m_sampling;
    // Last, so that it goes first: closing connections calls `onGone`.
    standin_listener m_listener;
};

} // namespace peridotwheel

#endif
