#ifndef PERIDOTWHEEL_HTTP_HTTP_MESSAGE_H
#define PERIDOTWHEEL_HTTP_HTTP_MESSAGE_H

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace peridotwheel {

/// An IP address and a TCP port.
struct endpoint
{
    std::string address;
    std::uint16_t port = 0;

    friend bool operator==(const endpoint &a, const endpoint &b)
    {
        return a.port == b.port && a.address == b.address;
    }
    friend bool operator!=(const endpoint &a, const endpoint &b) { return !(a == b); }
    friend bool operator<(const endpoint &a, const endpoint &b)
    {
        return a.address != b.address ? a.address < b.address : a.port < b.port;
    }
};

enum class http_method { Get, Post, Put, Delete };

using http_headers = std::vector<std::pair<std::string, std::string>>;

/// Returns the value of the first header called \p name (case-insensitive), or null.
const std::string *findHeader(const http_headers &headers, std::string_view name);

struct http_request
{
    http_method method = http_method::Get;
    std::string path; ///< Path with query string, as on the wire.
    http_headers headers;
    std::string body;
    /// Requests share kept connections only with requests of the same lane. Replies without an id
    /// are matched to requests by their order, and a late second copy of one can be taken for the
    /// reply to a later request of its lane.
    std::string lane;
    /// Whether the connection is used for this request only, because no copy may be taken for its
    /// reply.
    bool isAlone = false;

    const std::string *header(std::string_view name) const { return findHeader(headers, name); }
};

struct http_reply
{
    int status = 0;
    http_headers headers;
    std::string body;

    const std::string *header(std::string_view name) const { return findHeader(headers, name); }
};

} // namespace peridotwheel

#endif
