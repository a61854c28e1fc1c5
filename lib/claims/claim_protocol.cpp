#include "peridotwheel/claims/claim_protocol.h"

#include <algorithm>
#include <cassert>

namespace peridotwheel {

namespace {

constexpr duration maxInProgressRetryAfter = seconds(2);

/// Returns true if the answer reports that the request did not run and nothing in it contradicts
/// that.
bool certainlyNotRun(const query_answer &answer)
{
    return answer.ran == ran_state::No && answer.results.empty() && answer.covered.answered == 0;
}

claim_state finalStateFor(const query_answer &answer)
{
    const bool complete =
            answer.kind == answer_kind::Complete || answer.kind == answer_kind::Partial;
    return complete ? claim_state::Done : claim_state::Failed;
}

query_answer outcomeUnknown(std::string detail)
{
    query_answer answer;
    answer.kind = answer_kind::OutcomeUnknown;
    answer.ran = ran_state::Unknown;
    answer.detail = std::move(detail);
    return answer;
}

} // namespace

claim_protocol::claim_protocol(event_loop &loop, platform_client &platform,
                               claim_finaliser &finaliser, const claim_options &options,
                               parameters p)
    : m_loop(loop)
    , m_platform(platform)
    , m_finaliser(finaliser)
    , m_options(options)
    , m_parameters(std::move(p))
{
}

void claim_protocol::start()
{
    m_timeoutTimer = m_loop.schedule(m_parameters.deadline - m_loop.now(), [this] {
        if (!m_ran && !m_finished)
            refuse("the deadline passed before the claim was confirmed");
    });
    // Creating without reading first saves a call: most requests are not resends.
    claim(write_condition::absent(), {});
}

bool claim_protocol::reservePlatformCall()
{
    if (m_platformCalls++ < m_options.maxPlatformCalls)
        return true;
    refuse("the claim was not confirmed within the permitted number of platform calls");
    return false;
}

void claim_protocol::claim(write_condition condition, wall_time sealedUpTo)
{
    m_claimMayExist = true;
    m_claimedAt = m_loop.wallNow();
    claim_record record;
    record.nonce = m_parameters.nonce;
    record.instance = m_parameters.self;
    record.claimedAt = m_claimedAt;
    record.issuedAt = m_parameters.issuedAt;
    m_sealedUpTo = sealedUpTo;
    record.sealedUpTo = sealedUpTo;
    write(std::move(record), condition);
}

void claim_protocol::write(claim_record record, write_condition condition)
{
    if (!reservePlatformCall())
        return;
    record.changedAt = m_loop.wallNow();
    const std::string value = toJson(record);
    std::weak_ptr<bool> alive = m_alive;
    m_platform.put(claimKey(m_parameters.id), value, condition,
                   [this, alive, record = std::move(record)](const result<object_version> &r) {
                       if (!alive.expired() && !m_finished)
                           onWritten(record, r);
                   });
}

void claim_protocol::onWritten(const claim_record &record, const result<object_version> &r)
{
    if (r) {
        evaluate({record, r.value()});
        return;
    }
    if (r.error().kind == error_kind::Unavailable) {
        refuse("the platform cannot be reached: " + r.error().message);
        return;
    }
    readBack();
}

void claim_protocol::readBack()
{
    if (!reservePlatformCall())
        return;
    std::weak_ptr<bool> alive = m_alive;
    m_platform.get(claimKey(m_parameters.id), [this, alive](const result<platform_object> &r) {
        if (!alive.expired() && !m_finished)
            onRead(r);
    });
}

void claim_protocol::retryReadBack()
{
    m_readBackTimer = m_loop.schedule(m_options.readBackDelay, [this] {
        if (!m_finished)
            readBack();
    });
}

void claim_protocol::onRead(const result<platform_object> &r)
{
    if (!r && r.error().kind == error_kind::NotFound) {
        if (m_answerOnceSealed) {
            refuse("the claim record was removed from the store before it was sealed");
            return;
        }
        claim(write_condition::absent(), {});
        return;
    }
    if (!r) {
        retryReadBack();
        return;
    }
    const auto record = claimRecordFromJson(r.value().value);
    if (!record) {
        finish(outcomeUnknown(record.error().message));
        return;
    }
    evaluate({record.value(), r.value().version});
}

void claim_protocol::evaluate(const versioned_record &seen)
{
    if (seen.record.state == claim_state::Released) {
        evaluateReleased(seen);
        return;
    }
    if (!isOwn(seen.record)) {
        evaluateOtherHolder(seen);
        return;
    }
    if (m_answerOnceSealed) {
        writeSeal(seen.version);
        return;
    }
    if (seen.record.state == claim_state::Sent) {
        runOnce(seen);
        return;
    }
    assert(seen.record.state == claim_state::Claimed &&
           "only the run of this try writes a final state");
    claim_record sent = seen.record;
    sent.state = claim_state::Sent;
    write(std::move(sent), write_condition::at(seen.version));
}

void claim_protocol::evaluateOtherHolder(const versioned_record &seen)
{
    const auto &record = seen.record;
    if (record.answer) {
        finish(*record.answer);
        return;
    }
    if (record.state == claim_state::Sent) {
        const duration left = m_options.inProgressTimeout - ageOf(record.changedAt);
        if (left > duration::zero()) {
            answerInProgress(record, left);
            return;
        }
        finish(outcomeUnknown("an earlier try was sent and its outcome was never recorded"));
        return;
    }
    if (record.state != claim_state::Claimed) {
        finish(outcomeUnknown("an earlier try ended without a stored answer"));
        return;
    }
    const duration left = m_options.takeoverAge - ageOf(record.changedAt);
    // A sealed try must not run in place of a later one.
    const bool mayTakeOver = !m_answerOnceSealed && m_parameters.issuedAt > record.sealedUpTo;
    if (left > duration::zero() || !mayTakeOver) {
        answerInProgress(record, left > duration::zero() ? left : maxInProgressRetryAfter);
        return;
    }
    claim(write_condition::at(seen.version), record.sealedUpTo);
}

void claim_protocol::runOnce(const versioned_record &seen)
{
    assert(!m_ran && "a try runs its request once");
    // The process may have been paused since the update was written.
    if (m_loop.now() >= m_parameters.deadline) {
        query_answer answer;
        answer.kind = answer_kind::Expired;
        answer.detail = "the deadline passed before the request was sent; it did not run";
        seal(seen.version, std::move(answer));
        return;
    }
    m_ran = true;
    m_timeoutTimer.cancel();
    std::weak_ptr<bool> alive = m_alive;
    m_parameters.run([this, alive, seen](query_answer answer) {
        if (!alive.expired())
            onRunFinished(seen, std::move(answer));
    });
}

void claim_protocol::onRunFinished(const versioned_record &seen, query_answer answer)
{
    if (certainlyNotRun(answer)) {
        seal(seen.version, std::move(answer));
        return;
    }
    if (answer.ran != ran_state::Yes) {
        // The record stays `sent`, so that no other try can run the request.
        answer.kind = answer_kind::OutcomeUnknown;
        answer.ran = ran_state::Unknown;
        finish(std::move(answer));
        return;
    }
    claim_record last = seen.record;
    last.state = finalStateFor(answer);
    last.answer = answer;
    m_finaliser.finalise(m_parameters.id, std::move(last), seen.version);
    finish(std::move(answer));
}

duration claim_protocol::ageOf(wall_time t) const
{
    return m_loop.wallNow() - t;
}

void claim_protocol::refuse(const std::string &why)
{
    if (m_claimMayExist)
        m_finaliser.finalise(m_parameters.id, sealRecord(), std::nullopt);
    finish(refusedUnconfirmed(why));
}

void claim_protocol::answerInProgress(const claim_record &record, duration wait)
{
    query_answer answer;
    answer.kind = answer_kind::InProgress;
    answer.ran = ran_state::Unknown;
    answer.retryAfter = std::min(wait, maxInProgressRetryAfter);
    answer.detail = "instance " + record.instance.value() + " holds this request id, state " +
                    toString(record.state);
    finish(std::move(answer));
}

void claim_protocol::finish(query_answer answer)
{
    m_finished = true;
    m_timeoutTimer.cancel();
    m_readBackTimer.cancel();
    // The hook may destroy this object.
    const answer_hook done = std::move(m_parameters.done);
    done(std::move(answer));
}

} // namespace peridotwheel
