#include "backend_impl.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <event2/buffer.h>
#include <event2/http.h>
#include <nlohmann/json.hpp>

namespace peridotwheel {

namespace {

/// Calls \p fn with each comma-separated item; stops when it returns false.
template <class Fn>
bool forEachItem(std::string_view list, Fn fn)
{
    while (!list.empty()) {
        const auto comma = list.find(',');
        if (!fn(list.substr(0, comma)))
            return false;
        if (comma == std::string_view::npos)
            return true;
        list.remove_prefix(comma + 1);
    }
    return true;
}

std::string quoted(const std::string &text)
{
    using nlohmann::json;
    return json(text).dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace

void backend_standin::impl::arrive(backend_job &job)
{
    if (job.deadline <= m_loop.now()) {
        ++m_counters.expired;
        refuse(job, 504, "deadline passed before queueing");
        return;
    }
    if (!job.run && m_config.versions.count(job.version) == 0) {
        ++m_counters.versionNotHeld;
        refuse(job, 410, "index version not held");
        return;
    }
    if (!job.run && !holdsShards(job)) {
        refuse(job, 400, "X-Shards names no shard or one that this server does not hold");
        return;
    }
    if (m_running < m_config.workers) {
        execute(job);
        return;
    }
    if (m_queue.size() >= m_config.queueLimit) {
        ++m_counters.shed;
        refuse(job, 503, "shed: queue full");
        return;
    }
    job.state = job_state::Queued;
    m_queue.push_back(&job);
}

bool backend_standin::impl::holdsShards(const backend_job &job) const
{
    const auto &held = m_config.versions.at(job.version);
    return !job.shardList.empty() && forEachItem(job.shardList, [&held](std::string_view item) {
        std::uint32_t id = 0;
        const auto parsed = std::from_chars(item.data(), item.data() + item.size(), id);
        return parsed.ec == std::errc() && parsed.ptr == item.data() + item.size() &&
               std::binary_search(held.begin(), held.end(), shard_id(id));
    });
}

void backend_standin::impl::startQueued()
{
    while (m_running < m_config.workers && !m_queue.empty()) {
        backend_job &job = *m_queue.front();
        m_queue.pop_front();
        job.state = job_state::Travelling;
        if (job.deadline <= m_loop.now()) {
            ++m_counters.expired;
            refuse(job, 504, "deadline passed in the queue");
            continue;
        }
        execute(job);
    }
}

void backend_standin::impl::execute(backend_job &job)
{
    ++m_counters.executed;
    if (job.run && !job.requestId.empty())
        ++m_counters.runs[job.requestId];
    job.state = job_state::Running;
    ++m_running;
    const duration time = drawServiceTime();
    if (time == duration::zero()) {
        finishExecution(job);
        return;
    }
    job.step = m_loop.schedule(time, [this, &job] { finishExecution(job); });
}

duration backend_standin::impl::drawServiceTime()
{
    if (m_config.serviceTimeMean == duration::zero())
        return duration::zero();
    double ms = m_serviceTime(m_random.engine()) * m_faults.slowFactor;
    if (m_faults.coldReplies > 0) {
        --m_faults.coldReplies;
        ms *= m_faults.coldFactor;
    }
    return fromMilliseconds(ms);
}

void backend_standin::impl::finishExecution(backend_job &job)
{
    --m_running;
    job.state = job_state::Returning;
    if (job.request == nullptr) {
        erase(job);
    } else {
        returnReply(job);
    }
    startQueued();
}

void backend_standin::impl::returnReply(backend_job &job)
{
    if (chance(m_faults.resetAfter)) {
        standin_listener::drop(*job.connection, true);
        return;
    }
    duration delay = job.remote ? m_config.remoteDelay : duration::zero();
    if (chance(m_faults.delayedFraction))
        delay += m_faults.delayedBy;
    if (delay == duration::zero()) {
        send(job, 200, resultBody(job), false);
        return;
    }
    job.step = m_loop.schedule(delay, [this, &job] { send(job, 200, resultBody(job), false); });
}

std::string backend_standin::impl::resultBody(const backend_job &job) const
{
    const std::string query = quoted(job.query);
    if (job.run) {
        return "[{\"server\":" + quoted(m_config.id.value()) +
               ",\"requestId\":" + quoted(job.requestId) + ",\"query\":" + query + "}]";
    }
    const std::string before =
            "{\"version\":" + std::to_string(job.version.value()) + ",\"shard\":";
    const std::string after =
            ",\"server\":" + quoted(m_config.id.value()) + ",\"query\":" + query + "}";
    std::string body = "[";
    forEachItem(job.shardList, [&](std::string_view item) {
        if (body.size() > 1)
            body += ',';
        body.append(before).append(item).append(after);
        return true;
    });
    return body + "]";
}

void backend_standin::impl::refuse(backend_job &job, int status, const char *message)
{
    send(job, status, std::string("{\"error\":\"") + message + "\"}", true);
}

void backend_standin::impl::send(backend_job &job, int status, const std::string &body, bool notRun)
{
    evhttp_request *req = job.request;
    if (req == nullptr) {
        erase(job);
        return;
    }
    auto *headers = evhttp_request_get_output_headers(req);
    if (!job.run) {
        evhttp_add_header(headers, "X-Index-Version", std::to_string(job.version.value()).c_str());
        evhttp_add_header(headers, "X-Shards", job.shardList.c_str());
    }
    std::array<char, 32> load{};
    std::snprintf(load.data(), load.size(), "%.3f", reportedLoad());
    evhttp_add_header(headers, "X-Load", load.data());
    evhttp_add_header(headers, "X-Draining", admitsDrain(m_faults.drainInReplies) ? "1" : "0");
    evhttp_add_header(headers, "X-Start-Id", m_startText.c_str());
    if (notRun)
        evhttp_add_header(headers, "X-Not-Run", "1");
    evbuffer *out = evhttp_request_get_output_buffer(req);
    evbuffer_add(out, body.data(), body.size());
    job.connection->pending = nullptr;
    job.request = nullptr;
    erase(job);
    evhttp_send_reply(req, status, nullptr, nullptr);
}

void backend_standin::impl::erase(backend_job &job)
{
    if (job.state == job_state::Queued)
        m_queue.erase(std::find(m_queue.begin(), m_queue.end(), &job));
    if (!job.attempt.empty()) {
        const auto it = m_attempts.find(job.attempt);
        if (it != m_attempts.end() && it->second == &job)
            m_attempts.erase(it);
    }
    m_jobs.erase(job.self);
}

double backend_standin::impl::load() const
{
    return static_cast<double>(m_running + m_queue.size()) / m_config.workers;
}

} // namespace peridotwheel
