#include "peridotwheel/gateway/route.h"

#include <algorithm>
#include <cctype>

namespace peridotwheel {

namespace {

std::string lowerCase(std::string_view text)
{
    std::string out(text);
    std::transform(out.begin(), out.end(), out.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return out;
}

std::string_view withoutPort(std::string_view host)
{
    const auto colon = host.rfind(':');
    return colon == std::string_view::npos ? host : host.substr(0, colon);
}

bool startsWith(std::string_view text, std::string_view prefix)
{
    return text.size() >= prefix.size() && text.compare(0, prefix.size(), prefix) == 0;
}

} // namespace

std::vector<service_name> servicesOf(const route &r)
{
    if (r.gather)
        return r.gather->shards;
    std::vector<service_name> out;
    out.reserve(r.services.size());
    for (const auto &part : r.services)
        out.push_back(part.service);
    return out;
}

route_table::route_table(route_configuration configuration)
    : m_configuration(std::move(configuration))
{
    for (const auto &r : m_configuration.routes)
        m_byHost[lowerCase(r->host)].push_back(r);
    for (auto &[host, routes] : m_byHost) {
        std::stable_sort(routes.begin(), routes.end(), [](const auto &a, const auto &b) {
            return a->prefix.size() > b->prefix.size();
        });
    }
}

route_ptr route_table::find(std::string_view host, std::string_view target) const
{
    auto it = m_byHost.find(lowerCase(host));
    if (it == m_byHost.end())
        it = m_byHost.find(lowerCase(withoutPort(host)));
    if (it == m_byHost.end())
        return nullptr;
    const std::string_view path = target.substr(0, target.find('?'));
    for (const auto &r : it->second) {
        if (startsWith(path, r->prefix))
            return r;
    }
    return nullptr;
}

const service_spec *route_table::service(const service_name &name) const
{
    const auto it = m_configuration.services.find(name);
    return it == m_configuration.services.end() ? nullptr : &it->second;
}

std::size_t weighted_round_robin::next(const std::vector<weighted_service> &parts)
{
    if (m_credit.size() != parts.size())
        m_credit.assign(parts.size(), 0.0);
    double total = 0;
    std::size_t best = 0;
    for (std::size_t i = 0; i < parts.size(); ++i) {
        m_credit[i] += parts[i].weight;
        total += parts[i].weight;
        if (m_credit[i] > m_credit[best])
            best = i;
    }
    m_credit[best] -= total;
    return best;
}

} // namespace peridotwheel
