#include "peridotwheel/entry/caller_service.h"

#include "peridotwheel/entry/answer_renderer.h"

namespace peridotwheel {

namespace {

constexpr const char *classPrefix = "/status/class/";
constexpr const char *requestPrefix = "/status/";

bool startsWith(const std::string &text, const std::string &prefix)
{
    return text.compare(0, prefix.size(), prefix) == 0;
}

query_answer refusedState(const char *detail)
{
    query_answer answer;
    answer.kind = answer_kind::RefusedState;
    answer.detail = detail;
    answer.retryAfter = defaultRetryDelay;
    return answer;
}

query_answer alreadyInProgress()
{
    query_answer answer;
    answer.kind = answer_kind::InProgress;
    answer.ran = ran_state::Unknown;
    answer.detail = "an earlier try with this requestId is in progress here; ask GET /status/ID";
    return answer;
}

/// A refused later try says nothing about an earlier try that may have run, so what is known of the
/// earlier one stands.
query_answer reconcile(const std::optional<query_answer> &earlier, query_answer answer)
{
    if (earlier && answer.ran == ran_state::No)
        return *earlier;
    return answer;
}

request_status statusOf(const request_entry &entry)
{
    return {entry.id, entry.spec.name, entry.repeatable, entry.spec.coverageTarget, entry.answer};
}

} // namespace

/// One status request that waits for the claim store.
struct caller_service::lookup
{
    request_id id;
    responder_ptr out;
    timer timeout;
};

caller_service::caller_service(event_loop &loop, const blackboard &board, query_executor &executor,
                               caller_service_hooks hooks, counter_set &counters, event_sink events,
                               caller_service_options options)
    : m_loop(loop)
    , m_board(board)
    , m_executor(executor)
    , m_hooks(std::move(hooks))
    , m_counters(counters)
    , m_events(std::move(events))
    , m_options(std::move(options))
    , m_registry(m_options.registry)
    , m_random(m_options.seed)
{
}

caller_service::~caller_service() = default;

void caller_service::handle(const http_request &request, const responder_ptr &out)
{
    const std::string path = request.path.substr(0, request.path.find('?'));
    const bool get = request.method == http_method::Get;
    if (path == "/query" && request.method == http_method::Post)
        return handleQuery(request, out);
    if (path == "/ready" && get)
        return replyReady(out);
    if (path == "/status" && get)
        return replySystemStatus(out);
    if (startsWith(path, classPrefix) && get)
        return replyClassStatus(path.substr(std::string(classPrefix).size()), out);
    if (startsWith(path, requestPrefix) && get)
        return replyRequestStatus(path.substr(std::string(requestPrefix).size()), out);
    const bool known = path == "/query" || path == "/ready" || startsWith(path, "/status");
    if (known) {
        return replyInputError({405,
                                "wrong-method",
                                "not run: use POST for /query and GET for all other paths",
                                {}},
                               out);
    }
    replyInputError({404,
                     "unknown-path",
                     "not run: use POST /query, GET /status, GET /status/class/NAME, "
                     "GET /status/ID or GET /ready",
                     {}},
                    out);
}

bool caller_service::hasState() const
{
    return !m_board.configuration.value().classes.empty() &&
           m_board.snapshots.value().current != nullptr;
}

bool caller_service::ready() const
{
    return m_board.phase.value().phase == lifecycle_phase::Serving && hasState();
}

const status_words &caller_service::words() const
{
    return m_board.configuration.value().words;
}

void caller_service::handleQuery(const http_request &request, const responder_ptr &out)
{
    m_counters.at("callers.queries").add();
    const query_context context{m_board.configuration.value(),
                                [this](const service_name &name) { return knowsService(name); },
                                [this] { return newId(); }, m_loop.now(), m_loop.wallNow()};
    const auto phase = m_board.phase.value().phase;
    const bool accepts = phase == lifecycle_phase::Serving || phase == lifecycle_phase::Draining;
    if (!accepts || !hasState()) {
        const char *detail = accepts ? "not run: configuration or shard map not known yet; retry"
                                     : "not run: this instance is starting or stopped; retry";
        return replyUnregistered({}, refusedState(detail), out);
    }
    auto parsed = parseQuery(request.body, context);
    if (!parsed)
        return replyInputError(parsed.error(), out);
    runQuery(std::move(parsed).value(), out);
}

void caller_service::runQuery(query_request request, const responder_ptr &out)
{
    std::optional<query_answer> earlier;
    if (const auto *entry = m_registry.find(request.id, m_loop.now())) {
        if (entry->repeatable != request.repeatable) {
            return replyInputError({409, "id-in-use",
                                    "not run: requestId was used with another value of "
                                    "repeatable; choose a new one",
                                    request.id},
                                   out);
        }
        // Repeatable duplicates run independently: each caller gets the whole answer to its own
        // request, with its own deadline.
        if (!request.repeatable && !entry->answer)
            return replyUnregistered(request, alreadyInProgress(), out);
        if (!request.repeatable && entry->answer->ran != ran_state::No)
            earlier = entry->answer;
    }
    const auto token = m_registry.begin(request, m_loop.now());
    ++m_inProgress;
    const request_id id = request.id;
    m_executor.run(std::move(request), [this, alive = std::weak_ptr<int>(m_alive), id, token,
                                        earlier = std::move(earlier), out](query_answer answer) {
        if (!alive.expired())
            finishQuery(id, token, earlier, std::move(answer), out);
    });
}

void caller_service::finishQuery(const request_id &id, request_registry::token token,
                                 const std::optional<query_answer> &earlier, query_answer answer,
                                 const responder_ptr &out)
{
    --m_inProgress;
    answer = reconcile(earlier, std::move(answer));
    m_registry.finish(id, token, answer, m_loop.now());
    m_counters.at(std::string("callers.answers.") + toString(answer.kind)).add();
    request_status status;
    status.id = id;
    if (const auto *entry = m_registry.find(id, m_loop.now())) {
        status = statusOf(*entry);
        status.answer = answer;
    }
    if (m_events)
        m_events({{}, event_kind::Answer, id, status.className, toString(answer.kind)});
    out->reply(renderAnswer(id, answer, requestStatusText(words(), status)));
}

void caller_service::replyInputError(const input_error &e, const responder_ptr &out)
{
    m_counters.at("callers.refused-input").add();
    out->reply(renderInputError(e, refusedInputText(words(), e.id, e.message)));
}

void caller_service::replyUnregistered(const query_request &request, const query_answer &answer,
                                       const responder_ptr &out)
{
    m_counters.at(std::string("callers.answers.") + toString(answer.kind)).add();
    const request_status status{request.id, request.spec.name, request.repeatable,
                                request.spec.coverageTarget, answer};
    out->reply(renderAnswer(request.id, answer, requestStatusText(words(), status)));
}

void caller_service::replyReady(const responder_ptr &out)
{
    if (ready())
        return out->reply(renderText(200, "ready\n"));
    replyUnregistered({},
                      refusedState("not ready: starting, draining or without configuration or "
                                   "shard map; use another instance"),
                      out);
}

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
        return out->reply(renderText(404, unknownClassText(words(), shown)));
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
        return replyInputError({400,
                                "bad-id",
                                "a request id has 1 to 64 letters, digits, '.', '_', '-' or ':'",
                                {}},
                               out);
    }
    const request_id wanted(id);
    if (const auto *entry = m_registry.find(wanted, m_loop.now()))
        return out->reply(renderText(200, requestStatusText(words(), statusOf(*entry))));
    if (!m_hooks.lookupClaim)
        return out->reply(
                renderText(404, unknownRequestText(words(), wanted, claim_search::NotAsked)));
    lookUp(wanted, out);
}

