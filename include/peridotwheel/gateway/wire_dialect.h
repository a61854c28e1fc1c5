#ifndef PERIDOTWHEEL_GATEWAY_WIRE_DIALECT_H
#define PERIDOTWHEEL_GATEWAY_WIRE_DIALECT_H

#include "peridotwheel/gateway/backend_record.h"
#include "peridotwheel/gateway/route.h"
#include "peridotwheel/http/client_connection.h"
#include "peridotwheel/http/message_parser.h"
#include "peridotwheel/support/error.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace peridotwheel {

/// The id and the time budget that a caller's request states.
struct caller_terms
{
    request_id id;
    /// How long the caller will wait; absent if the request does not state it.
    std::optional<duration> timeBudget;
};

/// How a request states the key of its team.
enum class key_presence {
    Absent,
    Unusable, ///< Another scheme, or no valid key.
    Repeated, ///< More than one header, so that the key is ambiguous.
    Present,
};

struct caller_key
{
    key_presence presence = key_presence::Absent;
    /// Valid for `Present`. Must not appear in logs, metrics or errors.
    std::string key;
};

/// The team for which a request is run.
struct caller_identity
{
    /// Whether the configuration has teams, so that keys are read and not forwarded.
    bool isAuthenticationOn = false;
    /// Null if no team is known, as on public routes.
    team_ptr team;
};

/// A caller's request in the form in which it is sent to backend servers, without the parts that
/// differ from server to server.
struct outgoing_request
{
    request_id id;
    std::string head; ///< Request line and headers that all attempts share.
    std::string body;
    bool isHead = false;
};

/// How a server's reply is to be understood.
enum class reply_verdict {
    Answer,      ///< The request ran and this is its answer.
    Failure,     ///< The request ran and failed; the reply is the server's own.
    NotRun,      ///< The server states that it did not run the request.
    WrongServer, ///< The request did not run: the address now belongs to another server.
    NotAnAnswer, ///< The reply is not valid, and the request may have run.
};

/// What a server states about itself in its replies.
struct server_notice
{
    /// Requests that the server accepts from all instances together; absent if it is not limited.
    std::optional<request_rate> limit;
    /// Whether the server will shut down and wants no new requests.
    bool isLeaving = false;
    /// How long the server wants no further request from this instance; only with a rejection.
    std::optional<duration> holdOff;
    /// How much longer the server stays cold; absent if it does not state it.
    std::optional<duration> coldRemaining;
};

/// Why the gateway replies itself instead of forwarding an answer.
enum class refusal_kind {
    NotRun,           ///< The request did not run and will not; it may be sent again.
    NoRoute,          ///< The configuration has no route for it.
    Unauthenticated,  ///< It has no valid key of a team.
    OverAllotment,    ///< Its team has used up its allotment; the request did not run.
    BadRequest,       ///< The request is malformed; sending it again does not help.
    NoAnswer,         ///< The request may have run; no usable answer arrived.
    DeadlineExceeded, ///< The request may have run; its deadline has passed.
};

/// A reply by which the gateway itself refuses a request or reports its failure.
struct refusal
{
    refusal_kind kind = refusal_kind::NotRun;
    /// Delay after which the caller may retry; only with `NotRun` and `OverAllotment`.
    std::optional<duration> retryAfter;
    std::string text;
};

/// One part of a gathered answer.
struct answer_part
{
    std::string seal;
    std::string records;
};

/// Converts between the gateway's terms and the headers and statuses that callers and backend
/// servers use.
class wire_dialect
{
public:
    wire_dialect() = default;
    wire_dialect(const wire_dialect &) = delete;
    wire_dialect &operator=(const wire_dialect &) = delete;
    virtual ~wire_dialect() = default;

    /// Fails if the request has no valid id.
    virtual result<caller_terms> readTerms(const opaque_request &request) const = 0;
    virtual caller_key readKey(const opaque_request &request) const = 0;
    virtual outgoing_request prepare(const opaque_request &request, const caller_terms &terms,
                                     const caller_identity &identity) const = 0;
    /// Returns the request for \p server, which states \p left as the time that is left for it.
    virtual exchange_request addressTo(const outgoing_request &request,
                                       const backend_record &server, duration left) const = 0;
    virtual exchange_request healthCheck(const std::string &path,
                                         const backend_record &server) const = 0;
    virtual bool isHealthy(const http_reply &reply, const backend_record &server) const = 0;
    virtual reply_verdict classify(const http_reply &reply) const = 0;
    virtual server_notice readNotice(const http_reply &reply) const = 0;
    /// Returns how long the server keeps an idle connection; absent if the reply does not state it.
    virtual std::optional<duration> idleTimeout(const http_reply &reply) const = 0;

    /// Returns the server's reply in the form in which the caller gets it.
    virtual http_reply toCallerReply(http_reply reply) const = 0;
    virtual answer_part readPart(http_reply reply) const = 0;
    virtual http_reply writeGathered(const std::vector<answer_part> &parts, std::size_t missing,
                                     std::string records) const = 0;
    virtual http_reply writeRefusal(const refusal &r) const = 0;
};

} // namespace peridotwheel

#endif
