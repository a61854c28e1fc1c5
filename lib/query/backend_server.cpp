#include "backend_server.h"

#include <algorithm>

namespace peridotwheel {

namespace {

constexpr double serviceAverageWeight = 0.02;
/// A sample counts as at most this many averages, so that stragglers have little influence; a
/// lasting slowdown still shows within a second.
constexpr double outlierFactor = 4.0;
/// Raises the floor by 2% per second at ten calls a second.
constexpr double floorRisePerCall = 1.002;
/// A server counts as cold until it has sent this many replies.
constexpr std::uint64_t warmUpReplies = 20;
/// Log-normal service times with ordinary queueing stay below this silence timeout. A shorter one
/// would take their normal variation for silence.
constexpr duration minSilenceTimeout = milliseconds(40);
constexpr duration silenceTimeoutMargin = milliseconds(10);
constexpr double silenceTimeoutFactor = 2.5;

} // namespace

void service_stats::add(duration sample)
{
    latency.add(sample);
    auto value = static_cast<double>(sample.count());
    if (averageUs > 0)
        value = std::min(value, averageUs * outlierFactor);
    averageUs = averageUs == 0 ? value : averageUs + serviceAverageWeight * (value - averageUs);
    floorUs = floorUs == 0 ? averageUs : std::min(floorUs, averageUs);
}

void service_stats::raiseFloor()
{
    floorUs = std::min(floorUs * floorRisePerCall, averageUs);
}

backend_server::backend_server(event_loop &loop, http_connector &connector, server_record r,
                               service_stats &s, duration prior)
    : record(std::move(r))
    , service(s)
    , stats(prior, loop.now())
    , limiter(1)
    , pool(loop, connector, record.address)
{
}

bool backend_server::cold() const
{
    return stats.replies() < warmUpReplies;
}

std::uint32_t backend_server::limit() const
{
    return std::min(limiter.limit(), pool.allowedConnections());
}

duration backend_server::silenceTimeout(time_point now) const
{
    const double expected = toMilliseconds(stats.expectedLatency(now));
    const duration usual =
            std::max(minSilenceTimeout,
                     fromMilliseconds(expected * silenceTimeoutFactor) + silenceTimeoutMargin);
    // A single late attempt is more likely a straggler than a silent server and gets twice the
    // time; as soon as there is a second one, its reply or silence shows which it is.
    return stats.inFlight() > 1 ? usual : 2 * usual;
}

void backend_server::applyConnectionShare(std::uint32_t share)
{
    limiter.setMaximum(share);
    pool.setShare(share);
    pool.setMaxInFlight(limiter.limit());
}

void backend_server::startDraining()
{
    leaving = true;
    pool.close();
    pool.returnWaiting();
}

} // namespace peridotwheel
