#include "peridotwheel/ctl/fleet_client.h"

#include <iostream>
#include <nlohmann/json.hpp>

namespace peridotwheel {

namespace {

http_platform_options platformOptions(const endpoint &platform, duration timeout)
{
    http_platform_options options;
    options.platform = platform;
    options.timeout = timeout;
    options.onEntriesSkipped = [](std::size_t count, const std::string &reason) {
        std::cerr << "warning: " << count << " malformed entries of the platform's list are left "
                  << "out, the first because of " << reason << "\n";
    };
    return options;
}

std::string describe(const http_outcome &outcome)
{
    if (outcome.failure == transport_failure::NotSent)
        return "connection refused";
    if (outcome.failure == transport_failure::MayHaveRun)
        return "no reply";
    return "HTTP status " + std::to_string(outcome.reply.status);
}

/// Why \p body is not the page of \p id, or nothing if it is.
std::string problemWith(const std::string &body, const instance_id &id)
{
    const auto page = nlohmann::json::parse(body, nullptr, false);
    if (!page.is_object())
        return "the page is not JSON";
    // The timeline's page names processes, of which instances are one kind.
    const auto name = page.find(page.contains("instance") ? "instance" : "process");
    if (name == page.end() || !name->is_string())
        return "the page names no instance";
    if (!id.value().empty() && name->get<std::string>() != id.value())
        return "its address now belongs to " + name->get<std::string>();
    return "";
}

} // namespace

fleet_client::fleet_client(libevent_loop &loop, const endpoint &platform, duration timeout)
    : m_loop(loop)
    , m_connector(m_loop)
    , m_http(m_connector)
    , m_platform(m_http, platformOptions(platform, timeout))
    , m_timeout(timeout)
{
}

result<std::vector<member>> fleet_client::instances()
{
    auto list = await<instance_list>([this](auto done) { m_platform.instances(std::move(done)); });
    if (!list)
        return list.error();
    return std::move(list.value().instances);
}

std::vector<instance_page> fleet_client::fetch(const std::vector<member> &members,
                                               const std::string &path)
{
    std::vector<instance_page> pages(members.size());
    std::size_t open = members.size();
    for (std::size_t i = 0; i < members.size(); ++i) {
        pages[i].id = members[i].id;
        pages[i].dataCentre = members[i].dataCentre;
        m_http.send(members[i].operators, {http_method::Get, path, {}, ""}, m_timeout,
                    [&, i](http_outcome outcome) {
                        const bool ok = outcome.ok() && outcome.reply.status == 200;
                        pages[i].problem = ok ? problemWith(outcome.reply.body, pages[i].id)
                                              : describe(outcome);
                        if (pages[i].problem.empty())
                            pages[i].body = std::move(outcome.reply.body);
                        if (--open == 0)
                            m_loop.stop();
                    });
    }
    if (open != 0)
        m_loop.run();
    return pages;
}

} // namespace peridotwheel
