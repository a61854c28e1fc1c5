#include "claims/claim_simulation.h"
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
        to.executor->run(bookingRequest(issuedAt, to.loop.now() + timeLeft),
                         [this](query_answer answer) { m_answer = std::move(answer); });
    }

    /// Completes \p count platform calls, each time the one at \p index.
    void complete(int count, call_outcome outcome, std::size_t index = 0)
    {
        for (; count > 0; --count) {
            ASSERT_LT(index, m_store.calls.size());
            m_store.complete(index, outcome);
            m_north.loop.runPosted();
            m_south.loop.runPosted();
        }
    }

    claim_state storedState() const
    {
        return claimRecordFromJson(m_store.objects.at("booking-17").value).value().state;
    }

    fake_store m_store;
    int m_executions = 0;
    server_outcome m_serverOutcome = server_outcome::Runs;
    fake_instance m_north{m_store, 1, [this] { return m_serverOutcome; }, m_executions};
    fake_instance m_south{m_store, 2, [this] { return m_serverOutcome; }, m_executions};
    std::optional<query_answer> m_answer;
};

} // namespace

TEST_F(claiming_executor_test, costsThreeWritesAndAnswersAResendFromTheRecord)
{
    send(m_north);
    complete(3, call_outcome::Ok);
    EXPECT_TRUE(m_store.calls.empty());
    EXPECT_EQ(storedState(), claim_state::Done);
    send(m_south);
    complete(2, call_outcome::Ok);
    ASSERT_TRUE(m_answer);
    EXPECT_EQ(m_answer->kind, answer_kind::Complete);
    EXPECT_EQ(m_answer->detail, "booked");
    EXPECT_EQ(m_executions, 1);
}

// Guards against the answer "not run" while another try holds the claim, so that the request may
// run.
TEST_F(claiming_executor_test, doesNotReportNotRunWhileAnotherTryHoldsTheClaim)
{
    send(m_north);
    complete(2, call_outcome::Ok);
    m_store.calls.clear();
    send(m_south);
    complete(1, call_outcome::Ok);
    while (!m_answer && m_south.loop.now() < time_point(seconds(1002))) {
        if (!m_store.calls.empty())
            complete(1, call_outcome::Unavailable);
        m_south.loop.advance(milliseconds(20));
    }
    ASSERT_TRUE(m_answer);
    EXPECT_EQ(m_answer->ran, ran_state::Unknown);
}

// Guards against a send after the deadline by an instance that was paused after it wrote its claim.
TEST_F(claiming_executor_test, doesNotSendAfterTheDeadline)
{
    send(m_north, milliseconds(140));
    complete(1, call_outcome::Ok);
    m_north.loop.pause(seconds(30));
    ASSERT_TRUE(m_answer);
    EXPECT_EQ(m_answer->ran, ran_state::Unknown);
    while (!m_store.calls.empty())
        complete(1, call_outcome::Ok);
    EXPECT_EQ(m_executions, 0);
    m_north.loop.advance(seconds(1));
    while (!m_store.calls.empty())
        complete(1, call_outcome::Ok);
    EXPECT_EQ(storedState(), claim_state::Released);
    EXPECT_EQ(m_north.executor->pendingRecords(), 0U);
}

// Guards against a send after the deadline when the update to `sent` is confirmed too late.
TEST_F(claiming_executor_test, releasesWhenItsUpdateIsConfirmedAfterTheDeadline)
{
    send(m_north, -milliseconds(1));
    complete(2, call_outcome::Ok);
    EXPECT_FALSE(m_answer) << "answered before the seal is stored";
    complete(1, call_outcome::Ok);
    ASSERT_TRUE(m_answer);
    EXPECT_EQ(m_answer->kind, answer_kind::Expired);
    EXPECT_EQ(m_answer->ran, ran_state::No);
    EXPECT_EQ(storedState(), claim_state::Released);
    EXPECT_EQ(m_executions, 0);
}