void caller_service::lookUp(const request_id &id, const responder_ptr &out)
{
    if (m_lookups.size() >= m_options.maxLookups) {
        return out->reply(
                renderText(404, unknownRequestText(words(), id, claim_search::Unreachable)));
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
    l->out->reply(renderText(404, unknownRequestText(words(), l->id, search)));
}

bool caller_service::knowsService(const service_name &name)
{
    const auto &snapshots = m_board.snapshots.share();
    const auto &servers = m_board.servers.share();
    if (m_servicesSnapshots != snapshots || m_servicesServers != servers) {
        m_services.clear();
        if (snapshots->current) {
            for (const shard &s : snapshots->current->shards)
                m_services.insert(s.service);
        }
        for (const auto &[id, record] : *servers)
            m_services.insert(record.service);
        m_servicesSnapshots = snapshots;
        m_servicesServers = servers;
    }
    return m_services.count(name) != 0;
}

request_id caller_service::newId()
{
    constexpr char digits[] = "0123456789abcdef";
    constexpr int words = 2;
    std::string out = "g-";
    for (int i = 0; i < words; ++i) {
        std::uint64_t bits = m_random.next();
        for (int k = 0; k < 16; ++k, bits >>= 4)
            out += digits[bits & 15];
    }
    return request_id(out);
}

} // namespace peridotwheel
