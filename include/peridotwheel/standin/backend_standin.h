#ifndef PERIDOTWHEEL_STANDIN_BACKEND_STANDIN_H
#define PERIDOTWHEEL_STANDIN_BACKEND_STANDIN_H

#include "peridotwheel/http/http_message.h"
#include "peridotwheel/standin/fault_plan.h"
#include "peridotwheel/support/error.h"
#include "peridotwheel/support/ids.h"
#include "peridotwheel/support/units.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace peridotwheel {

class libevent_loop;

struct backend_config
{
    server_id id;
    start_id start;
    service_name service;
    bool sharded = true;
    data_centre_id dataCentre;
    /// Port 0 lets the system choose.
    endpoint address;
    /// Connections beyond it are closed at once.
    std::uint32_t connectionLimit = 25;
    std::uint32_t workers = 4;
    /// Requests that wait for a worker beyond this number are shed.
    std::size_t queueLimit = 64;
    /// Service times are log-normal; a mean of zero answers at once, without a worker.
    duration serviceTimeMean = milliseconds(10);
    double serviceTimeDeviation = 0.3; ///< Relative to the mean.
    /// One-way delay of requests from another data centre and of their replies.
    duration remoteDelay = milliseconds(10);
    /// Age of the figures in `/load`, and of a drain before `/health` shows it.
    duration reportLag = milliseconds(500);
    /// Shards held by index version. The two latest versions are kept.
    std::map<index_version, std::vector<shard_id>> versions;
    std::uint64_t seed = 1;
};

/// Sums over the life of one server, or of several.
struct backend_counters
{
    std::uint64_t received = 0; ///< `/search` and `/run` requests.
    std::uint64_t executed = 0; ///< Requests that a worker began.
    std::uint64_t cancelled = 0;
    std::uint64_t shed = 0;
    std::uint64_t expired = 0;
    std::uint64_t versionNotHeld = 0;
    std::uint64_t refusedConnections = 0;
    std::uint64_t openConnections = 0;
    std::uint64_t peakConnections = 0; ///< The largest of any one server.
    /// Requests received after `drainStart`, and when (bounded, see `maxDrainTimes`).
    std::uint64_t receivedAfterDrain = 0;
    std::vector<time_point> receivedAfterDrainAt;
    time_point drainStart{}; ///< Of the latest drain; unset if none.
    /// Executions of `/run` by `X-Request-Id`.
    std::map<std::string, std::uint32_t> runs;

    static constexpr std::size_t maxDrainTimes = 10000;

    void add(const backend_counters &other);
};

/// A simulated backend server: workers and a queue by timers, and faults on demand. It contains no
/// policy. All members are used on the loop's thread.
///
/// `X-Deadline-Ms` is the time left in milliseconds when the request is sent. `X-Attempt` is an
/// opaque text that must differ between instances, since `/cancel` finds a request by it alone.
/// Requests for `/run` name themselves by `X-Request-Id`. `X-Load` is the number of running and
/// waiting requests per worker.
class backend_standin
{
public:
    backend_standin(libevent_loop &loop, backend_config config);
    backend_standin(const backend_standin &) = delete;
    backend_standin &operator=(const backend_standin &) = delete;
    ~backend_standin();

    result<void> start();
    /// The address in use, with the port that the system chose.
    const endpoint &address() const;
    const backend_config &config() const;

    const fault_plan &faults() const;
    void setFaults(const fault_plan &plan);
    /// Holds \p shards as \p version and gives up the oldest of three versions.
    void addVersion(index_version version, std::vector<shard_id> shards);
    /// Ends all requests and connections and begins anew as \p start, cold for \p coldReplies.
    void restart(start_id start, std::uint32_t coldReplies);

    backend_counters counters();

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace peridotwheel

#endif
