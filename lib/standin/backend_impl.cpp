#include "backend_impl.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <event2/util.h>
#include <nlohmann/json.hpp>

namespace peridotwheel {

namespace {

std::lognormal_distribution<double> serviceTimes(const backend_config &config)
{
    const double mean = std::max(toMilliseconds(config.serviceTimeMean), 1e-3);
    const double variance = std::log1p(config.serviceTimeDeviation * config.serviceTimeDeviation);
    return std::lognormal_distribution<double>(std::log(mean) - variance / 2, std::sqrt(variance));
}

/// Reads all headers of interest in one pass: looking each up would cost a scan per header.
work_headers readHeaders(evhttp_request *req)
{
    static constexpr std::pair<const char *, const char * work_headers::*> names[] = {
            {"X-Attempt", &work_headers::attempt},
            {"X-Deadline-Ms", &work_headers::deadlineMs},
            {"X-Index-Version", &work_headers::version},
            {"X-Shards", &work_headers::shards},
            {"X-Data-Centre", &work_headers::dataCentre},
            {"X-Request-Id", &work_headers::requestId},
    };
    work_headers out;
    const evkeyvalq *all = evhttp_request_get_input_headers(req);
    for (const evkeyval *h = all->tqh_first; h != nullptr; h = h->next.tqe_next) {
        if (h->key[0] != 'X' && h->key[0] != 'x')
            continue;
        for (const auto &[name, member] : names) {
            if (evutil_ascii_strcasecmp(h->key, name) == 0)
                out.*member = h->value;
        }
    }
    return out;
}

std::string textOf(const char *value)
{
    return value != nullptr ? value : std::string();
}

void replyJson(evhttp_request *req, int status, const std::string &body)
{
    evbuffer *out = evhttp_request_get_output_buffer(req);
    evbuffer_add(out, body.data(), body.size());
    evhttp_send_reply(req, status, nullptr, nullptr);
}

} // namespace

backend_standin::impl::impl(libevent_loop &loop, backend_config config)
    : m_loop(loop)
    , m_config(std::move(config))
    , m_startText(std::to_string(m_config.start.value()))
    , m_random(m_config.seed)
    , m_serviceTime(serviceTimes(m_config))
    , m_listener(
              loop, m_config.connectionLimit,
              [this](evhttp_request *req, standin_connection &c) { onRequest(req, c); },
              [this](standin_connection &c) { onGone(c); })
{
    for (auto &entry : m_config.versions)
        std::sort(entry.second.begin(), entry.second.end());
}

result<void> backend_standin::impl::start()
{
    auto bound = m_listener.listen(m_config.address);
    if (!bound)
        return bound.as_failure();
    m_config.address = bound.value();
    sampleLoad();
    return success();
}

void backend_standin::impl::sampleLoad()
{
    m_sampledLoad = m_nextSample;
    m_nextSample = load();
    m_sampling = m_loop.schedule(m_config.reportLag, [this] { sampleLoad(); });
}

void backend_standin::impl::setFaults(const fault_plan &plan)
{
    const bool drainBegins = plan.draining && !m_faults.draining;
    const bool dies = plan.dead && !m_faults.dead;
    const bool revives = !plan.dead && m_faults.dead;
    m_faults = plan;
    if (drainBegins)
        m_counters.drainStart = m_loop.now();
    if (dies)
        m_listener.close();
    if (revives)
        static_cast<void>(m_listener.listen(m_config.address));
}

void backend_standin::impl::addVersion(index_version version, std::vector<shard_id> shards)
{
    constexpr std::size_t keptVersions = 2;
    std::sort(shards.begin(), shards.end());
    m_config.versions[version] = std::move(shards);
    while (m_config.versions.size() > keptVersions)
        m_config.versions.erase(m_config.versions.begin());
}

void backend_standin::impl::restart(start_id start, std::uint32_t coldReplies)
{
    m_listener.close();
    m_queue.clear();
    m_attempts.clear();
    m_jobs.clear();
    m_running = 0;
    m_config.start = start;
    m_startText = std::to_string(start.value());
    m_faults = fault_plan{};
    m_faults.coldReplies = coldReplies;
    static_cast<void>(m_listener.listen(m_config.address));
}

backend_counters backend_standin::impl::counters()
{
    m_counters.openConnections = m_listener.open();
    m_counters.peakConnections = m_listener.peak();
    m_counters.refusedConnections = m_listener.refused();
    return m_counters;
}

void backend_standin::impl::onRequest(evhttp_request *req, standin_connection &connection)
{
    const work_headers headers = readHeaders(req);
    const std::string_view path = evhttp_request_get_uri(req);
    if (path == "/search" || path == "/run") {
        onWork(req, connection, headers, path == "/run");
        return;
    }
    if (ignores(headers)) {
        connection.pending = this; // Only marks the connection: no job belongs to it.
        return;
    }
    if (path == "/cancel") {
        onCancel(req, headers);
        return;
    }
    if (path == "/health") {
        onHealth(req);
        return;
    }
    if (path == "/load") {
        onLoad(req);
        return;
    }
    replyJson(req, 404, R"({"error":"unknown path; use /search, /run, /cancel, /health, /load"})");
}

void backend_standin::impl::onGone(standin_connection &connection)
{
    if (connection.pending == this)
        return;
    auto &job = *static_cast<backend_job *>(connection.pending);
    connection.pending = nullptr;
    job.request = nullptr;
    job.connection = nullptr;
    // A request that a worker has begun is finished, as a real server would do.
    if (job.state != job_state::Running)
        erase(job);
}

bool backend_standin::impl::ignores(const work_headers &headers) const
{
    if (m_faults.silent)
        return true;
    return headers.dataCentre != nullptr && !m_faults.dropFrom.empty() &&
           m_faults.dropFrom.count(data_centre_id(headers.dataCentre)) != 0;
}

void backend_standin::impl::onWork(evhttp_request *req, standin_connection &connection,
                                   const work_headers &headers, bool run)
{
    ++m_counters.received;
    countAfterDrain();
    m_jobs.emplace_back();
    backend_job &job = m_jobs.back();
    job.self = std::prev(m_jobs.end());
    job.request = req;
    job.connection = &connection;
    job.run = run;
    connection.pending = &job;
    fill(job, headers);
    if (faultOnArrival(job, headers))
        return;
    if (job.remote && m_config.remoteDelay > duration::zero()) {
        job.step = m_loop.schedule(m_config.remoteDelay, [this, &job] { arrive(job); });
        return;
    }
    arrive(job);
}

void backend_standin::impl::fill(backend_job &job, const work_headers &headers)
{
    job.attempt = textOf(headers.attempt);
    job.requestId = textOf(headers.requestId);
    job.shardList = textOf(headers.shards);
    if (headers.version != nullptr)
        job.version = index_version(std::strtoull(headers.version, nullptr, 10));
    if (headers.deadlineMs != nullptr)
        job.deadline = m_loop.now() + fromMilliseconds(std::strtod(headers.deadlineMs, nullptr));
    job.remote = headers.dataCentre != nullptr && m_config.dataCentre.value() != headers.dataCentre;
    evbuffer *body = evhttp_request_get_input_buffer(job.request);
    job.query.resize(evbuffer_get_length(body));
    evbuffer_copyout(body, job.query.data(), job.query.size());
    if (!job.attempt.empty())
        m_attempts[job.attempt] = &job;
}

void backend_standin::impl::countAfterDrain()
{
    if (!m_faults.draining)
        return;
    ++m_counters.receivedAfterDrain;
    if (m_counters.receivedAfterDrainAt.size() < backend_counters::maxDrainTimes)
        m_counters.receivedAfterDrainAt.push_back(m_loop.now());
}

bool backend_standin::impl::faultOnArrival(backend_job &job, const work_headers &headers)
{
    if (ignores(headers)) {
        job.state = job_state::Silent;
        return true;
    }
    if (chance(m_faults.resetBefore)) {
        standin_listener::drop(*job.connection, true);
        return true;
    }
    if (chance(m_faults.errorFraction)) {
        refuse(job, 500, "injected error");
        return true;
    }
    if (m_faults.shedAll) {
        ++m_counters.shed;
        refuse(job, 503, "shed");
        return true;
    }
    return false;
}

void backend_standin::impl::onHealth(evhttp_request *req)
{
    const bool shown = admitsDrain(m_faults.drainInHealth) &&
                       m_loop.now() - m_counters.drainStart >= m_config.reportLag;
    std::string state = shown ? "draining" : "ok";
    if (!m_faults.healthLie.empty())
        state = m_faults.healthLie;
    auto *headers = evhttp_request_get_output_headers(req);
    evhttp_add_header(headers, "X-Draining", state == "draining" ? "1" : "0");
    evhttp_add_header(headers, "X-Start-Id", m_startText.c_str());
    replyJson(req, 200,
              nlohmann::json{{"state", state},
                             {"server", m_config.id.value()},
                             {"service", m_config.service.value()},
                             {"start", m_config.start.value()}}
                      .dump());
}

void backend_standin::impl::onLoad(evhttp_request *req)
{
    const double shown = m_faults.loadLie >= 0 ? m_faults.loadLie : m_sampledLoad;
    replyJson(req, 200, nlohmann::json{{"load", shown}}.dump());
}

void backend_standin::impl::onCancel(evhttp_request *req, const work_headers &headers)
{
    const char *what = headers.attempt != nullptr ? cancel(headers.attempt) : "unknown";
    replyJson(req, 200, std::string(R"({"cancelled":")") + what + "\"}");
}

const char *backend_standin::impl::cancel(const std::string &attempt)
{
    const auto it = m_attempts.find(attempt);
    if (it == m_attempts.end())
        return "unknown";
    backend_job &job = *it->second;
    if (job.state == job_state::Travelling || job.state == job_state::Queued) {
        ++m_counters.cancelled;
        refuse(job, 503, "cancelled");
        return "not run";
    }
    if (job.state != job_state::Running || job.run)
        return "too late";
    ++m_counters.cancelled;
    --m_running;
    job.state = job_state::Returning;
    send(job, 503, R"({"error":"cancelled"})", false);
    startQueued();
    return "running";
}

} // namespace peridotwheel
