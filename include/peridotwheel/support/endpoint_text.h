#ifndef PERIDOTWHEEL_SUPPORT_ENDPOINT_TEXT_H
#define PERIDOTWHEEL_SUPPORT_ENDPOINT_TEXT_H

#include "peridotwheel/http/http_message.h"

#include <optional>
#include <string>

namespace peridotwheel {

/// Parses "10.0.0.7:8080" or "[::1]:8080". Returns no value if \p text is not a numeric address
/// with a port other than zero.
std::optional<endpoint> parseEndpoint(const std::string &text);

/// Like `parseEndpoint`, but accepts port zero, which lets the system choose a port to listen on.
std::optional<endpoint> parseListenAddress(const std::string &text);

/// Formats \p e as `parseEndpoint` accepts it.
std::string endpointText(const endpoint &e);

} // namespace peridotwheel

#endif
