#ifndef PERIDOTWHEEL_UNITTESTS_RELAY_RELAY_FIXTURE_H
#define PERIDOTWHEEL_UNITTESTS_RELAY_RELAY_FIXTURE_H

#include "peridotwheel/relay/relay_message.h"
#include "peridotwheel/relay/relay_service.h"
#include "peridotwheel/relay/relaying_executor.h"
#include "peridotwheel/support/manual_loop.h"

#include <deque>
#include <gtest/gtest.h>

namespace peridotwheel {

constexpr std::uint64_t relaySeed = 11;

/// Records the queries that are run; the test answers them.
class scripted_executor : public query_executor
{
public:
    struct call
    {
        query_request request;
        answer_hook done;
    };

    void run(query_request request, answer_hook done) override
    {
        calls.push_back({std::move(request), std::move(done)});
    }

    std::deque<call> calls;
};

/// Records the requests to other instances; the test completes them.
class scripted_http : public http_client
{
public:
    struct call
    {
        endpoint to;
        http_request request;
        outcome_hook done;
    };

    void send(const endpoint &to, const http_request &request, duration, outcome_hook done) override
    {
        auto &list = request.path == relayCancelPath ? cancels : queries;
        list.push_back({to, request, std::move(done)});
    }

    std::deque<call> queries;
    std::deque<call> cancels;
};

/// Shards 1 to `shardCount` have one server each. Instance i0 is the origin; i1 and i2 own a
/// connection to every server unless a test changes `owners`.
class relay_fixture : public testing::Test
{
protected:
    static constexpr std::uint32_t shardCount = 4;

    relay_fixture()
    {
        RecordProperty("seed", std::to_string(relaySeed));
        server_map servers;
        shard_map map;
        map.version = index_version(1);
        for (std::uint32_t i = 1; i <= shardCount; ++i) {
            server_record r;
            r.id = server_id("n" + std::to_string(i));
            r.service = service_name("loans");
            r.dataCentre = data_centre_id("d0");
            r.connectionLimit = 2;
            servers[r.id] = r;
            map.shards.push_back({shard_id(i), r.service, {r.id}});
            owners[r.id] = {instance_id("i1"), instance_id("i2")};
        }
        server_record plain;
        plain.id = server_id("p1");
        plain.service = service_name("booking");
        plain.sharded = false;
        plain.connectionLimit = 2;
        servers[plain.id] = plain;
        owners[plain.id] = {instance_id("i1"), instance_id("i2")};
        board.servers.set(servers);
        publish(map);
        setMembers({"i0", "i1", "i2"});
        executor = std::make_unique<relaying_executor>(loop, board, local, http, hooks(), counters,
                                                       event_sink(), relaySeed, instance_id("i0"),
                                                       start_id(1), data_centre_id("d0"));
    }

    relay_hooks hooks()
    {
        return {[this](const server_id &id) { return ownServers.count(id) > 0 ? 1U : 0U; },
                [this](const server_id &id) { return ownServers.count(id) > 0; },
                [this](const server_id &id) { return owners[id]; }, [this] { return epoch; }};
    }

    void publish(const shard_map &map)
    {
        snapshot_set set = board.snapshots.value();
        set.current = std::make_shared<shard_map>(map);
        set.retained[map.version] = set.current;
        board.snapshots.set(set);
    }

    void setMembers(const std::vector<std::string> &ids)
    {
        member_map members;
        std::uint16_t port = 1;
        for (const auto &id : ids) {
            member m;
            m.id = instance_id(id);
            m.dataCentre = data_centre_id("d0");
            m.peers = {id, port++};
            members[m.id] = m;
        }
        board.members.set(members);
    }

    query_request request(bool repeatable = true)
    {
        query_request r;
        r.id = request_id("q1");
        r.spec = {class_name("urgent"), milliseconds(140), 0.99, 0.99, class_rank(0)};
        r.text = "text";
        r.arrival = loop.now();
        r.deadline = loop.now() + milliseconds(140);
        r.repeatable = repeatable;
        return r;
    }

    void run(query_request r)
    {
        executor->run(std::move(r), [this](query_answer a) {
            EXPECT_FALSE(answer.has_value()) << "answered twice";
            answer = std::move(a);
        });
        loop.runPosted();
    }

    relay_query sentQuery(std::size_t index)
    {
        auto decoded = decodeRelayQuery(http.queries.at(index).request.body, loop.now());
        EXPECT_TRUE(decoded) << (decoded ? "" : decoded.error().message);
        return decoded.value();
    }

    /// Returns the answer of an owner that ran the whole part.
    static relay_answer fullAnswer(const relay_query &q)
    {
        relay_answer out;
        out.id = q.key.id;
        out.answer.kind = answer_kind::Complete;
        out.answer.ran = ran_state::Yes;
        out.answer.version = q.request.pinnedVersion.value_or(index_version());
        for (const shard_id s : q.request.shards)
            out.answer.results.push_back({s, "\"r" + std::to_string(s.value()) + "\""});
        return out;
    }

    static relay_answer notOwnedAnswer(const relay_query &q)
    {
        relay_answer out;
        out.id = q.key.id;
        out.answer.kind = answer_kind::RefusedState;
        out.notOwned = q.request.shards;
        out.answer.covered.missing = q.request.shards;
        return out;
    }

    void reply(std::size_t index, const relay_answer &a)
    {
        http.queries.at(index).done({transport_failure::None, {200, {}, encodeRelayAnswer(a)}});
        loop.runPosted();
    }

    void fail(std::size_t index, transport_failure why)
    {
        http.queries.at(index).done({why, {}});
        loop.runPosted();
    }

    std::uint64_t counterValue(const std::string &name) { return counters.at(name).value(); }

    manual_loop loop;
    blackboard board;
    counter_set counters;
    scripted_executor local;
    scripted_http http;
    std::set<server_id> ownServers;
    std::map<server_id, std::vector<instance_id>> owners;
    std::uint64_t epoch = 1;
    std::unique_ptr<relaying_executor> executor;
    std::optional<query_answer> answer;
};

} // namespace peridotwheel

#endif
