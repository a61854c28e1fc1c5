#ifndef PERIDOTWHEEL_HTTP_EVHTTP_MESSAGE_H
#define PERIDOTWHEEL_HTTP_EVHTTP_MESSAGE_H

#include "peridotwheel/http/http_message.h"
#include "peridotwheel/support/units.h"

#include <event2/http.h>
#include <event2/util.h>

struct evbuffer;
struct evkeyvalq;

namespace peridotwheel {

/// Conversions between evhttp's types and those of this library, shared by client and server.
evhttp_cmd_type toEvhttp(http_method method);
http_method fromEvhttp(evhttp_cmd_type method);
http_headers copyHeaders(evkeyvalq *from);
std::string copyBody(evbuffer *from);
void addHeaders(evkeyvalq *to, const http_headers &from);
timeval toTimeval(duration d);

} // namespace peridotwheel

#endif
