#include "peridotwheel/status/request_registry.h"
#include "peridotwheel/status/status_text.h"

#include <cstdlib>
#include <fstream>
#include <gtest/gtest.h>

using namespace peridotwheel;

namespace {

constexpr answer_kind kinds[] = {
        answer_kind::Complete,     answer_kind::Partial,      answer_kind::Expired,
        answer_kind::RefusedLoad,  answer_kind::RefusedInput, answer_kind::RefusedState,
        answer_kind::RefusedClaim, answer_kind::InProgress,   answer_kind::OutcomeUnknown,
        answer_kind::Failed,
};
constexpr ran_state states[] = {ran_state::Yes, ran_state::No, ran_state::Unknown};

query_answer answerOf(answer_kind kind, ran_state ran)
{
    query_answer answer;
    answer.kind = kind;
    answer.ran = ran;
    answer.version = index_version(7);
    answer.covered = {3, 4, {shard_id(2)}};
    if (kind == answer_kind::Complete)
        answer.covered = {4, 4, {}};
    if (kind == answer_kind::RefusedLoad)
        answer.retryAfter = milliseconds(2400);
    answer.detail = "line one\nstate: forged";
    return answer;
}

std::string requestText(answer_kind kind, ran_state ran, bool repeatable)
{
    return requestStatusText({}, {request_id("b-1"), class_name("booking-desk"), repeatable, 0.99,
                                  answerOf(kind, ran)});
}

// Raw string literals; recorded by running this test with PERIDOTWHEEL_UPDATE_GOLDEN=DIRECTORY.
constexpr const char *recordedRequestPages =
#include "status/golden/request.inc"
        ;
constexpr const char *recordedSystemPages =
#include "status/golden/system.inc"
        ;

void expectGolden(const std::string &name, const char *expected, const std::string &text)
{
    EXPECT_EQ(text, expected) << "the grammar is fixed; a change needs a new format number";
    if (const char *directory = std::getenv("PERIDOTWHEEL_UPDATE_GOLDEN"))
        std::ofstream(directory + ("/" + name)) << "R\"page(" << text << ")page\"\n";
}

} // namespace

// Guards against unintended changes of the status text: callers' scripts depend on every line.
TEST(statusText, requestPagesAreAsRecorded)
{
    std::string all;
    for (const bool repeatable : {true, false}) {
        for (const answer_kind kind : kinds) {
            for (const ran_state ran : states)
                all += requestText(kind, ran, repeatable) + "\n";
        }
    }
    all += requestStatusText({}, {request_id("b-2"), class_name("booking-desk"), false, 1.0, {}});
    for (const auto search :
         {claim_search::NotFound, claim_search::Unreachable, claim_search::NotAsked})
        all += "\n" + unknownRequestText({}, request_id("b-3"), search);
    all += "\n" + refusedInputText({}, request_id(), "query must be a string");
    expectGolden("request.inc", recordedRequestPages, all);
}

TEST(statusText, classAndSystemPagesAreAsRecorded)
{
    class_spec spec;
    spec.name = class_name("overdue-alerts");
    spec.latencyTarget = milliseconds(140);
    const class_load idle;
    const class_load busy{12, 6, milliseconds(35), milliseconds(7100)};
    system_status system;
    system.instance = instance_id("entry-1");
    std::string all;
    for (const auto phase : {lifecycle_phase::Starting, lifecycle_phase::Serving,
                             lifecycle_phase::Draining, lifecycle_phase::Stopped}) {
        all += classStatusText({}, spec, idle, phase) + "\n";
        all += classStatusText({}, spec, busy, phase) + "\n";
        system.phase = phase;
        all += systemStatusText({}, system) + "\n";
    }
    all += unknownClassText({}, class_name("none")) + "\n";
    system.phase = lifecycle_phase::Serving;
    system.classes = 3;
    system.configuration = object_version(41);
    system.snapshot = index_version(7);
    system.platform = {true, wall_time(milliseconds(1700000000000))};
    all += systemStatusText({}, system) + "\n";
    system.load = busy;
    all += systemStatusText({"again", "hold", "stop", "ok"}, system);
    expectGolden("system.inc", recordedSystemPages, all);
}

// Guards against a second run of a booking because of the advice "retry"; independent of the
// recorded pages.
TEST(statusText, nonRepeatableRequestThatMayHaveRunIsNeverAdvisedToRetry)
{
    for (const answer_kind kind : kinds) {
        for (const ran_state ran : {ran_state::Yes, ran_state::Unknown})
            EXPECT_NE(requestText(kind, ran, false).rfind("retry", 0), 0u) << toString(kind);
    }
}

TEST(requestRegistry, memoryIsBoundedByCountAndAge)
{
    request_registry registry({3, seconds(10)});
    time_point now(seconds(1));
    query_request request;
    for (int i = 0; i < 5; ++i) {
        request.id = request_id(std::to_string(i));
        const auto token = registry.begin(request, now);
        if (i != 0)
            registry.finish(request.id, token, answerOf(answer_kind::Complete, ran_state::Yes),
                            now);
    }
    EXPECT_EQ(registry.size(), 4u);
    EXPECT_EQ(registry.find(request_id("1"), now), nullptr);
    now += seconds(11);
    EXPECT_EQ(registry.find(request_id("4"), now), nullptr);
    ASSERT_NE(registry.find(request_id("0"), now), nullptr) << "still in progress";
}

// Guards against a slow first try that overwrites the state of the second try of the same id.
TEST(requestRegistry, finishOfAnEarlierTryIsIgnored)
{
    request_registry registry;
    const time_point now(seconds(1));
    query_request request;
    request.id = request_id("q");
    const auto first = registry.begin(request, now);
    const auto second = registry.begin(request, now);
    registry.finish(request.id, first, answerOf(answer_kind::Failed, ran_state::No), now);
    EXPECT_FALSE(registry.find(request.id, now)->answer);
    registry.finish(request.id, second, answerOf(answer_kind::Complete, ran_state::Yes), now);
    EXPECT_EQ(registry.find(request.id, now)->answer->kind, answer_kind::Complete);
}
