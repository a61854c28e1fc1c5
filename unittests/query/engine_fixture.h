#ifndef PERIDOTWHEEL_UNITTESTS_QUERY_ENGINE_FIXTURE_H
#define PERIDOTWHEEL_UNITTESTS_QUERY_ENGINE_FIXTURE_H

#include "fake_servers.h"
#include "peridotwheel/counters/counter_set.h"
#include "peridotwheel/query/query_engine.h"
#include "peridotwheel/state/blackboard.h"

#include <gtest/gtest.h>

namespace peridotwheel {

constexpr std::uint64_t engineSeed = 7;
constexpr std::uint16_t replicaCount = 3;

/// Services s0, s1, ... with one shard and three servers each; server r of service k has port
/// 100 * k + r and is in data centre r.
class engine_fixture : public testing::Test
{
protected:
    void build(std::uint16_t services, query_engine_options options = {})
    {
        RecordProperty("seed", std::to_string(engineSeed));
        server_map servers;
        shard_map map;
        map.version = index_version(1);
        for (std::uint16_t k = 0; k < services; ++k) {
            shard s{shard_id(k + 1U), service_name("s" + std::to_string(k)), {}};
            for (std::uint16_t r = 0; r < replicaCount; ++r) {
                const server_record record = recordOf(k, r);
                servers[record.id] = record;
                s.replicas.push_back(record.id);
            }
            map.shards.push_back(s);
        }
        m_board.servers.set(servers);
        publish(map);
        options.connectionHold = duration::zero();
        m_engine = std::make_unique<query_engine>(m_loop, m_board, m_connector, m_counters,
                                                  event_sink(), engineSeed, instance_id("i1"),
                                                  data_centre_id("d0"), options);
        m_loop.advance(milliseconds(200));
    }

    static server_record recordOf(std::uint16_t service, std::uint16_t replica)
    {
        const auto port = static_cast<std::uint16_t>(100 * service + replica);
        server_record record;
        record.id = server_id("n" + std::to_string(port));
        record.start = start_id(port);
        record.service = service_name("s" + std::to_string(service));
        record.dataCentre = data_centre_id("d" + std::to_string(replica));
        record.address = {"127.0.0.1", port};
        record.connectionLimit = 4;
        return record;
    }

    void publish(const shard_map &map)
    {
        snapshot_set set = m_board.snapshots.value();
        set.current = std::make_shared<shard_map>(map);
        set.retained[map.version] = set.current;
        m_board.snapshots.set(set);
    }

    void publishVersion(std::uint64_t version)
    {
        shard_map map = *m_board.snapshots.value().current;
        map.version = index_version(version);
        publish(map);
    }

    query_request request(duration deadline = milliseconds(140))
    {
        query_request r;
        r.id = request_id("q" + std::to_string(++m_queries));
        r.spec = {class_name("urgent"), deadline, 0.99, 0.99, class_rank(0)};
        r.text = "text";
        r.arrival = m_loop.now();
        r.deadline = m_loop.now() + deadline;
        return r;
    }

    query_request booking()
    {
        query_request r = request();
        r.repeatable = false;
        r.services = {service_name("s0")};
        return r;
    }

    std::shared_ptr<std::optional<query_answer>> run(query_request r)
    {
        auto got = std::make_shared<std::optional<query_answer>>();
        m_engine->run(std::move(r), [got](query_answer a) {
            EXPECT_FALSE(got->has_value()) << "answered twice";
            *got = std::move(a);
        });
        return got;
    }

    /// Starts \p count queries, \p gap apart.
    std::vector<std::shared_ptr<std::optional<query_answer>>> load(int count, duration gap)
    {
        std::vector<std::shared_ptr<std::optional<query_answer>>> answers;
        for (int i = 0; i < count; ++i) {
            answers.push_back(run(request()));
            m_loop.advance(gap);
        }
        return answers;
    }

    std::size_t requestsTo(std::uint16_t port) { return m_connector.at(port).requests.size(); }
    std::uint64_t counted(const std::string &name) { return m_counters.at(name).value(); }
    void warmUp() { load(60, milliseconds(15)); }

    manual_loop m_loop;
    blackboard m_board;
    counter_set m_counters;
    fake_connector m_connector{m_loop};
    std::unique_ptr<query_engine> m_engine;
    int m_queries = 0;
};

} // namespace peridotwheel

#endif
