#ifndef PERIDOTWHEEL_STATUS_REQUEST_REGISTRY_H
#define PERIDOTWHEEL_STATUS_REQUEST_REGISTRY_H

#include "peridotwheel/query/query.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <unordered_map>

namespace peridotwheel {

/// State of one request that this instance received.
struct request_entry
{
    request_id id;
    class_spec spec;
    bool repeatable = true;
    time_point arrival;
    std::optional<wall_time> issuedAt;
    /// Empty while the request is in progress. The results are not kept.
    std::optional<query_answer> answer;
    time_point finished;
};

/// Retention limits of the registry.
struct registry_limits
{
    /// Maximum number of finished requests. An entry without missing shards takes about 500 bytes.
    std::size_t maxFinished = 20000;
    /// Retention time of finished requests. Scripts ask for the state of a request within minutes;
    /// later the claim store still holds the requests that are not repeatable.
    duration maxAge = seconds(600);
};

/// Stores the recent requests of this instance by id.
///
/// Requests in progress are never evicted: the admission bounds limit their number.
class request_registry
{
public:
    using token = std::uint64_t;

    explicit request_registry(registry_limits limits = {})
        : m_limits(limits)
    {
    }

    /// Records the start of \p request. Pass the token to `finish` of this try.
    token begin(const query_request &request, time_point now);

    /// Records the answer without its results. Has no effect if a later try with the same id has
    /// begun.
    void finish(const request_id &id, token t, const query_answer &answer, time_point now);

    /// Returns the entry of \p id, or null. Valid until the next call of a non-const function.
    const request_entry *find(const request_id &id, time_point now);

    /// Number of entries, in progress or finished.
    std::size_t size() const { return m_entries.size(); }
    std::size_t inProgress() const { return m_entries.size() - m_finishedIds.size(); }

private:
    struct slot
    {
        request_entry entry;
        token latestToken = 0;
        /// Position in `m_finishedIds`; meaningful only if the entry has an answer.
        std::list<request_id>::iterator finishedPosition;
    };

    void evict(time_point now);

    registry_limits m_limits;
    token m_nextToken = 1;
    std::unordered_map<request_id, slot> m_entries;
    std::list<request_id> m_finishedIds; // oldest first
};

} // namespace peridotwheel

#endif
