// Costs of queries and connections.

#include "slope_engine.h"
#include "slope_list.h"

#include <stdexcept>

namespace peridotwheel {

namespace {

const std::vector<std::size_t> fanOuts{25, 50, 100, 200, 400};
constexpr std::size_t warmUpQueries = 50;
constexpr std::size_t measuredQueries = 400;

double queryCpu(std::size_t fanOut, std::uint64_t seed)
{
    constexpr std::size_t replicas = 3;
    engine_bench bench(fanOut * replicas, replicas, 4, seed);
    for (std::size_t i = 0; i < warmUpQueries; ++i)
        bench.query();
    const double cpu = cpuMicroseconds([&] {
        for (std::size_t i = 0; i < measuredQueries; ++i)
            bench.query();
    });
    if (bench.answered() != warmUpQueries + measuredQueries)
        throw std::runtime_error("not every query was answered in full");
    return cpu / measuredQueries;
}

/// The same requests on the same connections without an engine, to be subtracted.
double bareCpu(std::size_t fanOut)
{
    manual_loop loop;
    answering_connector connector(loop);
    std::vector<std::unique_ptr<http_connection>> connections;
    for (std::size_t i = 0; i < fanOut; ++i)
        connections.push_back(connector.open({}));
    std::size_t answered = 0;
    const double cpu = cpuMicroseconds([&] {
        for (std::size_t i = 0; i < measuredQueries; ++i) {
            for (std::size_t k = 0; k < fanOut; ++k) {
                const http_request r{http_method::Post,
                                     "/search",
                                     {{"X-Index-Version", "1"}, {"X-Shards", std::to_string(k)}},
                                     "title:compass"};
                connections[k]->send(r, seconds(1),
                                     [&](const http_outcome &o) { answered += o.ok() ? 1 : 0; });
            }
            loop.advance(milliseconds(15));
        }
    });
    return answered == fanOut * measuredQueries ? cpu / measuredQueries : 0;
}

double poolMemory(std::size_t limit, std::uint64_t seed)
{
    const double before = heapBytes();
    const engine_bench bench(100, 1, static_cast<std::uint32_t>(limit), seed);
    return (heapBytes() - before) / 100;
}

} // namespace

void addQuerySlopes(std::vector<slope> &list)
{
    list.push_back({"query-cpu", "servers per query", "microseconds per query", [](auto seed) {
                        return pointsAt(fanOuts, [=](auto n) { return queryCpu(n, seed); });
                    }});
    list.push_back({"query-cpu-fake", "servers per query",
                    "microseconds per query in the in-memory connections alone",
                    [](auto) { return pointsAt(fanOuts, bareCpu); }});
    list.push_back(
            {"pool-memory", "connections per server", "bytes per server, without transport",
             [](auto seed) {
                 return pointsAt({1, 4, 10, 25}, [=](auto n) { return poolMemory(n, seed); });
             }});
}

} // namespace peridotwheel
