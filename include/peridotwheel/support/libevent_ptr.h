#ifndef PERIDOTWHEEL_SUPPORT_LIBEVENT_PTR_H
#define PERIDOTWHEEL_SUPPORT_LIBEVENT_PTR_H

#include <memory>

struct event;
struct event_base;
struct evhttp;
struct evhttp_connection;
struct evhttp_request;
struct evbuffer;

namespace peridotwheel {

/// Frees each type of libevent object that this project owns through a smart pointer.
struct libevent_deleter
{
    void operator()(event *e) const;
    void operator()(event_base *b) const;
    void operator()(evhttp *h) const;
    void operator()(evhttp_connection *c) const;
    void operator()(evbuffer *b) const;
};

using event_ptr = std::unique_ptr<event, libevent_deleter>;
using event_base_ptr = std::unique_ptr<event_base, libevent_deleter>;
using evhttp_ptr = std::unique_ptr<evhttp, libevent_deleter>;
using evhttp_connection_ptr = std::unique_ptr<evhttp_connection, libevent_deleter>;
using evbuffer_ptr = std::unique_ptr<evbuffer, libevent_deleter>;

} // namespace peridotwheel

#endif
