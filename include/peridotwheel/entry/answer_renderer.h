#ifndef PERIDOTWHEEL_ENTRY_ANSWER_RENDERER_H
#define PERIDOTWHEEL_ENTRY_ANSWER_RENDERER_H

#include "peridotwheel/entry/query_parser.h"
#include "peridotwheel/http/http_message.h"
#include "peridotwheel/query/query.h"

#include <string>

namespace peridotwheel {

/// HTTP status of an answer: 200 if it carries results, otherwise the class of the error.
int httpStatusOf(answer_kind kind);

/// The JSON reply to a query. The results are copied as they are, since they were checked to be
/// JSON when they were merged; parsing them again would cost more than all the rest.
http_reply renderAnswer(const request_id &id, const query_answer &answer,
                        const std::string &statusText);

/// The JSON reply to a request that was refused for its content.
http_reply renderInputError(const input_error &e, const std::string &statusText);

/// A status page.
http_reply renderText(int httpStatus, std::string text);

} // namespace peridotwheel

#endif