// Found by models/claim.pml: a claim was written again while the first write was delayed. The
// stored record came from the first write, but its age was counted from the second, so that "not
// run" was reported after another instance had taken over the claim.
TEST_F(claiming_executor_test, doesNotReportNotRunAfterADelayedFirstClaimWasTakenOver)
{
    constexpr std::size_t last = 1;
    send(m_north, seconds(60));
    complete(1, call_outcome::EffectDelayed);
    m_north.loop.pause(seconds(11));
    m_south.loop.pause(seconds(11));
    complete(1, call_outcome::Ok);
    m_store.delayedEffects.front()();
    complete(2, call_outcome::Ok);
    std::optional<query_answer> resent;
    m_south.executor->run(bookingRequest(m_south.loop.wallNow(), m_south.loop.now() + seconds(60)),
                          [&](query_answer answer) { resent = std::move(answer); });
    complete(5, call_outcome::Ok, last);
    EXPECT_EQ(m_executions, 1);
    EXPECT_FALSE(m_answer);
    complete(1, call_outcome::Unavailable);
    ASSERT_TRUE(m_answer);
    EXPECT_EQ(m_answer->ran, ran_state::Unknown);
}

TEST_F(claiming_executor_test, refusesInAnOutageAndReleasesAfterIt)
{
    send(m_north);
    complete(1, call_outcome::ReplyLost);
    m_north.loop.advance(seconds(2));
    ASSERT_TRUE(m_answer);
    EXPECT_EQ(m_answer->kind, answer_kind::RefusedClaim);
    EXPECT_EQ(m_answer->ran, ran_state::Unknown);
    EXPECT_EQ(storedState(), claim_state::Claimed);
    for (int i = 0; i < 20; ++i) {
        while (!m_store.calls.empty())
            complete(1, i < 10 ? call_outcome::Unavailable : call_outcome::Ok);
        m_north.loop.advance(seconds(30));
    }
    EXPECT_EQ(storedState(), claim_state::Released);
    EXPECT_EQ(m_executions, 0);
}

TEST_F(claiming_executor_test, aRequestThatTheServerRefusedRunsWithANewIssuedAt)
{
    m_serverOutcome = server_outcome::Refuses;
    send(m_north);
    complete(3, call_outcome::Ok);
    ASSERT_TRUE(m_answer);
    EXPECT_EQ(m_answer->ran, ran_state::No);
    EXPECT_EQ(storedState(), claim_state::Released);
    m_serverOutcome = server_outcome::Runs;
    send(m_south);
    complete(2, call_outcome::Ok);
    ASSERT_TRUE(m_answer);
    EXPECT_EQ(m_answer->kind, answer_kind::RefusedClaim);
    EXPECT_EQ(m_answer->ran, ran_state::No);
    EXPECT_THAT(m_answer->detail, HasSubstr("new issuedAt"));
    send(m_south, seconds(2), -milliseconds(1));
    complete(5, call_outcome::Ok);
    EXPECT_EQ(m_executions, 1);
    EXPECT_EQ(storedState(), claim_state::Done);
}

// Guards against the answer "not run" before its seal is in the store, when a copy could still run.
TEST_F(claiming_executor_test, anUnconfirmedSealLeavesTheOutcomeUnknown)
{
    m_serverOutcome = server_outcome::Refuses;
    send(m_north);
    complete(2, call_outcome::Ok);
    complete(1, call_outcome::ReplyLost);
    EXPECT_FALSE(m_answer);
    complete(1, call_outcome::Ok);
    ASSERT_TRUE(m_answer);
    EXPECT_EQ(m_answer->ran, ran_state::No) << "read back";
    send(m_north, seconds(2), -milliseconds(1));
    complete(4, call_outcome::Ok);
    m_north.loop.advance(seconds(1));
    ASSERT_TRUE(m_answer);
    EXPECT_EQ(m_answer->kind, answer_kind::RefusedClaim);
    EXPECT_EQ(m_answer->ran, ran_state::Unknown);
    while (!m_store.calls.empty())
        complete(1, call_outcome::Ok);
    EXPECT_EQ(storedState(), claim_state::Released);
}

// Guards against a late copy of a sealed try that takes over the claim of a deliberate later try.
TEST_F(claiming_executor_test, aSealOutlivesALaterClaim)
{
    m_serverOutcome = server_outcome::Refuses;
    const auto issuedAt = m_north.loop.wallNow();
    send(m_north);
    complete(3, call_outcome::Ok);
    m_serverOutcome = server_outcome::Runs;
    send(m_north, seconds(60), -milliseconds(1));
    complete(3, call_outcome::Ok);
    EXPECT_EQ(storedState(), claim_state::Claimed);
    m_store.calls.clear();
    m_south.loop.pause(seconds(11));
    m_south.executor->run(bookingRequest(issuedAt, m_south.loop.now() + seconds(60)),
                          [this](query_answer answer) { m_answer = std::move(answer); });
    complete(2, call_outcome::Ok);
    ASSERT_TRUE(m_answer);
    EXPECT_EQ(m_answer->kind, answer_kind::InProgress);
    EXPECT_EQ(storedState(), claim_state::Claimed);
}

