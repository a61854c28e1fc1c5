#include "peridotwheel/status/request_registry.h"

namespace peridotwheel {

namespace {

query_answer withoutResults(const query_answer &answer)
{
    query_answer out;
    out.kind = answer.kind;
    out.ran = answer.ran;
    out.version = answer.version;
    out.covered = answer.covered;
    out.retryAfter = answer.retryAfter;
    out.detail = answer.detail;
    return out;
}

} // namespace

request_registry::token request_registry::begin(const query_request &request, time_point now)
{
    evict(now);
    auto [it, isNew] = m_entries.try_emplace(request.id);
    slot &s = it->second;
    if (!isNew && s.entry.answer)
        m_finishedIds.erase(s.finishedPosition);
    s.entry = {request.id, request.spec, request.repeatable, request.arrival, request.issuedAt, {},
               {}};
    s.latestToken = m_nextToken++;
    return s.latestToken;
}

void request_registry::finish(const request_id &id, token t, const query_answer &answer,
                              time_point now)
{
    auto it = m_entries.find(id);
    if (it == m_entries.end() || it->second.latestToken != t || it->second.entry.answer)
        return;
    slot &s = it->second;
    s.entry.answer = withoutResults(answer);
    s.entry.finished = now;
    s.finishedPosition = m_finishedIds.insert(m_finishedIds.end(), id);
    evict(now);
}

const request_entry *request_registry::find(const request_id &id, time_point now)
{
    evict(now);
    const auto it = m_entries.find(id);
    return it == m_entries.end() ? nullptr : &it->second.entry;
}

void request_registry::evict(time_point now)
{
    while (!m_finishedIds.empty()) {
        const auto it = m_entries.find(m_finishedIds.front());
        const bool tooOld = now - it->second.entry.finished > m_limits.maxAge;
        if (!tooOld && m_finishedIds.size() <= m_limits.maxFinished)
            return;
        m_entries.erase(it);
        m_finishedIds.pop_front();
    }
}

} // namespace peridotwheel
