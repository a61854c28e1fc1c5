#ifndef PERIDOTWHEEL_CTL_FLEET_CLIENT_H
#define PERIDOTWHEEL_CTL_FLEET_CLIENT_H

#include "peridotwheel/http/evhttp_connector.h"
#include "peridotwheel/http/http_client.h"
#include "peridotwheel/platform/http_platform_client.h"
#include "peridotwheel/support/libevent_loop.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace peridotwheel {

/// What one instance answered to a page request.
struct instance_page
{
    instance_id id;
    data_centre_id dataCentre;
    /// The page, or why there is none.
    std::optional<std::string> body;
    std::string problem;
};

/// Blocking access to the platform and to every instance of the fleet, for a command that runs
/// once.
///
/// Instances come from the platform's list, so operators name none. All pages are fetched at the
/// same time; an instance that does not answer is reported and does not delay the others beyond the
/// timeout.
class fleet_client
{
public:
    /// \p loop is run by each call until its answer has arrived.
    fleet_client(libevent_loop &loop, const endpoint &platform, duration timeout = seconds(2));

    platform_client &platform() { return m_platform; }
    event_loop &loop() { return m_loop; }

    /// Error: as `platform_client`.
    result<std::vector<member>> instances();
    /// One entry for each member, in the order given. A page that is not of the member itself,
    /// since another instance has taken over its address, counts as a problem; a member without an
    /// id may be any instance.
    std::vector<instance_page> fetch(const std::vector<member> &members, const std::string &path);

    /// Calls \p start with a hook and runs the loop until the hook is called.
    template <class T>
    result<T> await(const std::function<void(std::function<void(result<T>)>)> &start)
    {
        std::optional<result<T>> got;
        start([&](result<T> r) {
            got.emplace(std::move(r));
            m_loop.stop();
        });
        if (!got)
            m_loop.run();
        return std::move(*got);
    }

private:
    libevent_loop &m_loop;
    evhttp_connector m_connector;
    pooled_http_client m_http;
    http_platform_client m_platform;
    duration m_timeout;
};

} // namespace peridotwheel

#endif
