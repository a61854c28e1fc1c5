#include "peridotwheel/claims/claim_inquiry.h"

#include <algorithm>

namespace peridotwheel {

namespace {

/// The nonces of tries are hexadecimal numbers, so no try takes this seal for its own.
constexpr const char *inquiryNonce = "status-inquiry";

claim_view viewOfTry(wall_time issuedAt, const claim_view &seen)
{
    const bool released = seen.record && seen.record->state == claim_state::Released;
    if (!released || seals(*seen.record, issuedAt))
        return seen;
    claim_view view;
    view.from = seen.from;
    view.absent = true;
    view.text = "only earlier tries are recorded as not run";
    return view;
}

} // namespace

claim_inquiry::claim_inquiry(event_loop &loop, platform_client &platform, instance_id self,
                             claim_options options)
    : m_loop(loop)
    , m_platform(platform)
    , m_self(std::move(self))
    , m_options(options)
    , m_lookup(platform)
{
}

void claim_inquiry::lookUpOrSeal(const request_id &id, wall_time issuedAt, bool maySeal,
                                 view_hook done)
{
    std::weak_ptr<bool> alive = m_alive;
    m_lookup.lookUp(id, [this, alive, id, issuedAt, maySeal,
                         done = std::move(done)](const claim_view &view) {
        if (!alive.expired())
            onView(id, issuedAt, maySeal, view, done);
    });
}

bool claim_inquiry::canSeal(wall_time issuedAt, const claim_view &view) const
{
    const duration age = m_loop.wallNow() - issuedAt;
    // Beyond half of the retention, absence may mean that the record has expired.
    if (age <= m_options.takeoverAge || age > m_options.retention / 2)
        return false;
    if (view.absent)
        return true;
    if (!view.record)
        return false;
    if (view.record->state == claim_state::Released)
        return !seals(*view.record, issuedAt);
    // As in a takeover, the conditional update of the holder to `sent` then fails.
    return view.record->state == claim_state::Claimed &&
           m_loop.wallNow() - view.record->changedAt > m_options.takeoverAge;
}

void claim_inquiry::onView(const request_id &id, wall_time issuedAt, bool maySeal,
                           const claim_view &view, const view_hook &done)
{
    if (!maySeal || !canSeal(issuedAt, view)) {
        done(viewOfTry(issuedAt, view));
        return;
    }
    claim_record seal = view.record.value_or(claim_record());
    seal.state = claim_state::Released;
    seal.nonce = inquiryNonce;
    seal.instance = m_self;
    seal.sealedUpTo = std::max({seal.sealedUpTo, seal.issuedAt, issuedAt});
    seal.changedAt = m_loop.wallNow();
    const auto condition =
            view.record ? write_condition::at(view.version) : write_condition::absent();
    // The record is read back after every write, which also shows the outcome if the write was
    // refused or its reply was lost.
    std::weak_ptr<bool> alive = m_alive;
    m_platform.put(claimKey(id), toJson(seal), condition,
                   [this, alive, id, issuedAt, done](const result<object_version> &) {
                       if (!alive.expired())
                           lookUpOrSeal(id, issuedAt, false, done);
                   });
}

std::optional<query_answer> answerFromClaim(const claim_view &view, wall_time now,
                                            const claim_options &options)
{
    if (view.from == claim_view::source::Unreachable || !view.record)
        return std::nullopt;
    if (view.record->answer)
        return view.record->answer;
    query_answer answer;
    answer.ran = view.ran;
    answer.detail = view.text;
    const bool recent = now - view.record->changedAt < options.inProgressTimeout;
    switch (view.record->state) {
    case claim_state::Released:
        answer.kind = answer_kind::RefusedClaim;
        break;
    case claim_state::Claimed:
        answer.kind = answer_kind::InProgress;
        break;
    case claim_state::Sent:
        answer.kind = recent ? answer_kind::InProgress : answer_kind::OutcomeUnknown;
        break;
    case claim_state::Done:
        answer.kind = answer_kind::Complete;
        break;
    case claim_state::Failed:
        answer.kind = answer_kind::OutcomeUnknown;
        break;
    }
    return answer;
}

} // namespace peridotwheel
