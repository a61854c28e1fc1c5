#include "reply_text.h"

#include <http_parser.h>

namespace peridotwheel {

namespace {

/// Returns true for a status whose replies have neither a body nor a Content-Length.
bool isBodiless(int status)
{
    constexpr int firstFinal = 200;
    constexpr int noContent = 204;
    constexpr int notModified = 304;
    return status < firstFinal || status == noContent || status == notModified;
}

} // namespace

const char *reasonPhrase(int status)
{
    switch (status) {
#define PERIDOTWHEEL_REASON(code, name, text)                                                      \
    case code:                                                                                     \
        return #text;
        HTTP_STATUS_MAP(PERIDOTWHEEL_REASON)
#undef PERIDOTWHEEL_REASON
    default:
        return "Unknown";
    }
}

std::string replyText(const http_reply &r, bool keepAlive, bool isHead)
{
    std::string out;
    constexpr std::size_t typicalHeadBytes = 256;
    out.reserve(typicalHeadBytes + r.body.size());
    out += "HTTP/1.1 ";
    out += std::to_string(r.status);
    out += ' ';
    out += reasonPhrase(r.status);
    out += "\r\n";
    for (const auto &[name, value] : r.headers) {
        out += name;
        out += ": ";
        out += value;
        out += "\r\n";
    }
    if (!isBodiless(r.status)) {
        out += "Content-Length: ";
        out += std::to_string(r.body.size());
        out += "\r\n";
    }
    if (!keepAlive)
        out += "Connection: close\r\n";
    out += "\r\n";
    if (!isHead && !isBodiless(r.status))
        out += r.body;
    return out;
}

} // namespace peridotwheel
