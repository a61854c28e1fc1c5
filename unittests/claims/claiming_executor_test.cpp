#include "claims/claim_world.h"
#include "peridotwheel/claims/claim_inquiry.h"
#include "peridotwheel/claims/claim_sweeper.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

using namespace peridotwheel;
using namespace peridotwheel::test;
using testing::HasSubstr;

namespace {

class claiming_executor_test : public testing::Test
{
protected:
    void send(fake_instance &to, duration timeLeft = seconds(2), duration age = duration::zero())
    {
        const auto issuedAt = to.loop.wallNow() - std::chrono::duration_cast<milliseconds>(age);
        m_answer.reset();
        to.executor->run(booking(issuedAt, to.loop.now() + timeLeft),
                         [this](query_answer answer) { m_answer = std::move(answer); });
    }

    /// Decides \p count platform calls in order.
    void decide(int count, call_fate fate, std::size_t index = 0)
    {
        for (; count > 0; --count) {
            ASSERT_LT(index, m_store.calls.size());
            m_store.decide(index, fate);
            m_north.loop.runPosted();
            m_south.loop.runPosted();
        }
    }

    claim_state stored() const
    {
        return claimRecordFromJson(m_store.objects.at("booking-17").value).value().state;
    }

    fake_store m_store;
    int m_executions = 0;
    server_fate m_fate = server_fate::Runs;
    fake_instance m_north{m_store, 1, [this] { return m_fate; }, m_executions};
    fake_instance m_south{m_store, 2, [this] { return m_fate; }, m_executions};
    std::optional<query_answer> m_answer;
};

} // namespace

TEST_F(claiming_executor_test, costsThreeWritesAndAnswersAResendFromTheRecord)
{
    send(m_north);
    decide(3, call_fate::Ok);
    EXPECT_TRUE(m_store.calls.empty());
    EXPECT_EQ(stored(), claim_state::Done);
    send(m_south);
    decide(2, call_fate::Ok);
    ASSERT_TRUE(m_answer);
    EXPECT_EQ(m_answer->kind, answer_kind::Complete);
    EXPECT_EQ(m_answer->detail, "booked");
    EXPECT_EQ(m_executions, 1);
}

// Guards against "not run" when the only thing known is that another try holds the request.
TEST_F(claiming_executor_test, doesNotDenyARequestThatAnotherTryHolds)
{
    send(m_north);
    decide(2, call_fate::Ok);
    m_store.calls.clear();
    send(m_south);
    decide(1, call_fate::Ok);
    while (!m_answer && m_south.loop.now() < time_point(seconds(1002))) {
        if (!m_store.calls.empty())
            decide(1, call_fate::Unavailable);
        m_south.loop.advance(milliseconds(20));
    }
    ASSERT_TRUE(m_answer);
    EXPECT_EQ(m_answer->ran, ran_state::Unknown);
}

// Guards against a late send by an instance that was paused after its update took effect.
TEST_F(claiming_executor_test, doesNotSendAfterTheDeadline)
{
    send(m_north, milliseconds(140));
    decide(1, call_fate::Ok);
    m_north.loop.pause(seconds(30));
    ASSERT_TRUE(m_answer);
    EXPECT_EQ(m_answer->ran, ran_state::Unknown);
    while (!m_store.calls.empty())
        decide(1, call_fate::Ok);
    EXPECT_EQ(m_executions, 0);
    m_north.loop.advance(seconds(1));
    while (!m_store.calls.empty())
        decide(1, call_fate::Ok);
    EXPECT_EQ(stored(), claim_state::Released);
    EXPECT_EQ(m_north.executor->pendingRecords(), 0U);
}

// Guards against the same after the claim's update was confirmed.
TEST_F(claiming_executor_test, releasesWhenItsUpdateIsConfirmedAfterTheDeadline)
{
    send(m_north, -milliseconds(1));
    decide(2, call_fate::Ok);
    EXPECT_FALSE(m_answer) << "answered before the seal is stored";
    decide(1, call_fate::Ok);
    ASSERT_TRUE(m_answer);
    EXPECT_EQ(m_answer->kind, answer_kind::Expired);
    EXPECT_EQ(m_answer->ran, ran_state::No);
    EXPECT_EQ(stored(), claim_state::Released);
    EXPECT_EQ(m_executions, 0);
}

