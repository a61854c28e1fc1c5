#include "platform_path.h"

#include "peridotwheel/support/uri_text.h"

#include <cstdlib>
#include <string_view>

namespace peridotwheel {

std::uint64_t queryNumber(const std::string &path, const std::string &name, std::uint64_t fallback)
{
    const auto start = path.find('?');
    if (start == std::string::npos)
        return fallback;
    const std::string query = "&" + path.substr(start + 1);
    const auto at = query.find("&" + name + "=");
    if (at == std::string::npos)
        return fallback;
    return std::strtoull(query.c_str() + at + name.size() + 2, nullptr, 10);
}

std::vector<std::string> pathParts(const std::string &path)
{
    std::string_view rest(path);
    rest = rest.substr(0, rest.find('?'));
    std::vector<std::string> parts;
    while (!rest.empty()) {
        rest.remove_prefix(1);
        const auto slash = parts.size() < 2 ? rest.find('/') : std::string_view::npos;
        parts.push_back(percentDecoded(rest.substr(0, slash), uri_part::Path));
        rest = slash == std::string_view::npos ? std::string_view() : rest.substr(slash);
    }
    return parts;
}

} // namespace peridotwheel
