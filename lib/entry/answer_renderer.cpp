#include "peridotwheel/entry/answer_renderer.h"

#include "peridotwheel/status/status_text.h"

#include <nlohmann/json.hpp>

namespace peridotwheel {

namespace {

constexpr int httpOk = 200;

/// Returns \p text as a JSON string. Replaces invalid UTF-8, which the detail of a backend server's
/// reply may contain.
std::string quoted(const std::string &text)
{
    return nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void appendCoverage(std::string &out, const query_answer &answer)
{
    out += ",\"snapshotVersion\":";
    out += answer.version.value() == 0 ? "null" : std::to_string(answer.version.value());
    out += ",\"coverage\":{\"answered\":" + std::to_string(answer.covered.answered);
    out += ",\"total\":" + std::to_string(answer.covered.total) + ",\"missing\":[";
    const char *separator = "";
    for (const shard_id &id : answer.covered.missing) {
        out += separator;
        out += std::to_string(id.value());
        separator = ",";
    }
    out += "]}";
}

void appendResults(std::string &out, const query_answer &answer)
{
    out += ",\"results\":[";
    const char *separator = "";
    for (const shard_result &r : answer.results) {
        out += separator;
        out += "{\"shard\":" + std::to_string(r.shard.value()) + ",\"value\":";
        out += r.json.empty() ? "null" : r.json;
        out += '}';
        separator = ",";
    }
    out += ']';
}

void appendError(std::string &out, const char *kind, const std::string &message)
{
    out += ",\"error\":" + quoted(kind);
    out += ",\"message\":" + quoted(message);
}

std::size_t estimateBodySize(const query_answer &answer)
{
    constexpr std::size_t bytesPerResult = 32;
    constexpr std::size_t fixedBytes = 1024;
    std::size_t size = fixedBytes + answer.covered.missing.size() * 8;
    for (const shard_result &r : answer.results)
        size += r.json.size() + bytesPerResult;
    return size;
}

std::string beginReply(const request_id &id, ran_state ran)
{
    std::string out = "{\"requestId\":";
    out += id.value().empty() ? "null" : quoted(id.value());
    out += ",\"ran\":\"";
    out += toString(ran);
    out += '"';
    return out;
}

http_reply jsonReply(int status, std::string body, ran_state ran)
{
    http_reply reply{status, {{"Content-Type", "application/json"}}, std::move(body)};
    if (ran == ran_state::No)
        reply.headers.emplace_back("X-Not-Run", "1");
    return reply;
}

const char *remedyOf(answer_kind kind)
{
    switch (kind) {
    case answer_kind::Expired:
        return "the deadline passed; send a larger deadlineMs or follow the status";
    case answer_kind::RefusedLoad:
        return "not run: the target cannot be met now; retry after the delay";
    case answer_kind::RefusedState:
        return "not run: this instance is not serving; retry, another instance will answer";
    case answer_kind::RefusedClaim:
        return "the claim could not be confirmed; follow the status";
    case answer_kind::InProgress:
        return "a try with this requestId is in progress; ask GET /status/ID";
    case answer_kind::OutcomeUnknown:
        return "the request may have run; check its effect before issuing a new one";
    default:
        return "no server could answer; follow the status";
    }
}

} // namespace

int httpStatusOf(answer_kind kind)
{
    switch (kind) {
    case answer_kind::Complete:
    case answer_kind::Partial:
        return httpOk;
    case answer_kind::RefusedInput:
        return 400;
    case answer_kind::InProgress:
        return 409;
    case answer_kind::RefusedLoad:
    case answer_kind::RefusedState:
    case answer_kind::RefusedClaim:
        return 503;
    case answer_kind::Expired:
    case answer_kind::OutcomeUnknown:
        return 504;
    case answer_kind::Failed:
        return 502;
    }
    return 502;
}

http_reply renderAnswer(const request_id &id, const query_answer &answer,
                        const std::string &statusText)
{
    const int status = httpStatusOf(answer.kind);
    std::string body;
    body.reserve(estimateBodySize(answer));
    body += beginReply(id, answer.ran);
    appendCoverage(body, answer);
    if (status == httpOk)
        appendResults(body, answer);
    if (status != httpOk)
        appendError(body, toString(answer.kind),
                    answer.detail.empty() ? remedyOf(answer.kind) : answer.detail);
    body += ",\"status\":" + quoted(statusText) + "}\n";
    http_reply reply = jsonReply(status, std::move(body), answer.ran);
    if (answer.retryAfter && status != httpOk) {
        const auto wholeSeconds = std::chrono::ceil<seconds>(*answer.retryAfter);
        reply.headers.emplace_back("Retry-After", std::to_string(wholeSeconds.count()));
    }
    return reply;
}

http_reply renderInputError(const input_error &e, const std::string &statusText)
{
    std::string body = beginReply(e.id, e.ran);
    appendError(body, e.kind, e.message);
    body += ",\"status\":" + quoted(statusText) + "}\n";
    return jsonReply(e.httpStatus, std::move(body), e.ran);
}

http_reply renderText(int httpStatus, std::string text)
{
    return {httpStatus, {{"Content-Type", "text/plain; charset=utf-8"}}, std::move(text)};
}

} // namespace peridotwheel
