#include "peridotwheel/platform/http_platform_client.h"

#include "peridotwheel/platform/platform_health_tracker.h"
#include "peridotwheel/support/manual_loop.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <utility>

using namespace peridotwheel;

namespace {

/// Answers each request at once with the outcome in `next`, and stores the request in `last`.
struct scripted_http : http_client
{
    void send(const endpoint &, const http_request &request, duration, outcome_hook done) override
    {
        last = request;
        done(next);
    }
    void answer(int status, const std::string &body)
    {
        next = {transport_failure::None, {status, {}, body}};
    }
    http_request last;
    http_outcome next;
};

struct platform_client_fixture : testing::Test
{
    static http_platform_options options(std::size_t &skippedEntries)
    {
        http_platform_options o{{"127.0.1.9", 80}, data_centre_id("dc1")};
        o.onEntriesSkipped = [&skippedEntries](std::size_t count, const std::string &) {
            skippedEntries += count;
        };
        return o;
    }

    scripted_http http;
    std::size_t skippedEntries = 0;
    http_platform_client client{http, options(skippedEntries)};

    error_kind putError()
    {
        error_kind kind{};
        client.put({"claims", "a"}, "{}", write_condition::absent(),
                   [&](const auto &r) { kind = r.error().kind; });
        return kind;
    }
};

const char *const instanceListText =
        R"({"instances":[{"id":"entry-1","start":18446744073709551615,"dataCentre":"dc1",
        "peers":"127.0.1.1:70","operators":"127.0.1.1:71","state":"leaving"}],
        "servers":[{"id":"cards-1","start":7,"service":"cards","sharded":false,"dataCentre":"dc2",
        "address":"127.0.2.1:90","connectionLimit":25,"state":"live"}]})";

} // namespace

TEST_F(platform_client_fixture, writesTheConditionAndEncodesNames)
{
    http.answer(200, R"({"version":8})");
    object_version written;
    client.put({"claims", "a/b c"}, R"({"x":1})", write_condition::at(object_version(7)),
               [&](const auto &r) { written = r.value(); });
    EXPECT_EQ(http.last.path, "/objects/claims/a%2Fb%20c");
    EXPECT_EQ(*http.last.header("If-Match"), "7");
    EXPECT_EQ(*http.last.header("X-Data-Centre"), "dc1");
    EXPECT_EQ(http.last.body, R"({"x":1})");
    EXPECT_EQ(written, object_version(8));
    client.put({"claims", "a"}, "{}", write_condition::absent(), [](const auto &) {});
    EXPECT_EQ(*http.last.header("If-None-Match"), "*");
}

TEST_F(platform_client_fixture, readsObjectsWatchesAndTheInstanceList)
{
    http.answer(200, R"({"next":9,"changed":[{"name":"n","version":8,"value":{"a":[1]}}],
                         "removed":["gone"]})");
    client.watch("claims", object_version(5), seconds(3), [](const auto &r) {
        ASSERT_TRUE(r.has_value());
        EXPECT_EQ(r.value().next, object_version(9));
        EXPECT_EQ(r.value().changed.at(0).value, R"({"a":[1]})");
        EXPECT_EQ(r.value().removed.at(0).name, "gone");
    });
    EXPECT_EQ(http.last.path, "/watch/claims?since=5&timeoutMs=3000");
    http.answer(410, "");
    client.watch("claims", object_version(5), seconds(3),
                 [](const auto &r) { EXPECT_TRUE(r.value().compacted); });
    http.answer(200, instanceListText);
    client.instances([](const auto &r) {
        ASSERT_TRUE(r.has_value()) << r.error().message;
        EXPECT_EQ(r.value().instances.at(0).start, start_id(~std::uint64_t{0}));
        EXPECT_EQ(r.value().instances.at(0).state, member_state::Leaving);
        EXPECT_FALSE(r.value().servers.at(0).sharded);
        EXPECT_EQ(r.value().servers.at(0).address, (endpoint{"127.0.2.1", 90}));
    });
}

// Guards against a write reported as without effect although it may have taken effect.
TEST_F(platform_client_fixture, aWriteIsWithoutEffectOnlyIfThatIsCertain)
{
    http.next = {transport_failure::NotSent, {}};
    EXPECT_EQ(putError(), error_kind::Unavailable);
    http.next = {transport_failure::MayHaveRun, {}};
    EXPECT_EQ(putError(), error_kind::OutcomeUnknown);
    http.answer(503, "");
    EXPECT_EQ(putError(), error_kind::OutcomeUnknown);
    http.answer(200, "garbage");
    EXPECT_EQ(putError(), error_kind::OutcomeUnknown);
    http.answer(412, R"({"version":3,"value":1})");
    EXPECT_EQ(putError(), error_kind::Conflict);
    http.answer(404, "");
    client.get({"claims", "a"},
               [](const auto &r) { EXPECT_EQ(r.error().kind, error_kind::NotFound); });
}

