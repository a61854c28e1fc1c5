#include "fixtures/real_connectors.h"
#include "peridotwheel/counters/counter_set.h"
#include "peridotwheel/http/http_server.h"
#include "peridotwheel/query/query_engine.h"
#include "peridotwheel/state/blackboard.h"
#include "peridotwheel/support/libevent_loop.h"

#include <gtest/gtest.h>

using namespace peridotwheel;

namespace {

/// One service with one server on a real transport.
class engine_transport : public testing::TestWithParam<transport_kind>
{
protected:
    void serve(request_hook hook, http_server_limits limits = {})
    {
        m_server = std::make_unique<http_server>(m_loop, limits, std::move(hook));
        ASSERT_TRUE(m_server->listen({"127.0.0.1", 0}).has_value());
        server_record record;
        record.id = server_id("n");
        record.service = service_name("s");
        record.address = {"127.0.0.1", m_server->boundPort()};
        record.connectionLimit = 4;
        m_board.servers.set({{record.id, record}});
        auto map = std::make_shared<shard_map>();
        map->version = index_version(1);
        map->shards.push_back({shard_id(1), record.service, {record.id}});
        snapshot_set set;
        set.current = map;
        m_board.snapshots.set(set);
        query_engine_options options;
        options.connectionHold = duration::zero();
        m_engine = std::make_unique<query_engine>(m_loop, m_board, *m_connector, m_counters,
                                                  event_sink(), 1, instance_id("i"),
                                                  data_centre_id("d"), options);
    }

    query_answer ask(bool repeatable)
    {
        query_request r;
        r.id = request_id("q");
        r.spec = {class_name("c"), seconds(5), 0.99, 1.0, class_rank(0)};
        r.arrival = m_loop.now();
        r.deadline = r.arrival + seconds(5);
        r.repeatable = repeatable;
        query_answer got;
        m_engine->run(std::move(r), [&](query_answer a) {
            got = std::move(a);
            m_loop.stop();
        });
        m_loop.run();
        return got;
    }

    libevent_loop m_loop;
    std::unique_ptr<http_connector> m_connector = makeConnector(GetParam(), m_loop);
    blackboard m_board;
    counter_set m_counters;
    std::unique_ptr<http_server> m_server;
    std::unique_ptr<query_engine> m_engine;
};

void answer(const http_request &r, const std::shared_ptr<http_responder> &out)
{
    if (r.path == "/health") {
        out->reply({200, {}, ""});
        return;
    }
    out->reply({200,
                {{"X-Index-Version", *r.header("X-Index-Version")},
                 {"X-Shards", *r.header("X-Shards")}},
                "[{\"hits\":3}]"});
}

} // namespace

INSTANTIATE_TEST_SUITE_P(transports, engine_transport,
                         testing::Values(transport_kind::Evhttp, transport_kind::Sockets),
                         transportName);

TEST_P(engine_transport, answersAQuery)
{
    serve(answer);
    const query_answer got = ask(true);
    EXPECT_EQ(got.kind, answer_kind::Complete);
    ASSERT_EQ(got.results.size(), 1U);
    EXPECT_EQ(got.results[0].json, "{\"hits\":3}");
}

// A full server accepts a connection and closes it. Failure: a booking is sent on such a connection
// and its outcome becomes unknown.
TEST_P(engine_transport, refusedConnectionsCarryNoBooking)
{
    http_server_limits limits;
    limits.maxConnections = 1;
    int searches = 0;
    serve(
            [&](const http_request &r, const std::shared_ptr<http_responder> &out) {
                searches += r.path == "/search" ? 1 : 0;
                answer(r, out);
            },
            limits);
    for (int i = 0; i < 5; ++i)
        EXPECT_EQ(ask(false).ran, ran_state::Yes);
    EXPECT_EQ(searches, 5);
}

// Failure: a booking whose connection breaks without a reply is reported as not run or is sent
// again.
TEST_P(engine_transport, bookingWhoseConnectionBreaksIsUnknown)
{
    int searches = 0;
    serve([&](const http_request &r, const std::shared_ptr<http_responder> &out) {
        if (r.path == "/health") {
            out->reply({200, {}, ""});
            return;
        }
        ++searches;
        out->drop();
    });
    EXPECT_EQ(ask(false).ran, ran_state::Unknown);
    EXPECT_EQ(searches, 1);
}