// Guards against requests that are not repeatable exhausting the write capacity of the platform.
TEST_F(claiming_executor_test, claimsInProgressAreBounded)
{
    const std::size_t limit = claim_options().maxActiveClaims;
    for (std::size_t i = 0; i <= limit; ++i)
        send(m_north);
    m_north.loop.runPosted();
    EXPECT_EQ(m_store.calls.size(), limit);
    ASSERT_TRUE(m_answer);
    EXPECT_EQ(m_answer->kind, answer_kind::RefusedClaim);
    EXPECT_EQ(m_answer->ran, ran_state::Unknown);
}

// Guards against a status page that reports "not run" while a copy can still run, or whose seal
// replaces the record of a request that was sent.
TEST_F(claiming_executor_test, anInquirySealsOnlyTriesThatWereNotSent)
{
    fake_client client(m_store, 3);
    claim_inquiry inquiry(m_south.loop, client, instance_id("i3"), {});
    const auto issuedAt = m_south.loop.wallNow();
    std::optional<claim_view> view;
    const auto lookUpOrSeal = [&](int calls) {
        inquiry.lookUpOrSeal(request_id("booking-17"), issuedAt, true,
                             [&](claim_view v) { view = std::move(v); });
        complete(calls, call_outcome::Ok, m_store.calls.size() - 1);
    };
    lookUpOrSeal(1);
    EXPECT_TRUE(view->absent);
    EXPECT_EQ(view->ran, ran_state::Unknown);
    m_south.loop.pause(seconds(11));
    lookUpOrSeal(3);
    EXPECT_EQ(view->ran, ran_state::No);
    send(m_north);
    complete(2, call_outcome::Ok);
    ASSERT_TRUE(m_answer);
    EXPECT_EQ(m_answer->ran, ran_state::No);
    EXPECT_EQ(m_executions, 0);

    m_north.loop.pause(seconds(11));
    send(m_north, seconds(60));
    complete(3, call_outcome::Ok);
    lookUpOrSeal(1);
    EXPECT_EQ(view->record->state, claim_state::Claimed) << "not older than takeoverAge";
    complete(2, call_outcome::Ok);
    EXPECT_EQ(m_executions, 1);
    lookUpOrSeal(1);
    EXPECT_EQ(view->ran, ran_state::Yes);
}

// Guards against a second run after the claim has expired.
TEST_F(claiming_executor_test, refusesRequestsThatCouldOutliveTheirClaim)
{
    send(m_north, seconds(2), std::chrono::hours(13));
    complete(1, call_outcome::Ok);
    ASSERT_TRUE(m_answer);
    EXPECT_EQ(m_answer->kind, answer_kind::RefusedInput);
    EXPECT_EQ(m_answer->ran, ran_state::No);
    send(m_north, seconds(2), -std::chrono::minutes(6));
    m_north.loop.runPosted();
    ASSERT_TRUE(m_answer);
    EXPECT_EQ(m_answer->kind, answer_kind::RefusedInput);
    EXPECT_TRUE(m_store.calls.empty());
    auto request = bookingRequest({}, m_north.loop.now() + seconds(1));
    request.repeatable = true;
    m_north.executor->run(request, [](const query_answer &) {});
    EXPECT_EQ(m_executions, 1);
}

TEST_F(claiming_executor_test, lookUpReportsUnknownWhenThePlatformIsUnavailable)
{
    fake_client client(m_store, 3);
    claim_lookup lookup(client);
    claim_view view;
    lookup.lookUp(request_id("booking-17"), [&](claim_view v) { view = std::move(v); });
    complete(1, call_outcome::Unavailable);
    EXPECT_EQ(view.ran, ran_state::Unknown);
    EXPECT_THAT(view.text, HasSubstr("cannot be asked"));
    send(m_north);
    complete(3, call_outcome::Ok);
    lookup.lookUp(request_id("booking-17"), [&](claim_view v) { view = std::move(v); });
    complete(1, call_outcome::Ok);
    EXPECT_EQ(view.ran, ran_state::Yes);
}

TEST_F(claiming_executor_test, theSweepRemovesExpiredRecordsAtALimitedRate)
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
