#include "peridotwheel/http/http_message.h"

#include <strings.h>

namespace peridotwheel {

const std::string *findHeader(const http_headers &headers, std::string_view name)
{
    for (const auto &[key, value] : headers) {
        if (key.size() == name.size() && strncasecmp(key.data(), name.data(), name.size()) == 0)
            return &value;
    }
    return nullptr;
}

} // namespace peridotwheel
