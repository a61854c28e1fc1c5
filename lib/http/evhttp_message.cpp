#include "evhttp_message.h"

#include <algorithm>
#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>

namespace peridotwheel {

evhttp_cmd_type toEvhttp(http_method method)
{
    switch (method) {
    case http_method::Get:
        return EVHTTP_REQ_GET;
    case http_method::Post:
        return EVHTTP_REQ_POST;
    case http_method::Put:
        return EVHTTP_REQ_PUT;
    case http_method::Delete:
        return EVHTTP_REQ_DELETE;
    }
    return EVHTTP_REQ_GET;
}

http_method fromEvhttp(evhttp_cmd_type method)
{
    switch (method) {
    case EVHTTP_REQ_POST:
        return http_method::Post;
    case EVHTTP_REQ_PUT:
        return http_method::Put;
    case EVHTTP_REQ_DELETE:
        return http_method::Delete;
    default:
        return http_method::Get;
    }
}

http_headers copyHeaders(evkeyvalq *from)
{
    http_headers out;
    // Enough for the replies of backend servers, so that the vector allocates only once.
    constexpr std::size_t typicalHeaderCount = 12;
    out.reserve(typicalHeaderCount);
    for (const evkeyval *h = from->tqh_first; h != nullptr; h = h->next.tqe_next)
        out.emplace_back(h->key, h->value);
    return out;
}

std::string copyBody(evbuffer *from)
{
    const std::size_t size = evbuffer_get_length(from);
    // Most replies are contiguous in the buffer and can be copied without zero-filling the string
    // first.
    if (size == 0 || evbuffer_get_contiguous_space(from) >= size)
        return size == 0 ? std::string()
                         : std::string(reinterpret_cast<const char *>(evbuffer_pullup(from, -1)),
                                       size);
    std::string out(size, '\0');
    evbuffer_copyout(from, out.data(), size);
    return out;
}

void addHeaders(evkeyvalq *to, const http_headers &from)
{
    for (const auto &[key, value] : from)
        evhttp_add_header(to, key.c_str(), value.c_str());
}

timeval toTimeval(duration d)
{
    // evhttp treats a zero timeval as "no timeout".
    const auto us = std::max<duration::rep>(d.count(), 1);
    timeval tv{};
    tv.tv_sec = static_cast<decltype(tv.tv_sec)>(us / 1000000);
    tv.tv_usec = static_cast<decltype(tv.tv_usec)>(us % 1000000);
    return tv;
}

} // namespace peridotwheel
