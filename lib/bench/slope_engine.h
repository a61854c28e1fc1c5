#ifndef PERIDOTWHEEL_LIB_BENCH_SLOPE_ENGINE_H
#define PERIDOTWHEEL_LIB_BENCH_SLOPE_ENGINE_H

#include "peridotwheel/counters/counter_set.h"
#include "peridotwheel/http/http_connection.h"
#include "peridotwheel/query/query_engine.h"
#include "peridotwheel/state/blackboard.h"
#include "peridotwheel/support/manual_loop.h"

namespace peridotwheel {

/// Connections on which every request is answered as by a server without faults, after a fixed
/// latency of the manual loop.
class answering_connector : public http_connector
{
public:
    explicit answering_connector(manual_loop &loop)
        : m_loop(loop)
    {
    }
    std::unique_ptr<http_connection> open(const endpoint &to) override;
    std::size_t opened() const { return m_opened; }

private:
    manual_loop &m_loop;
    std::size_t m_opened = 0;
};

/// A query engine on a manual loop, with answering connections.
class engine_bench
{
public:
    /// \p connectionLimit of each server; 0 leaves the engine without connections.
    engine_bench(std::size_t servers, std::size_t replicas, std::uint32_t connectionLimit,
                 std::uint64_t seed);

    /// Runs one query over all shards and moves time past its answer.
    void query();
    manual_loop &loop() { return m_loop; }
    blackboard &board() { return m_board; }
    std::size_t connections() const { return m_connector.opened(); }
    std::uint64_t answered() const { return m_answered; }

private:
    manual_loop m_loop;
    blackboard m_board;
    counter_set m_counters;
    answering_connector m_connector;
    std::unique_ptr<query_engine> m_engine;
    std::uint64_t m_queries = 0;
    std::uint64_t m_answered = 0;
};

} // namespace peridotwheel

#endif
