#include "peridotwheel/claims/claiming_executor.h"

#include <array>
#include <cinttypes>
#include <cstdio>

namespace peridotwheel {

namespace {

const char *outcomeName(answer_kind kind)
{
    switch (kind) {
    case answer_kind::Complete:
    case answer_kind::Partial:
        return "done";
    case answer_kind::Failed:
        return "failed";
    case answer_kind::RefusedClaim:
        return "refused";
    case answer_kind::InProgress:
        return "in-progress";
    case answer_kind::Expired:
        return "expired";
    default:
        return "unknown";
    }
}

} // namespace

claiming_executor::claiming_executor(event_loop &loop, platform_client &platform,
                                     query_executor &inner, instance_id self, random_source &random,
                                     event_sink events, claim_options options)
    : m_loop(loop)
    , m_platform(platform)
    , m_inner(inner)
    , m_self(std::move(self))
    , m_random(random)
    , m_events(std::move(events))
    , m_options(options)
    , m_finaliser(loop, platform, options)
    , m_lookup(platform)
{
}

void claiming_executor::run(query_request request, answer_hook done)
{
    if (request.repeatable) {
        m_inner.run(std::move(request), std::move(done));
        return;
    }
    if (!request.issuedAt) {
        refuse(std::move(done), "not run: a request that is not repeatable needs issuedAt");
        return;
    }
    const duration age = m_loop.wallNow() - *request.issuedAt;
    if (age > m_options.retention / 2) {
        refuseTooOld(request.id, age, std::move(done));
        return;
    }
    if (-age > m_options.maxIssuedAtLead) {
        refuse(std::move(done),
               "not run: issuedAt is more than 5 minutes in the future; correct the clock and send "
               "it again");
        return;
    }
    runClaimed(request, std::move(done));
}

void claiming_executor::refuse(answer_hook done, std::string detail)
{
    query_answer answer;
    answer.kind = answer_kind::RefusedInput;
    answer.detail = std::move(detail);
    m_loop.post([done = std::move(done), answer = std::move(answer)] { done(answer); });
}

void claiming_executor::refuseTooOld(const request_id &id, duration age, answer_hook done)
{
    // Beyond the margin every copy is refused as well, so that an absent record stays absent.
    // Beyond the retention the record may have expired.
    const bool final = age <= m_options.retention &&
                       age > m_options.retention / 2 + m_options.inFlightCopyMargin;
    m_lookup.lookUp(id, [final, done = std::move(done)](const claim_view &view) {
        if (view.record && view.record->answer) {
            done(*view.record->answer);
            return;
        }
        query_answer answer;
        answer.kind = answer_kind::RefusedInput;
        answer.ran = view.absent && final ? ran_state::No : view.ran;
        answer.detail =
                "not run by this try: issued more than 12 h ago; earlier tries: " + view.text +
                "; issue it anew under a new id if it is still wanted";
        done(std::move(answer));
    });
}

void claiming_executor::runClaimed(const query_request &request, answer_hook done)
{
    if (m_active.size() >= m_options.maxActiveClaims) {
        // A copy at another instance cannot be ruled out without a platform call.
        m_loop.post([done = std::move(done)] {
            done(refusedUnconfirmed("too many requests that are not repeatable are in progress"));
        });
        return;
    }
    const serial s = m_nextSerial++;
    auto p = parametersFor(s, request, std::move(done));
    p.run = [this, request](answer_hook answered) {
        emitEvent(request.id, request.spec.name, "claim sent");
        m_inner.run(request, std::move(answered));
    };
    auto &active = m_active[s];
    active.id = request.id;
    active.protocol = std::make_unique<claim_protocol>(m_loop, m_platform, m_finaliser, m_options,
                                                       std::move(p));
    active.protocol->start();
}

claim_protocol::parameters claiming_executor::parametersFor(serial s, const query_request &request,
                                                            answer_hook done)
{
    claim_protocol::parameters p;
    p.id = request.id;
    p.self = m_self;
    p.nonce = generateNonce();
    p.issuedAt = *request.issuedAt;
    p.deadline = request.deadline;
    p.done = [this, s, name = request.spec.name, done = std::move(done)](query_answer answer) {
        emitEvent(m_active[s].id, name, std::string("claim ") + outcomeName(answer.kind));
        onAnswer(s, done, std::move(answer));
    };
    return p;
}

std::string claiming_executor::generateNonce()
{
    std::array<char, 33> text{};
    const std::uint64_t high = m_random.next();
    const std::uint64_t low = m_random.next();
    std::snprintf(text.data(), text.size(), "%016" PRIx64 "%016" PRIx64, high, low);
    return text.data();
}

void claiming_executor::onAnswer(serial s, const answer_hook &done, query_answer answer)
{
    // The protocol object is still on the call stack, so the loop destroys it later.
    std::weak_ptr<bool> alive = m_alive;
    m_loop.post([this, alive, s] {
        if (!alive.expired())
            m_active.erase(s);
    });
    done(std::move(answer));
}

void claiming_executor::emitEvent(const request_id &id, const class_name &name, std::string text)
{
    if (!m_events)
        return;
    timeline_event event;
    event.kind = event_kind::Claim;
    event.request = id;
    event.className = name;
    event.text = std::move(text);
    m_events(std::move(event));
}

} // namespace peridotwheel
