#include "caller_lookup.h"
#include "peridotwheel/entry/answer_renderer.h"

namespace peridotwheel {

namespace {

bool needsClaimLookup(const request_entry &entry)
{
    return !entry.repeatable && (!entry.answer || entry.answer->ran == ran_state::Unknown);
}

/// Returns true if this instance did not run the request, but another instance may have run a copy.
bool mayHaveRunElsewhere(const query_answer &answer)
{
    return answer.kind == answer_kind::RefusedClaim && answer.ran == ran_state::Unknown;
}

/// Returns the claim store's answer if it decides the outcome or if this instance holds no outcome,
/// otherwise this instance's answer. If the store has no record and this instance holds no outcome,
/// the detail says so.
std::optional<query_answer> mergeClaimResult(const std::optional<query_answer> &own,
                                             const claim_lookup_result &found)
{
    const bool noOutcomeHere =
            own && (mayHaveRunElsewhere(*own) || own->kind == answer_kind::InProgress);
    if (found.answer && (found.answer->ran != ran_state::Unknown || noOutcomeHere))
        return found.answer;
    if (!found.read || !noOutcomeHere)
        return own;
    query_answer answer = *own;
    answer.kind = answer_kind::RefusedClaim;
    answer.detail = "the claim store has no claim of this try: it has not run so far, but a copy "
                    "may still be under way; ask again";
    return answer;
}

} // namespace

void caller_service::replySystemStatus(const responder_ptr &out)
{
    system_status status;
    status.instance = m_options.self;
    status.phase = m_board.phase.value().phase;
    status.configuration = m_board.configuration.value().version;
    status.classes = static_cast<std::uint32_t>(m_board.configuration.value().classes.size());
    if (const auto &map = m_board.snapshots.value().current)
        status.snapshot = map->version;
    status.platform = m_board.platformHealth.value();
    status.inProgress = static_cast<std::uint32_t>(m_inProgress);
    if (m_hooks.systemLoad)
        status.load = m_hooks.systemLoad();
    out->reply(renderText(200, systemStatusText(words(), status)));
}

void caller_service::replyClassStatus(const std::string &name, const responder_ptr &out)
{
    const auto &classes = m_board.configuration.value().classes;
    const auto it = name.size() > maxNameBytes ? classes.end() : classes.find(class_name(name));
    if (it == classes.end()) {
        const class_name shown(name.substr(0, maxNameBytes));
        const input_error e{404,
                            "unknown-class",
                            "no such class is configured; check the name or ask the operator",
                            {}};
        return out->reply(renderInputError(e, unknownClassText(words(), shown)));
    }
    class_load load;
    if (m_hooks.classLoad)
        load = m_hooks.classLoad(it->first);
    out->reply(renderText(200,
                          classStatusText(words(), it->second, load, m_board.phase.value().phase)));
}

void caller_service::replyRequestStatus(const std::string &id, const responder_ptr &out)
{
    if (!isRequestId(id)) {
        return replyInputError(
                {400,
                 "bad-id",
                 "a request id has 1 to 64 letters, digits, '.', '_', '-' or ':' and begins with a "
                 "letter or digit",
                 {}},
                out);
    }
    const request_id wanted(id);
    const auto *entry = m_registry.find(wanted, m_loop.now());
    if (entry && (!needsClaimLookup(*entry) || !m_hooks.lookupClaim))
        return out->reply(renderText(200, requestStatusText(words(), statusOf(*entry))));
    if (!m_hooks.lookupClaim)
        return out->reply(
                renderText(200, unknownRequestText(words(), wanted, claim_search::NotAsked)));
    if (!entry)
        return lookUp({wanted, {}, false}, out);
    lookUp({wanted, entry->issuedAt, entry->answer && mayHaveRunElsewhere(*entry->answer)}, out);
}

void caller_service::lookUp(const claim_lookup_request &question, const responder_ptr &out)
{
    if (m_pendingLookups.size() >= m_options.maxPendingLookups)
        return out->reply(renderText(200, textAfterLookup(question.id, {})));
    auto l = std::make_shared<pending_lookup>();
    l->id = question.id;
    l->out = out;
    m_pendingLookups.insert(l);
    // The hooks hold a weak pointer, since the first result or the timeout ends the lookup.
    const std::weak_ptr<pending_lookup> weak = l;
    l->timeout = m_loop.schedule(m_options.lookupTimeout, [this, weak] {
        if (auto waiting = weak.lock())
            finishLookup(waiting, {});
    });
    m_hooks.lookupClaim(question, [this, weak, alive = std::weak_ptr<int>(m_alive)](
                                          const claim_lookup_result &found) {
        auto waiting = weak.lock();
        if (!alive.expired() && waiting)
            finishLookup(waiting, found);
    });
}

void caller_service::finishLookup(const std::shared_ptr<pending_lookup> &l,
                                  const claim_lookup_result &found)
{
    if (m_pendingLookups.erase(l) == 0)
        return;
    l->timeout.cancel();
    l->out->reply(renderText(200, textAfterLookup(l->id, found)));
}

std::string caller_service::textAfterLookup(const request_id &id, const claim_lookup_result &found)
{
    // The request may have ended or been evicted from the registry during the lookup.
    if (const auto *entry = m_registry.find(id, m_loop.now())) {
        request_status status = statusOf(*entry);
        if (needsClaimLookup(*entry))
            status.answer = mergeClaimResult(entry->answer, found);
        return requestStatusText(words(), status);
    }
    if (found.answer) {
        request_status status;
        status.id = id;
        // Only requests that are not repeatable have claims.
        status.repeatable = false;
        status.answer = found.answer;
        return requestStatusText(words(), status);
    }
    const auto search = found.read ? claim_search::NotFound : claim_search::Unreachable;
    return unknownRequestText(words(), id, search);
}

} // namespace peridotwheel
