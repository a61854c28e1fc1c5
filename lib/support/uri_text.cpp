#include "peridotwheel/support/uri_text.h"

#include <cstdlib>
#include <event2/http.h>
#include <memory>

namespace peridotwheel {

namespace {

/// Text from evhttp, which allocates with malloc.
using evhttp_text = std::unique_ptr<char, decltype(&std::free)>;

} // namespace

std::string percentEncoded(std::string_view text)
{
    const evhttp_text encoded(
            evhttp_uriencode(text.data(), static_cast<ev_ssize_t>(text.size()), 0), &std::free);
    return encoded ? encoded.get() : "";
}

std::string percentDecoded(std::string_view text, uri_part part)
{
    std::size_t size = 0;
    const int decodePlus = part == uri_part::Query ? 1 : 0;
    const evhttp_text decoded(evhttp_uridecode(std::string(text).c_str(), decodePlus, &size),
                              &std::free);
    return decoded ? std::string(decoded.get(), size) : "";
}

} // namespace peridotwheel
