#include "backend_server.h"

#include <algorithm>

namespace peridotwheel {

namespace {

constexpr double serviceAverageWeight = 0.02;
/// Stragglers count as this many averages; a lasting slowdown still shows within a second.
constexpr double outlierFactor = 4.0;
/// 2% per second at ten calls a second.
constexpr double floorRise = 1.002;
/// A server counts as cold until it has answered this many attempts.
constexpr std::uint64_t coldReplies = 20;
/// Log-normal service times with usual queueing stay below; shorter patience takes ordinary
/// variation for silence.
constexpr duration leastPatience = milliseconds(40);
constexpr duration patienceMargin = milliseconds(10);
constexpr double patienceFactor = 2.5;

} // namespace

void service_stats::add(duration sample)
{
    latency.add(sample);
    auto value = static_cast<double>(sample.count());
    if (average > 0)
        value = std::min(value, average * outlierFactor);
    average = average == 0 ? value : average + serviceAverageWeight * (value - average);
    floor = floor == 0 ? average : std::min(floor, average);
}

void service_stats::raiseFloor()
{
    floor = std::min(floor * floorRise, average);
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
    return stats.replies() < coldReplies;
}

std::uint32_t backend_server::limit() const
{
    return std::min(limiter.limit(), pool.allowedConnections());
}

duration backend_server::patience(time_point now) const
{
    const double expected = toMilliseconds(stats.expectedLatency(now));
    const duration usual =
            std::max(leastPatience, fromMilliseconds(expected * patienceFactor) + patienceMargin);
    // A single late attempt is more likely a straggler; a second one soon shows which it is.
    return stats.inFlight() > 1 ? usual : 2 * usual;
}

void backend_server::applyShare(std::uint32_t share)
{
    limiter.setMaximum(share);
    pool.setShare(share);
    pool.setMaxInFlight(limiter.limit());
}

void backend_server::stopWork()
{
    leaving = true;
    pool.close();
    pool.returnWaiting();
}

} // namespace peridotwheel