// Found by models/claim.pml: a repeated claim write made the age of a claim look fresh whose record
// came from the delayed first write, so "not run" was said after another instance had taken over.
TEST_F(claiming_executor_test, aDelayedFirstClaimDoesNotMakeARefusalUntrue)
{
    constexpr std::size_t last = 1;
    send(m_north, seconds(60));
    decide(1, call_fate::Late);
    m_north.loop.pause(seconds(11));
    m_south.loop.pause(seconds(11));
    decide(1, call_fate::Ok);
    m_store.lateEffects.front()();
    decide(2, call_fate::Ok);
    std::optional<query_answer> resent;
    m_south.executor->run(booking(m_south.loop.wallNow(), m_south.loop.now() + seconds(60)),
                          [&](query_answer answer) { resent = std::move(answer); });
    decide(5, call_fate::Ok, last);
    EXPECT_EQ(m_executions, 1);
    EXPECT_FALSE(m_answer);
    decide(1, call_fate::Unavailable);
    ASSERT_TRUE(m_answer);
    EXPECT_EQ(m_answer->ran, ran_state::Unknown);
}

TEST_F(claiming_executor_test, refusesInAnOutageAndReleasesAfterIt)
{
    send(m_north);
    decide(1, call_fate::LostAfter);
    m_north.loop.advance(seconds(2));
    ASSERT_TRUE(m_answer);
    EXPECT_EQ(m_answer->kind, answer_kind::RefusedClaim);
    EXPECT_EQ(m_answer->ran, ran_state::Unknown);
    EXPECT_EQ(stored(), claim_state::Claimed);
    for (int i = 0; i < 20; ++i) {
        while (!m_store.calls.empty())
            decide(1, i < 10 ? call_fate::Unavailable : call_fate::Ok);
        m_north.loop.advance(seconds(30));
    }
    EXPECT_EQ(stored(), claim_state::Released);
    EXPECT_EQ(m_executions, 0);
}

TEST_F(claiming_executor_test, aRequestThatTheServerShedCanBeSentAgain)
{
    m_fate = server_fate::Refuses;
    send(m_north);
    decide(3, call_fate::Ok);
    ASSERT_TRUE(m_answer);
    EXPECT_EQ(m_answer->ran, ran_state::No);
    EXPECT_EQ(stored(), claim_state::Released);
    m_fate = server_fate::Runs;
    send(m_south);
    decide(2, call_fate::Ok);
    ASSERT_TRUE(m_answer);
    EXPECT_EQ(m_answer->kind, answer_kind::RefusedClaim);
    EXPECT_EQ(m_answer->ran, ran_state::No);
    EXPECT_THAT(m_answer->detail, HasSubstr("new issuedAt"));
    send(m_south, seconds(2), -milliseconds(1));
    decide(5, call_fate::Ok);
    EXPECT_EQ(m_executions, 1);
    EXPECT_EQ(stored(), claim_state::Done);
}

// Guards against "not run" whose seal is not in the store, so that a copy could still run.
TEST_F(claiming_executor_test, anUnconfirmedSealLeavesTheOutcomeUnknown)
{
    m_fate = server_fate::Refuses;
    send(m_north);
    decide(2, call_fate::Ok);
    decide(1, call_fate::LostAfter);
    EXPECT_FALSE(m_answer);
    decide(1, call_fate::Ok);
    ASSERT_TRUE(m_answer);
    EXPECT_EQ(m_answer->ran, ran_state::No) << "read back";
    send(m_north, seconds(2), -milliseconds(1));
    decide(4, call_fate::Ok);
    m_north.loop.advance(seconds(1));
    ASSERT_TRUE(m_answer);
    EXPECT_EQ(m_answer->kind, answer_kind::RefusedClaim);
    EXPECT_EQ(m_answer->ran, ran_state::Unknown);
    while (!m_store.calls.empty())
        decide(1, call_fate::Ok);
    EXPECT_EQ(stored(), claim_state::Released);
}

// Guards against a late copy of a sealed try that takes over the claim of a deliberate later try.
TEST_F(claiming_executor_test, aSealOutlivesALaterClaim)
{
    m_fate = server_fate::Refuses;
    const auto issuedAt = m_north.loop.wallNow();
    send(m_north);
    decide(3, call_fate::Ok);
    m_fate = server_fate::Runs;
    send(m_north, seconds(60), -milliseconds(1));
    decide(3, call_fate::Ok);
    EXPECT_EQ(stored(), claim_state::Claimed);
    m_store.calls.clear();
    m_south.loop.pause(seconds(11));
    m_south.executor->run(booking(issuedAt, m_south.loop.now() + seconds(60)),
                          [this](query_answer answer) { m_answer = std::move(answer); });
    decide(2, call_fate::Ok);
    ASSERT_TRUE(m_answer);
    EXPECT_EQ(m_answer->kind, answer_kind::InProgress);
    EXPECT_EQ(stored(), claim_state::Claimed);
}

