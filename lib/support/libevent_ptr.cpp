#include "peridotwheel/support/libevent_ptr.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>

namespace peridotwheel {

void libevent_deleter::operator()(event *e) const
{
    event_free(e);
}

void libevent_deleter::operator()(event_base *b) const
{
    event_base_free(b);
}

void libevent_deleter::operator()(evhttp *h) const
{
    evhttp_free(h);
}

void libevent_deleter::operator()(evhttp_connection *c) const
{
    evhttp_connection_free(c);
}

void libevent_deleter::operator()(evbuffer *b) const
{
    evbuffer_free(b);
}

} // namespace peridotwheel
