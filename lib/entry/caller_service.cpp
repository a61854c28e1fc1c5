#include "peridotwheel/entry/caller_service.h"

#include "caller_lookup.h"
#include "peridotwheel/entry/answer_renderer.h"

namespace peridotwheel {

namespace {

constexpr const char *classStatusPrefix = "/status/class/";
constexpr const char *requestStatusPrefix = "/status/";

bool startsWith(const std::string &text, const std::string &prefix)
{
    return text.compare(0, prefix.size(), prefix) == 0;
}

query_answer refusedStateAnswer(const char *detail)
{
    query_answer answer;
    answer.kind = answer_kind::RefusedState;
    answer.detail = detail;
    answer.retryAfter = defaultRetryDelay;
    return answer;
}

/// Limits how long a service without any reachable server delays readiness; after this the instance
/// serves the other services.
constexpr duration initialConnectTimeout = seconds(5);

query_answer inProgressAnswer()
{
    query_answer answer;
    answer.kind = answer_kind::InProgress;
    answer.ran = ran_state::Unknown;
    answer.detail = "an earlier try with this requestId is in progress here; ask GET /status/ID";
    return answer;
}

/// Returns \p earlier if it is set and the later try was not run, otherwise \p answer. A refusal of
/// the later try gives no information about an earlier try that may have run.
query_answer keepEarlierIfNotRun(const std::optional<query_answer> &earlier, query_answer answer)
{
    if (earlier && answer.ran == ran_state::No)
        return *earlier;
    return answer;
}

} // namespace

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
    , m_started(loop.now())
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
    if (startsWith(path, classStatusPrefix) && get)
        return replyClassStatus(path.substr(std::string(classStatusPrefix).size()), out);
    if (startsWith(path, requestStatusPrefix) && get)
        return replyRequestStatus(path.substr(std::string(requestStatusPrefix).size()), out);
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

bool caller_service::hasConfigurationAndShardMap() const
{
    return !m_board.configuration.value().classes.empty() &&
           m_board.snapshots.value().current != nullptr;
}

bool caller_service::ready()
{
    m_initialSyncDone =
            m_initialSyncDone || !m_hooks.isInitialSyncDone || m_hooks.isInitialSyncDone();
    if (!m_initialSyncDone)
        return false;
    if (!m_initialConnectDone && m_hooks.connected) {
        const bool timedOut = m_loop.now() - m_started >= initialConnectTimeout;
        m_initialConnectDone = hasConfigurationAndShardMap() && (m_hooks.connected() || timedOut);
        if (!m_initialConnectDone)
            return false;
    }
    return m_board.phase.value().phase == lifecycle_phase::Serving && hasConfigurationAndShardMap();
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
    if (!accepts || !hasConfigurationAndShardMap()) {
        const char *detail = accepts ? "not run: configuration or shard map not known yet; retry"
                                     : "not run: this instance is starting or stopped; retry";
        query_request unread;
        unread.repeatable = !isNonRepeatableBody(request.body);
        query_answer answer = refusedStateAnswer(detail);
        if (!unread.repeatable) {
            answer.ran = ran_state::Unknown;
            answer.detail =
                    "not run by this instance, which is starting or stopped, but a copy may "
                    "run at another; ask GET /status/ID later";
        }
        return replyUnregistered(unread, answer, out);
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
                                    "not run here: requestId was used with another value "
                                    "of repeatable; choose a new one",
                                    request.id,
                                    request.repeatable ? ran_state::No : ran_state::Unknown},
                                   out);
        }
        // Repeatable duplicates run independently: each caller gets a complete answer to its own
        // request, within its own deadline.
        if (!request.repeatable && !entry->answer)
            return replyUnregistered(request, inProgressAnswer(), out);
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
    answer = keepEarlierIfNotRun(earlier, std::move(answer));
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
    out->reply(renderInputError(e, refusedInputText(words(), e.id, e.message, e.ran)));
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
    replyUnregistered(
            {},
            refusedStateAnswer("not ready: starting, draining or without configuration or "
                               "shard map; use another instance"),
            out);
}

bool caller_service::knowsService(const service_name &name)
{
    const auto &snapshots = m_board.snapshots.sharedValue();
    const auto &servers = m_board.servers.sharedValue();
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
    constexpr int wordCount = 2;
    std::string out = "g-";
    for (int i = 0; i < wordCount; ++i) {
        std::uint64_t bits = m_random.next();
        for (int k = 0; k < 16; ++k, bits >>= 4)
            out += digits[bits & 15];
    }
    return request_id(out);
}

} // namespace peridotwheel
