#ifndef PERIDOTWHEEL_LIB_HTTP_REPLY_TEXT_H
#define PERIDOTWHEEL_LIB_HTTP_REPLY_TEXT_H

#include "peridotwheel/http/http_message.h"

#include <string>

namespace peridotwheel {

/// Returns the reason phrase for the status line, "Unknown" for an unregistered status.
const char *reasonPhrase(int status);
/// Serialises \p r as HTTP/1.1. Adds Content-Length, and "Connection: close" unless \p keepAlive.
std::string replyText(const http_reply &r, bool keepAlive, bool isHead);

} // namespace peridotwheel

#endif
