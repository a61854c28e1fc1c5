#include "peridotwheel/claims/claim_lookup.h"

namespace peridotwheel {

namespace {

claim_view viewOf(const claim_record &record)
{
    claim_view view;
    view.from = claim_view::source::Store;
    view.record = record;
    const std::string holder = "instance " + record.instance.value();
    switch (record.state) {
    case claim_state::Claimed:
        view.text = holder + " has claimed the request and has not sent it as far as is recorded";
        return view;
    case claim_state::Sent:
        view.text = holder + " has sent the request; no outcome is recorded";
        return view;
    case claim_state::Done:
        view.ran = ran_state::Yes;
        view.text = "ran at " + holder + "; the outcome is recorded";
        return view;
    case claim_state::Failed:
        view.ran = ran_state::Yes;
        view.text = "ran at " + holder + " and failed; the outcome is recorded";
        return view;
    case claim_state::Released:
        view.ran = ran_state::No;
        view.text = "did not run and will not run; send it again with the same requestId and a new "
                    "issuedAt";
        return view;
    }
    return view;
}

claim_view viewOf(const result<platform_object> &r)
{
    claim_view view;
    if (!r && r.error().kind == error_kind::NotFound) {
        view.from = claim_view::source::Store;
        view.absent = true;
        // Without the time of issue, absence may also mean that the record has expired.
        view.text = "no claim is recorded: the request was repeatable, did not run, or ran more "
                    "than 24 h ago";
        return view;
    }
    if (!r) {
        view.text = "the platform cannot be asked (" + r.error().message +
                    "), so it is unknown whether any instance ran this request";
        return view;
    }
    const auto record = claimRecordFromJson(r.value().value);
    if (record) {
        view = viewOf(record.value());
        view.version = r.value().version;
        return view;
    }
    view.from = claim_view::source::Store;
    view.text = record.error().message;
    return view;
}

} // namespace

void claim_lookup::lookUp(const request_id &id, std::function<void(claim_view)> done)
{
    m_platform.get(claimKey(id),
                   [done = std::move(done)](const result<platform_object> &r) { done(viewOf(r)); });
}

} // namespace peridotwheel
