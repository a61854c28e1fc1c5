#include "caller_lookup.h"
#include "peridotwheel/entry/answer_renderer.h"

namespace peridotwheel {

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
    if (const auto *entry = m_registry.find(wanted, m_loop.now()))
        return out->reply(renderText(200, requestStatusText(words(), statusOf(*entry))));
    if (!m_hooks.lookupClaim)
        return out->reply(
                renderText(200, unknownRequestText(words(), wanted, claim_search::NotAsked)));
    lookUp(wanted, out);
}

void caller_service::lookUp(const request_id &id, const responder_ptr &out)
{
    if (m_lookups.size() >= m_options.maxLookups) {
        return out->reply(
                renderText(200, unknownRequestText(words(), id, claim_search::Unreachable)));
    }
    auto l = std::make_shared<lookup>();
    l->id = id;
    l->out = out;
    m_lookups.insert(l);
    // The lookup is named by a weak pointer: it ends with its first result.
    const std::weak_ptr<lookup> weak = l;
    l->timeout = m_loop.schedule(m_options.lookupTimeout, [this, weak] {
        if (auto waiting = weak.lock())
            finishLookup(waiting, std::nullopt, false);
    });
    m_hooks.lookupClaim(id, [this, weak, alive = std::weak_ptr<int>(m_alive)](
                                    const std::optional<query_answer> &answer) {
        auto waiting = weak.lock();
        if (!alive.expired() && waiting)
            finishLookup(waiting, answer, true);
    });
}

void caller_service::finishLookup(const std::shared_ptr<lookup> &l,
                                  const std::optional<query_answer> &answer, bool answered)
{
    if (m_lookups.erase(l) == 0)
        return;
    l->timeout.cancel();
    if (answer) {
        request_status status;
        status.id = l->id;
        // Only requests that are not repeatable have claims.
        status.repeatable = false;
        status.answer = answer;
        return l->out->reply(renderText(200, requestStatusText(words(), status)));
    }
    // Without a record the store may also have failed; the platform's health tells.
    const bool read = answered && m_board.platformHealth.value().reachable;
    const auto search = read ? claim_search::NotFound : claim_search::Unreachable;
    l->out->reply(renderText(200, unknownRequestText(words(), l->id, search)));
}

} // namespace peridotwheel