// Guards against crashes on deeply nested JSON, which would exhaust the stack when serialised.
TEST_F(platform_client_fixture, refusesDeepNesting)
{
    http.answer(200, R"({"version":1,"value":)" + std::string(1000000, '['));
    client.get({"claims", "a"}, [](const auto &r) { EXPECT_FALSE(r.has_value()); });
    http.answer(200, R"({"version":1,"value":)" + std::string(100000, '[') +
                             std::string(100000, ']') + "}");
    client.get({"claims", "a"}, [](const auto &r) { EXPECT_FALSE(r.has_value()); });
}

// Guards against a nesting check that counts brackets within strings and so rejects shallow JSON or
// accepts deep JSON.
TEST_F(platform_client_fixture, countsBracketsOutsideOfStringsOnly)
{
    http.answer(200, R"({"version":1,"value":"\"[)" + std::string(100, '[') + R"("})");
    client.get({"claims", "a"}, [](const auto &r) { EXPECT_TRUE(r.has_value()); });
    http.answer(200, R"({"version":1,"value":["]]]]"]", )" + std::string(100, '[') +
                             std::string(100, ']') + "]}");
    client.get({"claims", "a"}, [](const auto &r) { EXPECT_FALSE(r.has_value()); });
}

namespace {

/// Entries that name no object, instance or server.
std::vector<std::string> oddEntries()
{
    const std::string deep(1000, '[');
    return {"7",
            "null",
            "{}",
            R"({"name":"","version":1,"value":1,"id":""})",
            R"({"name":7,"version":1,"value":1,"id":7})",
            R"({"name":"odd","id":"odd","start":1,"state":"resting"})",
            R"({"name":"odd","version":-1,"value":1})",
            R"({"name":"odd","version":1,"value":1e999})",
            R"({"name":"odd","version":1,"value":)" + deep + std::string(1000, ']') + "}",
            "{\"name\":\"\xff\",\"version\":1,\"value\":1}"};
}

std::string joined(std::string first, const std::string &second)
{
    return first.append(",").append(second);
}

} // namespace

// One entry that could not be read made the whole list fail, so that a restarted process knew no
// instance and no server.
TEST_F(platform_client_fixture, leavesOutOddEntriesAndKeepsTheOthers)
{
    const std::string good = R"({"name":"n","version":8,"value":{"a":[1]}})";
    const std::string instance =
            R"({"id":"entry-1","start":1,"dataCentre":"dc1","peers":"127.0.1.1:70",)"
            R"("operators":"127.0.1.1:71","state":"live"})";
    const std::string server =
            R"({"id":"cards-1","start":7,"service":"cards","sharded":false,"dataCentre":"dc2",)"
            R"("address":"127.0.2.1:90","connectionLimit":25,"state":"live"})";
    for (const std::string &odd : oddEntries()) {
        http.answer(200, R"({"revision":9,"items":[)" + joined(odd, good) + "]}");
        client.list("snapshots", [&](const auto &r) {
            ASSERT_TRUE(r) << r.error().message;
            ASSERT_EQ(r.value().changed.size(), 1U) << odd;
            EXPECT_EQ(r.value().changed[0].key.name, "n");
        });
        http.answer(200,
                    R"({"next":9,"changed":[)" + joined(good, odd) + R"(],"removed":[7,"x"]})");
        client.watch("snapshots", object_version(5), seconds(3), [&](const auto &r) {
            ASSERT_TRUE(r) << r.error().message;
            EXPECT_EQ(r.value().changed.size(), 1U) << odd;
            EXPECT_EQ(r.value().removed.size(), 1U);
        });
        http.answer(200, R"({"instances":[)" + joined(odd, instance) + R"(],"servers":[)" +
                                 joined(server, odd) + "]}");
        client.instances([&](const auto &r) {
            ASSERT_TRUE(r) << r.error().message;
            EXPECT_EQ(r.value().instances.size(), 1U) << odd;
            EXPECT_EQ(r.value().servers.size(), 1U) << odd;
        });
        EXPECT_EQ(std::exchange(skippedEntries, 0), 5U) << odd;
    }
}

// Guards against crashes on malformed replies: each call must end with an error or a value.
RC_GTEST_FIXTURE_PROP(platform_client_fixture, survivesDamagedReplies,
                      (std::size_t at, char replacement))
{
    std::string text = instanceListText;
    text[at % text.size()] = replacement;
    http.answer(200, text);
    int answers = 0;
    client.instances([&](const auto &) { ++answers; });
    client.list("claims", [&](const auto &) { ++answers; });
    client.get({"claims", "a"}, [&](const auto &) { ++answers; });
    RC_ASSERT(answers == 3);
}

// Guards against an outage that is reported after a single failed call, or with the time of a later
// failure as its start.
TEST(platformHealth, isLostAfterTwoFailuresAndDatedFromTheFirst)
{
    manual_loop loop;
    blackboard board;
    platform_health_tracker tracker(loop, board, nullptr);
    tracker.recordCall(true);
    EXPECT_TRUE(board.platformHealth.value().reachable);
    const auto first = loop.wallNow();
    tracker.recordCall(false);
    EXPECT_TRUE(board.platformHealth.value().reachable);
    loop.advance(seconds(5));
    tracker.recordCall(false);
    EXPECT_FALSE(board.platformHealth.value().reachable);
    EXPECT_EQ(board.platformHealth.value().since, first);
    tracker.recordCall(true);
    EXPECT_TRUE(board.platformHealth.value().reachable);
}
