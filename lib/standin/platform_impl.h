#ifndef PERIDOTWHEEL_LIB_STANDIN_PLATFORM_IMPL_H
#define PERIDOTWHEEL_LIB_STANDIN_PLATFORM_IMPL_H

#include "object_store.h"
#include "peridotwheel/http/http_server.h"
#include "peridotwheel/standin/platform_standin.h"
#include "peridotwheel/support/libevent_loop.h"
#include "peridotwheel/support/random_source.h"

#include <deque>
#include <list>
#include <optional>
#include <vector>

namespace peridotwheel {

class platform_standin::impl
{
public:
    impl(libevent_loop &loop, platform_config config);

    result<void> start();
    endpoint address() const;
    const platform_faults &faults() const { return m_faults; }
    void setFaults(const platform_faults &faults);
    const platform_counters &counters() const { return m_counters; }
    std::uint64_t put(const std::string &kind, const std::string &name, const std::string &value);
    void remove(const std::string &kind, const std::string &name);

private:
    using responder_ptr = std::shared_ptr<http_responder>;

    /// A request that waits: a watch, or one that an added delay holds back.
    struct waiting
    {
        responder_ptr out;
        data_centre_id from;
        std::string kind;
        std::uint64_t since = 0;
        timer due;
    };
    using waiting_list = std::list<waiting>;

    /// A registration or removal that the instance list does not show yet.
    struct pending_listing
    {
        time_point due;
        std::string kind;
        std::string name;
        std::optional<std::string> value;
    };

    void onRequest(const http_request &request, responder_ptr out);
    void serve(const http_request &request, const responder_ptr &out);
    bool unreachable(const data_centre_id &from) const;
    void meetOutage(responder_ptr out);

    void onObject(const http_request &request, const std::string &kind, const std::string &name,
                  const responder_ptr &out);
    void onWrite(const http_request &request, const std::string &kind, const std::string &name,
                 const responder_ptr &out);
    void replyWritten(const std::string &kind, std::uint64_t version, const responder_ptr &out);
    void onList(const std::string &kind, const responder_ptr &out);
    void onInstances(const responder_ptr &out);
    void onWatch(const http_request &request, const std::string &kind, const responder_ptr &out);
    std::string changesJson(const std::string &kind, std::uint64_t since) const;
    void noteChange(const std::string &kind, const std::string &name,
                    std::optional<std::string> value);

    libevent_loop &m_loop;
    platform_config m_config;
    platform_faults m_faults;
    platform_counters m_counters;
    random_source m_random;
    object_store m_store;
    std::deque<pending_listing> m_unlisted;
    std::map<std::string, std::map<std::string, std::string>> m_listed;
    waiting_list m_watches;
    waiting_list m_delayed;
    std::vector<responder_ptr> m_unanswered;
    http_server m_server;
};

} // namespace peridotwheel

#endif
