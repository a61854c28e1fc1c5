#ifndef PERIDOTWHEEL_GATEWAY_WIRE_DIALECT_H
#define PERIDOTWHEEL_GATEWAY_WIRE_DIALECT_H

#include "peridotwheel/gateway/backend_record.h"
#include "peridotwheel/http/client_connection.h"
#include "peridotwheel/http/message_parser.h"
#include "peridotwheel/support/error.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace peridotwheel {

/// What a caller's request says about itself.
struct caller_terms
{
    request_id id;
    /// How long the caller will wait; absent if it does not say.
    std::optional<duration> timeBudget;
};

/// A caller's request in the form in which it goes to servers, but for what differs from server to
/// server.
struct outgoing_request
{
    request_id id;
    std::string head; ///< Request line and headers that all attempts share.
    std::string body;
    bool isHead = false;
};

/// What a server's reply says about the request.
enum class reply_verdict {
    Answer,      ///< It ran and this is its answer.
    Failure,     ///< It ran and failed; the reply is the server's own.
    NotRun,      ///< The server states that it did not run the request.
    WrongServer, ///< Not run: the address belongs to another server now.
    NotAnAnswer, ///< Not to be trusted: the request may have run.
};

/// Why the gateway itself answers.
enum class refusal_kind {
    NotRun,           ///< The request did not run and will not; it may be sent again.
    NoRoute,          ///< The configuration has no route for it.
    BadRequest,       ///< The request lacks what it needs; sending it again does not help.
    NoAnswer,         ///< It may have run; no usable answer came.
    DeadlineExceeded, ///< It may have run; the time is over.
};

/// A refusal or failure of the gateway's own.
struct refusal
{
    refusal_kind kind = refusal_kind::NotRun;
    /// When to come again; only with `NotRun`.
    std::optional<duration> retryAfter;
    std::string text;
};

/// One part of a gathered answer.
struct answer_part
{
    std::string seal;
    std::string records;
};

/// The headers and statuses by which callers and servers say what the gateway needs to know.
class wire_dialect
{
public:
    wire_dialect() = default;
    wire_dialect(const wire_dialect &) = delete;
    wire_dialect &operator=(const wire_dialect &) = delete;
    virtual ~wire_dialect() = default;

    /// Fails if the request has no valid id.
    virtual result<caller_terms> readTerms(const opaque_request &request) const = 0;
    virtual outgoing_request prepare(const opaque_request &request,
                                     const caller_terms &terms) const = 0;
    /// The request for \p server, with the time that is left for it.
    virtual exchange_request addressTo(const outgoing_request &request,
                                       const backend_record &server, duration left) const = 0;
    virtual exchange_request healthCheck(const std::string &path,
                                         const backend_record &server) const = 0;
    virtual bool isHealthy(const http_reply &reply, const backend_record &server) const = 0;
    virtual reply_verdict classify(const http_reply &reply) const = 0;
    /// How long the server keeps an idle connection; absent if it does not say.
    virtual std::optional<duration> idleTimeout(const http_reply &reply) const = 0;

    /// The server's reply as the caller gets it.
    virtual http_reply toCallerReply(http_reply reply) const = 0;
    virtual answer_part readPart(http_reply reply) const = 0;
    virtual http_reply writeGathered(const std::vector<answer_part> &parts, std::size_t missing,
                                     std::string records) const = 0;
    virtual http_reply writeRefusal(const refusal &r) const = 0;
};

} // namespace peridotwheel

#endif
