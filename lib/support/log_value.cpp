#include "peridotwheel/support/log_value.h"

#include <algorithm>
#include <cctype>

namespace peridotwheel {

std::string logValue(const std::string &value)
{
    const bool isPlain =
            !value.empty() && std::all_of(value.begin(), value.end(), [](unsigned char c) {
                return std::isgraph(c) != 0 && c != '"' && c != '=';
            });
    if (isPlain)
        return value;
    std::string out = "\"";
    for (const char c : value) {
        if (c == '"' || c == '\\')
            out += '\\';
        out += std::iscntrl(static_cast<unsigned char>(c)) != 0 ? ' ' : c;
    }
    return out + "\"";
}

} // namespace peridotwheel
