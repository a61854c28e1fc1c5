#ifndef PERIDOTWHEEL_PLATFORM_HTTP_PLATFORM_CLIENT_H
#define PERIDOTWHEEL_PLATFORM_HTTP_PLATFORM_CLIENT_H

#include "peridotwheel/http/http_client.h"
#include "peridotwheel/platform/platform_client.h"

namespace peridotwheel {

struct http_platform_options
{
    endpoint platform;
    data_centre_id dataCentre;
    /// The platform can be slow for long periods. A shorter timeout would turn slow writes into
    /// writes with an unknown outcome.
    duration timeout = seconds(2);
    /// How much longer than the requested wait a watch may take before it times out.
    duration watchMargin = seconds(2);
    /// Called once for each list of which malformed entries were left out, with their number and
    /// the reason of the first one.
    std::function<void(std::size_t count, const std::string &reason)> onEntriesSkipped;
};

/// Calls the platform's object API over HTTP. Replies are untrusted: a reply that does not parse is
/// an error, and malformed entries of a list are left out.
class http_platform_client : public platform_client
{
public:
    /// Called after each call with whether the platform answered it with a status below 500.
    using health_hook = std::function<void(bool answered)>;

    http_platform_client(http_client &http, http_platform_options options,
                         health_hook onHealth = nullptr);
    ~http_platform_client() override;

    void setHealthHook(health_hook onHealth);

    void get(const object_key &key, hook<platform_object> done) override;
    void put(const object_key &key, const std::string &value, write_condition condition,
             hook<object_version> done) override;
    void remove(const object_key &key, object_version version, hook<void> done) override;
    void list(const std::string &kind, hook<watch_result> done) override;
    void watch(const std::string &kind, object_version since, duration wait,
               hook<watch_result> done) override;
    void instances(hook<instance_list> done) override;

private:
    struct shared;
    using reply_hook = std::function<void(const http_outcome &)>;

    void send(http_method method, std::string path, http_headers headers, std::string body,
              duration timeout, reply_hook done);

    http_client &m_http;
    http_platform_options m_options;
    /// Calls in flight hold a weak reference, so replies after the client's destruction are
    /// ignored.
    std::shared_ptr<shared> m_shared;
};

} // namespace peridotwheel

#endif
