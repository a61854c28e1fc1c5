#ifndef PERIDOTWHEEL_BENCH_BARE_FANOUT_H
#define PERIDOTWHEEL_BENCH_BARE_FANOUT_H

#include "peridotwheel/http/http_message.h"
#include "peridotwheel/support/libevent_ptr.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace peridotwheel {

class libevent_loop;

/// One server that is asked for shards it holds.
struct fanout_target
{
    endpoint server;
    std::string shards; ///< As in `X-Shards`.
};

/// The baseline of the throughput experiment: plain evhttp requests to one server of each service,
/// with a fixed number of queries in flight and no policy, no checks and no merge.
class bare_fanout
{
public:
    /// \p targets holds one server per service; \p concurrency queries run at a time.
    bare_fanout(libevent_loop &loop, std::vector<fanout_target> targets, std::uint32_t concurrency);
    bare_fanout(const bare_fanout &) = delete;
    bare_fanout &operator=(const bare_fanout &) = delete;
    ~bare_fanout();

    void start();
    /// Ends after the queries in flight.
    void stop() { m_stopped = true; }
    std::uint64_t serverRequests() const { return m_serverRequests; }
    /// Replies that carried no results; must be none, or the baseline does less work.
    std::uint64_t failures() const { return m_failures; }

private:
    struct lane;

    void startQuery(lane &l);
    static void onReply(evhttp_request *req, void *arg);

    libevent_loop &m_loop;
    std::vector<fanout_target> m_targets;
    std::vector<std::unique_ptr<lane>> m_lanes;
    std::uint64_t m_serverRequests = 0;
    std::uint64_t m_failures = 0;
    bool m_stopped = false;
};

} // namespace peridotwheel

#endif
