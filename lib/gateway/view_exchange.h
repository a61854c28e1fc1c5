#ifndef PERIDOTWHEEL_LIB_GATEWAY_VIEW_EXCHANGE_H
#define PERIDOTWHEEL_LIB_GATEWAY_VIEW_EXCHANGE_H

#include "member_sweeper.h"
#include "peridotwheel/gateway/cluster_view.h"
#include "peridotwheel/http/http_client.h"
#include "peridotwheel/http/stream_server.h"
#include "peridotwheel/membership/member.h"
#include "peridotwheel/support/random_source.h"
#include "report_aggregator.h"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace peridotwheel {

class decision_log;
class instance_directory;

/// Measurements of servers, which instances of a data centre share with each other.
struct report_hooks
{
    /// What this instance measured since the last call.
    std::function<server_reports()> take;
    /// What all instances of the data centre measured.
    std::function<void(const server_hints &hints)> onHints;
};

/// Keeps the view of this instance fresh: by watching the store, or by asking an instance of the
/// same data centre that does, or any other one while those do not answer.
class view_exchange
{
public:
    /// \p applyWithin bounds the time from a change in the store to its being in force here.
    view_exchange(event_loop &loop, cluster_view &view, instance_directory &directory,
                  http_client &http, decision_log &log, std::uint64_t seed, duration applyWithin,
                  report_hooks reports);
    view_exchange(const view_exchange &) = delete;
    view_exchange &operator=(const view_exchange &) = delete;
    ~view_exchange();

    void start();
    /// Addresses to ask before the members are known.
    void setSeeds(std::vector<endpoint> seeds) { m_seeds = std::move(seeds); }
    void setMembers(const member_map &members);
    /// Gives the view to an instance that asks, and asks back where that one knows more.
    void answer(const opaque_request &request, http_responder &client);

private:
    void step();
    void decideDuty();
    void askHome();
    void askElsewhere();
    void ask(const endpoint &to, bool isHome);
    /// Asks \p target like `ask`, but only for a sign of life.
    void probe(const member &target, std::function<void(bool answered)> done);
    /// Measurements go along only within the data centre: no bytes leave it for them.
    http_request question(object_version known, std::optional<server_reports> reports) const;
    /// The revision to ask for changes from; 0 for all servers.
    object_version knownServers();
    void shareReports();
    void onReply(const endpoint &from, bool isHome, const http_outcome &outcome);
    endpoint pick(const std::vector<endpoint> &from);

    event_loop &m_loop;
    cluster_view &m_view;
    instance_directory &m_directory;
    http_client &m_http;
    decision_log &m_log;
    random_source m_random;
    member m_self;
    duration m_freshFor;
    duration m_staleAfter;
    time_point m_startedAt;
    std::vector<endpoint> m_seeds;
    member_map m_members;
    bool m_knowsMembers = false;
    /// Watchers of the own data centre, those of others, and everybody else.
    std::vector<endpoint> m_homeWatchers;
    std::vector<endpoint> m_otherWatchers;
    std::vector<endpoint> m_everybody;
    std::size_t m_turn = 0;
    int m_unanswered = 0;
    time_point m_nextFullView{};
    bool m_homeFails = false;
    member_sweeper m_sweeper;
    report_hooks m_reports;
    report_aggregator m_pool;
    timer m_timer;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

} // namespace peridotwheel

#endif
