#ifndef PERIDOTWHEEL_LIB_HTTP_REPLY_TEXT_H
#define PERIDOTWHEEL_LIB_HTTP_REPLY_TEXT_H

#include "peridotwheel/http/http_message.h"

#include <string>

namespace peridotwheel {

/// The reason phrase of a status line.
const char *reasonPhrase(int status);
/// \p r as bytes of HTTP/1.1. The length and the connection's fate are added.
std::string replyText(const http_reply &r, bool keepAlive, bool isHead);

} // namespace peridotwheel

#endif
