#include "slope_engine.h"

#include "slope_list.h"

namespace peridotwheel {

namespace {

constexpr duration serverLatency = milliseconds(10);
constexpr duration queryGap = milliseconds(15);

class answering_connection : public http_connection
{
public:
    explicit answering_connection(manual_loop &loop)
        : m_loop(loop)
    {
    }
    void send(const http_request &request, duration, outcome_hook done) override
    {
        m_done = std::move(done);
        http_outcome outcome;
        outcome.reply.status = 200;
        const std::string *version = request.header("X-Index-Version");
        if (version != nullptr) {
            outcome.reply.headers = {{"X-Index-Version", *version},
                                     {"X-Shards", *request.header("X-Shards")},
                                     {"X-Load", "0.5"},
                                     {"X-Draining", "0"},
                                     {"X-Start-Id", "1"}};
            outcome.reply.body = R"([{"title":"result"}])";
        }
        m_timer = m_loop.schedule(serverLatency, [this, outcome = std::move(outcome)]() mutable {
            const auto hook = std::exchange(m_done, nullptr);
            hook(std::move(outcome));
        });
    }
    bool busy() const override { return m_done != nullptr; }
    bool established() const override { return true; }

private:
    manual_loop &m_loop;
    outcome_hook m_done;
    timer m_timer;
};

} // namespace

std::unique_ptr<http_connection> answering_connector::open(const endpoint &)
{
    ++m_opened;
    return std::make_unique<answering_connection>(m_loop);
}

engine_bench::engine_bench(std::size_t servers, std::size_t replicas, std::uint32_t connectionLimit,
                           std::uint64_t seed)
    : m_connector(m_loop)
{
    server_map known;
    auto map = std::make_shared<shard_map>();
    map->version = index_version(1);
    for (std::size_t i = 0; i < servers; ++i) {
        server_record s = fleetServer(i);
        s.service = fleetServer(i / replicas).service;
        s.start = start_id(1);
        s.connectionLimit = connectionLimit;
        if (i % replicas == 0)
            map->shards.push_back(
                    {shard_id(static_cast<std::uint32_t>(i / replicas + 1)), s.service, {}});
        map->shards.back().replicas.push_back(s.id);
        known.emplace(s.id, std::move(s));
    }
    m_board.servers.set(std::move(known));
    m_board.snapshots.set({map, {{map->version, map}}});
    query_engine_options options;
    options.connectionHold = duration::zero();
    m_engine = std::make_unique<query_engine>(m_loop, m_board, m_connector, m_counters,
                                              event_sink(), seed, fleetMember(0).id,
                                              fleetMember(0).dataCentre, options);
    m_loop.advance(milliseconds(500));
}

void engine_bench::query()
{
    query_request r;
    r.id = request_id("request-" + std::to_string(++m_queries));
    r.spec = {class_name("urgent"), milliseconds(140), 0.99, 0.99, class_rank(0)};
    r.text = "title:compass";
    r.arrival = m_loop.now();
    r.deadline = r.arrival + r.spec.latencyTarget;
    m_engine->run(std::move(r), [this](const query_answer &a) {
        m_answered += a.kind == answer_kind::Complete ? 1 : 0;
    });
    m_loop.advance(queryGap);
}

} // namespace peridotwheel