// Guards against a flood of requests that are not repeatable using up the platform's writes.
TEST_F(claiming_executor_test, claimsInProgressAreBounded)
{
    const std::size_t limit = claim_options().maxActive;
    for (std::size_t i = 0; i <= limit; ++i)
        send(m_north);
    m_north.loop.runPosted();
    EXPECT_EQ(m_store.calls.size(), limit);
    ASSERT_TRUE(m_answer);
    EXPECT_EQ(m_answer->kind, answer_kind::RefusedClaim);
    EXPECT_EQ(m_answer->ran, ran_state::Unknown);
}

// Guards against a status page that says "not run" while a copy can still run, or that lets a seal
// win over a request that was sent.
TEST_F(claiming_executor_test, anInquirySealsOnlyWhatNobodyRuns)
{
    fake_client client(m_store, 3);
    claim_inquiry inquiry(m_south.loop, client, instance_id("i3"), {});
    const auto issuedAt = m_south.loop.wallNow();
    std::optional<claim_view> view;
    const auto ask = [&](int calls) {
        inquiry.ask(request_id("booking-17"), issuedAt, true,
                    [&](claim_view v) { view = std::move(v); });
        decide(calls, call_fate::Ok, m_store.calls.size() - 1);
    };
    ask(1);
    EXPECT_TRUE(view->absent);
    EXPECT_EQ(view->ran, ran_state::Unknown);
    m_south.loop.pause(seconds(11));
    ask(3);
    EXPECT_EQ(view->ran, ran_state::No);
    send(m_north);
    decide(2, call_fate::Ok);
    ASSERT_TRUE(m_answer);
    EXPECT_EQ(m_answer->ran, ran_state::No);
    EXPECT_EQ(m_executions, 0);

    m_north.loop.pause(seconds(11));
    send(m_north, seconds(60));
    decide(3, call_fate::Ok);
    ask(1);
    EXPECT_EQ(view->record->state, claim_state::Claimed) << "not older than the patience";
    decide(2, call_fate::Ok);
    EXPECT_EQ(m_executions, 1);
    ask(1);
    EXPECT_EQ(view->ran, ran_state::Yes);
}

// Guards against a second run after the claim has expired.
TEST_F(claiming_executor_test, refusesRequestsThatCouldOutliveTheirClaim)
{
    send(m_north, seconds(2), std::chrono::hours(13));
    decide(1, call_fate::Ok);
    ASSERT_TRUE(m_answer);
    EXPECT_EQ(m_answer->kind, answer_kind::RefusedInput);
    EXPECT_EQ(m_answer->ran, ran_state::No);
    send(m_north, seconds(2), -std::chrono::minutes(6));
    m_north.loop.runPosted();
    ASSERT_TRUE(m_answer);
    EXPECT_EQ(m_answer->kind, answer_kind::RefusedInput);
    EXPECT_TRUE(m_store.calls.empty());
    auto request = booking({}, m_north.loop.now() + seconds(1));
    request.repeatable = true;
    m_north.executor->run(request, [](const query_answer &) {});
    EXPECT_EQ(m_executions, 1);
}

TEST_F(claiming_executor_test, theLookUpSaysWhatItCouldNotAsk)
{
    fake_client client(m_store, 3);
    claim_lookup lookup(client);
    claim_view view;
    lookup.lookUp(request_id("booking-17"), [&](claim_view v) { view = std::move(v); });
    decide(1, call_fate::Unavailable);
    EXPECT_EQ(view.ran, ran_state::Unknown);
    EXPECT_THAT(view.text, HasSubstr("cannot be asked"));
    send(m_north);
    decide(3, call_fate::Ok);
    lookup.lookUp(request_id("booking-17"), [&](claim_view v) { view = std::move(v); });
    decide(1, call_fate::Ok);
    EXPECT_EQ(view.ran, ran_state::Yes);
}

TEST_F(claiming_executor_test, theSweepRemovesExpiredRecordsSlowly)
{
    fake_client client(m_store, 3);
    manual_loop &loop = m_north.loop;
    claim_record record;
    record.changedAt = loop.wallNow();
    for (int i = 0; i < 10; ++i)
        m_store.write({"claims", "old" + std::to_string(i)}, toJson(record), {}).value();
    loop.pause(std::chrono::hours(25));
    record.changedAt = loop.wallNow();
    m_store.write({"claims", "fresh"}, toJson(record), {}).value();
    claim_sweeper sweeper(loop, client, {}, [] { return true; });
    sweeper.start();
    loop.advance(std::chrono::minutes(10));
    EXPECT_EQ(m_store.objects.size(), 10U);
    loop.advance(seconds(1));
    EXPECT_EQ(m_store.objects.size(), 5U);
    loop.advance(seconds(10));
    EXPECT_EQ(m_store.objects.size(), 1U);
    EXPECT_EQ(m_store.objects.count("fresh"), 1U);
}
