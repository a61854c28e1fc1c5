#ifndef PERIDOTWHEEL_LIB_GATEWAY_VIEW_EXCHANGE_H
#define PERIDOTWHEEL_LIB_GATEWAY_VIEW_EXCHANGE_H

#include "configuration_fetcher.h"
#include "configuration_source.h"
#include "link_share.h"
#include "member_sweeper.h"
#include "peridotwheel/gateway/cluster_view.h"
#include "peridotwheel/http/http_client.h"
#include "peridotwheel/http/stream_server.h"
#include "peridotwheel/membership/member.h"
#include "peridotwheel/support/random_source.h"
#include "report_aggregator.h"
#include "view_codec.h"
#include "view_compressor.h"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace peridotwheel {

class decision_log;
class instance_directory;

/// Functions through which the instances of a data centre share their measurements of servers.
struct report_hooks
{
    /// Returns what this instance measured since the last call.
    std::function<server_reports()> take;
    /// Receives the combined measurements of all instances of the data centre.
    std::function<void(const server_hints &hints)> onHints;
};

/// Functions through which instances share the list of evacuated data centres. Empty functions
/// where there are no evacuations.
struct evacuation_hooks
{
    std::function<std::optional<evacuation_list>()> list;
    std::function<void(const evacuation_list &)> merge;
    /// Called with whether this instance watches the store.
    std::function<void(bool watching)> setWatching;
    /// Called with the era of the store to which the known servers belong.
    std::function<void(store_era)> onStoreReturned;
};

struct view_exchange_options
{
    std::uint64_t seed = 0;
    /// Longest time from a change in the store until this instance applies it.
    duration applyWithin = seconds(3);
    /// Bandwidth of this instance's link.
    byte_rate link = byte_rate::fromMegabits(100);
};

/// Keeps the view of this instance current: by watching the store, or by requesting the view from
/// an instance of the same data centre that does, and from any other one while those do not answer
/// or have an old view themselves.
class view_exchange
{
public:
    view_exchange(event_loop &loop, cluster_view &view, instance_directory &directory,
                  http_client &http, decision_log &log, const view_exchange_options &options,
                  report_hooks reports, evacuation_hooks evacuations = {});
    view_exchange(const view_exchange &) = delete;
    view_exchange &operator=(const view_exchange &) = delete;
    ~view_exchange();

    void start();
    /// Sets the addresses to request the view from while no other members are known.
    void setSeeds(std::vector<endpoint> seeds) { m_seeds = std::move(seeds); }
    void setMembers(const member_map &members);
    /// Sets the hook that is called when another instance has replied.
    void setPeerHeardHook(std::function<void()> hook) { m_onPeerHeard = std::move(hook); }
    /// Replies to another instance's request for the view or for a part of the configuration.
    void handleRequest(const opaque_request &request, http_responder &client);

private:
    /// Replies with the view. If the requester's view is newer and the one here is stale, also
    /// requests the requester's view.
    void sendView(const view_position &position, http_responder &client);
    /// Fetches the requester's configuration if the one here has been older for long.
    void fetchIfBehind(const view_position &position);
    /// Leaves the lists out of \p view if this instance has no bandwidth to spare for them. The
    /// requester then asks another instance as well.
    void limitLists(view_snapshot &view);
    void sendConfiguration(const configuration_request &request, http_responder &client);
    void offerConfiguration();
    /// Returns whether a configuration and a list of servers are known.
    bool hasView() const;
    /// Returns the age of the view, or the time for which its configuration has been outdated.
    duration viewAge() const;
    void runCycle();
    /// Shows all watchers, once, that the list has a new instance.
    void announceSelf();
    void updateRole();
    void requestFromLocalWatcher();
    void requestFromOtherPeers();
    void requestView(const endpoint &to, bool isLocalWatcher);
    /// Requests the view of an instance whose own request showed that it is ahead.
    void requestViewBack(const endpoint &requester);
    /// Sends \p target a view request only to learn whether it answers; ignores the content of the
    /// reply.
    void probe(const member &target, std::function<void(bool answered)> done);
    /// Returns a view request. Measurements are included only in requests within the data centre,
    /// so that they cause no traffic between data centres.
    http_request makeRequest(object_version known, std::optional<server_reports> reports) const;
    /// Returns the revision from which to request changes of the servers; 0 requests the full list.
    object_version nextBaseRevision();
    void poolOwnReports();
    void onReply(const endpoint &from, bool isLocalWatcher, duration waited,
                 const http_outcome &outcome);
    endpoint pickRandom(const std::vector<endpoint> &from);

    event_loop &m_loop;
    cluster_view &m_view;
    instance_directory &m_directory;
    http_client &m_http;
    decision_log &m_log;
    random_source m_random;
    member m_self;
    duration m_freshAge;
    duration m_staleAge;
    time_point m_startedAt;
    std::vector<endpoint> m_seeds;
    member_map m_members;
    bool m_isAnnounced = false;
    bool m_hasMembers = false;
    /// Watchers of this data centre, watchers of the others, and all other instances.
    std::vector<endpoint> m_localWatchers;
    std::vector<endpoint> m_remoteWatchers;
    std::vector<endpoint> m_otherInstances;
    std::size_t m_nextLocalWatcher = 0;
    int m_requestsInFlight = 0;
    time_point m_nextRequestBack{};
    time_point m_nextFullView{};
    bool m_localWatcherFails = false;
    member_sweeper m_sweeper;
    view_compressor m_compressor;
    /// Bandwidth for compressed lists.
    link_share m_listLink;
    configuration_source m_configurationSource;
    configuration_fetcher m_configurationFetcher;
    /// Newest version in force at a requester, and since when the one here is older.
    configuration_version m_newestRequested;
    time_point m_behindSince{};
    report_hooks m_reports;
    evacuation_hooks m_evacuations;
    std::function<void()> m_onPeerHeard;
    report_aggregator m_reportPool;
    timer m_timer;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

} // namespace peridotwheel

#endif
