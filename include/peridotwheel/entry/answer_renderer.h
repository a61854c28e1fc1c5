#ifndef PERIDOTWHEEL_ENTRY_ANSWER_RENDERER_H
#define PERIDOTWHEEL_ENTRY_ANSWER_RENDERER_H

#include "peridotwheel/entry/query_parser.h"
#include "peridotwheel/http/http_message.h"
#include "peridotwheel/query/query.h"

#include <string>

namespace peridotwheel {

/// Returns the HTTP status of an answer: 200 if it carries results, otherwise an error status.
int httpStatusOf(answer_kind kind);

/// Renders the JSON reply to a query. The results are copied without parsing: they were validated
/// as JSON when they were merged, and parsing them again would cost more than all other steps.
http_reply renderAnswer(const request_id &id, const query_answer &answer,
                        const std::string &statusText);

/// Renders the JSON reply to a request that was refused because of its content.
http_reply renderInputError(const input_error &e, const std::string &statusText);

/// Renders a plain-text status page.
http_reply renderText(int httpStatus, std::string text);

} // namespace peridotwheel

#endif
