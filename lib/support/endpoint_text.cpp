#include "peridotwheel/support/endpoint_text.h"

#include <arpa/inet.h>
#include <array>
#include <event2/util.h>

namespace peridotwheel {

std::optional<endpoint> parseListenAddress(const std::string &text)
{
    sockaddr_storage storage{};
    int length = sizeof storage;
    if (evutil_parse_sockaddr_port(text.c_str(), reinterpret_cast<sockaddr *>(&storage), &length) !=
        0)
        return std::nullopt;
    std::array<char, INET6_ADDRSTRLEN> address{};
    std::uint16_t port = 0;
    if (storage.ss_family == AF_INET) {
        const auto &v4 = reinterpret_cast<const sockaddr_in &>(storage);
        inet_ntop(AF_INET, &v4.sin_addr, address.data(), address.size());
        port = ntohs(v4.sin_port);
    } else {
        const auto &v6 = reinterpret_cast<const sockaddr_in6 &>(storage);
        inet_ntop(AF_INET6, &v6.sin6_addr, address.data(), address.size());
        port = ntohs(v6.sin6_port);
    }
    return endpoint{address.data(), port};
}

std::optional<endpoint> parseEndpoint(const std::string &text)
{
    const auto parsed = parseListenAddress(text);
    return parsed && parsed->port != 0 ? parsed : std::nullopt;
}

std::string endpointText(const endpoint &e)
{
    const bool isV6 = e.address.find(':') != std::string::npos;
    return (isV6 ? "[" + e.address + "]" : e.address) + ":" + std::to_string(e.port);
}

} // namespace peridotwheel
