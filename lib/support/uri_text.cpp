#include "peridotwheel/support/uri_text.h"

#include <cstdlib>
#include <event2/http.h>
#include <memory>

namespace peridotwheel {

std::string percentEncoded(std::string_view text)
{
    // evhttp allocates with malloc.
    const std::unique_ptr<char, decltype(&std::free)> encoded(
            evhttp_uriencode(text.data(), static_cast<ev_ssize_t>(text.size()), 0), &std::free);
    return encoded ? encoded.get() : "";
}

} // namespace peridotwheel
