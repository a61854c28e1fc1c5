#ifndef PERIDOTWHEEL_LIB_GATEWAY_CONFIGURATION_FETCHER_H
#define PERIDOTWHEEL_LIB_GATEWAY_CONFIGURATION_FETCHER_H

#include "configuration_document.h"
#include "peridotwheel/http/http_client.h"
#include "peridotwheel/support/event_loop.h"
#include "peridotwheel/support/random_source.h"

#include <deque>
#include <functional>
#include <memory>
#include <optional>

namespace peridotwheel {

class decision_log;

/// Path of the requests for chunks of a configuration.
constexpr const char *configurationPath = "/peer/configuration";

struct configuration_fetcher_hooks
{
    /// Returns the version in force at this instance.
    std::function<configuration_version()> known;
    /// Receives a fetched document and the store object that it holds.
    std::function<void(configuration_document document, const platform_object &object,
                       const endpoint &source)>
            onDocument;
};

/// Fetches newer configurations from other instances, one chunk at a time.
///
/// There is one request in flight whatever the number of instances that offer a newer version, and
/// a chunk that was received is not requested again when its sender fails.
class configuration_fetcher
{
public:
    /// \p kind is the kind of the fetched store objects, and \p self the address of this instance.
    configuration_fetcher(event_loop &loop, http_client &http, decision_log &log, std::string kind,
                          endpoint self, std::uint64_t seed, configuration_fetcher_hooks hooks);
    configuration_fetcher(const configuration_fetcher &) = delete;
    configuration_fetcher &operator=(const configuration_fetcher &) = delete;
    ~configuration_fetcher();

    /// Notes that the instance at \p source has \p version, and fetches it if it is newer.
    void announce(configuration_version version, const endpoint &source);
    /// Returns how long a newer version has been known that is not in force here.
    duration behindFor() const;

private:
    bool isNewer(configuration_version version) const;
    bool isOutdated() const { return isNewer(m_newest); }
    void addSource(const endpoint &source);
    void dropFirstSource();
    void continueFetching();
    void requestChunk();
    void onOutcome(const endpoint &from, const http_outcome &outcome);
    void onReply(const endpoint &from, configuration_reply reply);
    void onBusySource();
    void finish(const endpoint &from);
    void discard();

    event_loop &m_loop;
    http_client &m_http;
    decision_log &m_log;
    std::string m_kind;
    endpoint m_self;
    random_source m_random;
    configuration_fetcher_hooks m_hooks;
    /// Newest version that another instance has, and when this instance learned of a newer one
    /// than its own.
    configuration_version m_newest;
    time_point m_behindSince{};
    /// Newest version that was fetched, whether or not it could be put into force.
    configuration_version m_fetched;
    /// Instances with a newer version; the first one is asked next.
    std::deque<endpoint> m_sources;
    /// Sources that had no bandwidth to spare since the last chunk arrived.
    std::size_t m_busySources = 0;
    configuration_document m_document;
    std::size_t m_documentBytes = 0;
    bool m_inFlight = false;
    timer m_retry;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

} // namespace peridotwheel

#endif
