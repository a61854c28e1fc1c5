#ifndef PERIDOTWHEEL_LIB_GATEWAY_RUNNING_REQUEST_H
#define PERIDOTWHEEL_LIB_GATEWAY_RUNNING_REQUEST_H

#include "gateway_state.h"
#include "peridotwheel/gateway/answer_policy.h"
#include "peridotwheel/support/earliest_timer.h"
#include "request_trace.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace peridotwheel {

/// One request from its arrival to its one answer. A plain request is a query with one part whose
/// reply is passed on; a gather has a part for each shard and merges them.
class running_request : public std::enable_shared_from_this<running_request>
{
public:
    running_request(gateway_state &state, route_ptr r, configuration_version version,
                    const opaque_request &request, const caller_terms &terms,
                    std::shared_ptr<http_responder> client);

    /// Runs, waits for admission, or is refused.
    void start();
    /// Tells the admission how far the query has come; called a few times a second.
    void reportProgress();
    /// Ends without an answer; for the end of the process.
    void drop();

private:
    struct live_attempt
    {
        backend_server_ptr server;
        backend_attempt_ptr attempt;
    };

    struct part
    {
        service_group_ptr group;
        std::vector<live_attempt> live;
        std::vector<const backend_server *> tried;
        /// Attempts that were sent and not certainly rejected.
        unsigned mayHaveRun = 0;
        unsigned arrivals = 0;
        /// Something was written that no server has said it did not run.
        bool wasWritten = false;
        bool done = false;
        bool lost = false;
        bool doubtful = false;
        bool wasDenied = false;
        bool metFullServer = false;
        std::optional<time_point> secondAt;
        answer_part result;
        /// Time that the answer took on the server, without the way.
        duration served{};
        /// The last failure that a server reported itself.
        std::optional<http_reply> failure;
    };

    enum class attempt_kind { First, Second, Repeat };

    /// Refuses the request if the shards cannot do more.
    bool isAdmitted();
    void run();
    void reportEnd();
    query_progress progress() const;
    bool isGather() const { return m_route->gather.has_value(); }
    bool mayRepeat() const { return m_route->kind == request_kind::Idempotent; }
    void addParts();
    bool refuseIfHopeless();
    std::optional<placement> place(const part &p, bool allowTried) const;
    bool send(std::size_t index, attempt_kind kind);
    void planSecond(part &p, const backend_server &server);
    void onResult(std::size_t index, const backend_attempt_ptr &a, attempt_result result);
    void onAnswer(std::size_t index, duration served, attempt_result &result);
    duration sampleWork(const backend_server &server, const backend_attempt &a);
    void repeat(std::size_t index, bool mayHaveRun);
    bool isFull(const backend_server &server) const;
    bool takeExtra(part &p);
    void sendDueSeconds(time_point now);
    void sendSecond(std::size_t index, time_point now);
    void onTimer();
    void armTimer();
    void check();
    parts_state partsState() const;

    void answerGathered();
    void answerFailure();
    refusal ownFailure() const;
    /// When the caller had better come back, by the services that did not take their part.
    duration retryAfter() const;
    void refuse(duration retryAfter, const char *text);
    void deliver(const http_reply &reply, const char *outcome);
    /// Gives up the part's attempts: what has been sent may run until \p end.
    static void release(part &p, time_point end);
    void onClientGone();

    gateway_state &m_state;
    route_ptr m_route;
    /// Absent for plain requests.
    std::shared_ptr<admission_share> m_admission;
    configuration_version m_version;
    std::shared_ptr<const outgoing_request> m_request;
    std::shared_ptr<http_responder> m_client;
    request_times m_times;
    std::vector<part> m_parts;
    request_trace m_story;
    earliest_timer m_timer;
    bool m_inStart = false;
    bool m_over = false;
};

} // namespace peridotwheel

#endif
