#include "fake_backends.h"

#include "peridotwheel/support/hash.h"

#include <algorithm>
#include <sstream>

namespace peridotwheel {

result<caller_terms> fake_dialect::readTerms(const opaque_request &request) const
{
    const std::string *id = request.header("Id");
    if (id == nullptr)
        return failure(error_kind::InvalidArgument, "no id; send one");
    caller_terms terms;
    terms.id = request_id(*id);
    if (const std::string *timeBudgetText = request.header("Patience"))
        terms.timeBudget = milliseconds(std::stoi(*timeBudgetText));
    return terms;
}

caller_key fake_dialect::readKey(const opaque_request &request) const
{
    const std::string *key = request.header("Key");
    return key != nullptr ? caller_key{key_presence::Present, *key} : caller_key();
}

outgoing_request fake_dialect::prepare(const opaque_request &, const caller_terms &terms,
                                       const caller_identity &) const
{
    outgoing_request out;
    out.id = terms.id;
    out.head = terms.id.value();
    return out;
}

exchange_request fake_dialect::addressTo(const outgoing_request &request,
                                         const backend_record &server, duration left) const
{
    exchange_request out;
    out.text = request.head + " " + std::to_string(left.count() / 1000) + " " + server.id.value();
    return out;
}

exchange_request fake_dialect::healthCheck(const std::string &, const backend_record &) const
{
    exchange_request out;
    out.text = "health";
    return out;
}

bool fake_dialect::isHealthy(const http_reply &reply, const backend_record &) const
{
    return reply.status == 200;
}

reply_verdict fake_dialect::classify(const http_reply &reply) const
{
    const std::string verdict = *reply.header("V");
    if (verdict == "answer")
        return reply_verdict::Answer;
    if (verdict == "failure")
        return reply_verdict::Failure;
    if (verdict == "rejected")
        return reply_verdict::NotRun;
    return reply_verdict::WrongServer;
}

server_notice fake_dialect::readNotice(const http_reply &reply) const
{
    server_notice notice;
    if (const std::string *limit = reply.header("Limit"))
        notice.limit = request_rate(std::stod(*limit));
    notice.isLeaving = reply.header("Leaving") != nullptr;
    if (const std::string *holdOff = reply.header("Hold-Off-Ms"))
        notice.holdOff = milliseconds(std::stoi(*holdOff));
    if (const std::string *cold = reply.header("Cold-Ms"))
        notice.coldRemaining = milliseconds(std::stoi(*cold));
    return notice;
}

answer_part fake_dialect::readPart(http_reply reply) const
{
    return {*reply.header("S"), std::move(reply.body)};
}

http_reply fake_dialect::writeGathered(const std::vector<answer_part> &parts, std::size_t missing,
                                       std::string records) const
{
    http_reply reply{200, {{"Missing", std::to_string(missing)}}, std::move(records)};
    for (const auto &part : parts)
        reply.headers.emplace_back("Part", part.seal);
    return reply;
}

http_reply fake_dialect::writeRefusal(const refusal &r) const
{
    static const std::map<refusal_kind, int> statuses{
            {refusal_kind::NotRun, 503},          {refusal_kind::NoRoute, 404},
            {refusal_kind::BadRequest, 400},      {refusal_kind::Unauthenticated, 401},
            {refusal_kind::OverAllotment, 429},   {refusal_kind::NoAnswer, 502},
            {refusal_kind::DeadlineExceeded, 504}};
    http_reply reply{statuses.at(r.kind), {}, r.text};
    if (r.retryAfter)
        reply.headers.emplace_back("Retry-After-Ms", std::to_string(r.retryAfter->count() / 1000));
    return reply;
}

std::optional<time_point> fake_backends::server::endOf(duration requestWork, time_point now)
{
    const auto timeAt = [&](time_point begin) {
        return slowness ? scaled(requestWork, slowness(begin)) : requestWork;
    };
    if (slots == 0)
        return now + timeAt(now);
    m_freeAt.resize(slots);
    while (!m_begins.empty() && m_begins.front() <= now)
        m_begins.pop_front();
    if (m_begins.size() >= maxQueue)
        return std::nullopt;
    const auto slot = std::min_element(m_freeAt.begin(), m_freeAt.end());
    const time_point begin = std::max(*slot, now);
    if (begin > now)
        m_begins.push_back(begin);
    longestQueue = std::max(longestQueue, m_begins.size());
    *slot = begin + timeAt(begin);
    return *slot;
}

class fake_backends::connection : public client_connection
{
public:
    connection(manual_loop &loop, server &at, client_connection_hooks hooks)
        : m_loop(loop)
        , m_server(at)
        , m_hooks(std::move(hooks))
    {
        m_isOverLimit = ++m_server.openConnections > m_server.maxConnections;
        m_server.mostConnections = std::max(m_server.mostConnections, m_server.openConnections);
        m_event = m_loop.schedule(m_server.distance, [this] {
            // Hooks may destroy this connection, so copies are called.
            if (m_server.unreachable) {
                const auto closed = m_hooks.onClosed;
                return closed();
            }
            m_open = true;
            if (m_isOverLimit)
                m_reset = m_loop.schedule(m_server.resetAfter, [this] { reset(); });
            const auto opened = m_hooks.onOpen;
            opened();
        });
    }

    ~connection() override
    {
        --m_server.openConnections;
        if (m_done)
            ++m_server.aborted;
    }

    void send(exchange_request request, outcome_hook done) override
    {
        m_done = std::move(done);
        std::istringstream in(request.text);
        in >> m_id;
        m_event = m_loop.schedule(m_server.distance / 2, [this] { arrive(); });
    }

    bool busy() const override { return m_done != nullptr; }
    bool open() const override { return m_open; }
    bool isRequestWritten() const override { return busy(); }
    std::optional<time_point> lastReceivedAt() const override { return std::nullopt; }

private:
    void reset()
    {
        m_open = false;
        m_event.cancel();
        if (!m_done) {
            const auto closed = m_hooks.onClosed;
            return closed();
        }
        http_outcome outcome;
        outcome.failure = transport_failure::MayHaveRun;
        const auto done = std::exchange(m_done, nullptr);
        done(std::move(outcome));
    }

    void arrive()
    {
        const bool isCheck = m_id == "health";
        server_behaviour how = behaviourFor(m_id);
        const time_point now = m_loop.now();
        std::optional<time_point> end;
        if (isCheck)
            end = now + m_server.work;
        else if (how != server_behaviour::Reject && how != server_behaviour::WrongServer)
            end = m_server.endOf(variedWork(), now);
        if (!end && how == server_behaviour::Answer)
            how = server_behaviour::Reject;
        if (!isCheck) {
            m_server.arrived.push_back(m_id);
            m_server.arrivedAt.push_back(m_loop.now());
        }
        const bool runs = how != server_behaviour::Reject && how != server_behaviour::WrongServer;
        if (runs && !isCheck)
            m_server.ran.push_back(m_id);
        // The client skips copies that bear the id of another request.
        const bool getsLateCopy = !m_lastRejected.empty() && m_lastRejected == m_id;
        m_lastRejected = how == server_behaviour::Reject && m_server.repeatsRejectionsLate
                                 ? m_id
                                 : std::string();
        if (getsLateCopy) {
            m_event = m_loop.schedule(m_server.distance / 2,
                                      [this] { answer(server_behaviour::Reject); });
            return;
        }
        if (how == server_behaviour::Silent)
            return;
        m_event = m_loop.schedule(end.value_or(now) - now + m_server.distance / 2,
                                  [this, how] { answer(how); });
    }

    /// Returns the work of the request, which varies by a half where requests queue.
    duration variedWork() const
    {
        constexpr double steps = 1000;
        const double draw = static_cast<double>(stableHash(m_id) % 1000) / steps;
        return m_server.slots == 0 ? m_server.work : scaled(m_server.work, 0.5 + draw);
    }

    server_behaviour behaviourFor(const std::string &id) const
    {
        if (m_server.disturbedShare >= 1)
            return m_server.behaviour;
        constexpr double steps = 1000;
        const auto draw = static_cast<double>(
                stableHash(id + "@" + std::to_string(m_server.arrived.size())) % 1000);
        return draw < steps * m_server.disturbedShare ? m_server.behaviour
                                                      : server_behaviour::Answer;
    }

    void answer(server_behaviour how)
    {
        http_outcome outcome;
        outcome.reply = {200, {{"V", "answer"}, {"S", m_id + "@server"}}, m_server.records};
        switch (how) {
        case server_behaviour::Fail:
            outcome.reply.status = 500;
            outcome.reply.headers[0].second = "failure";
            break;
        case server_behaviour::Reject:
            outcome.reply.status = 503;
            outcome.reply.headers[0].second = "rejected";
            break;
        case server_behaviour::WrongServer:
            outcome.reply.status = 421;
            outcome.reply.headers[0].second = "elsewhere";
            break;
        case server_behaviour::Reset:
            outcome.failure = transport_failure::MayHaveRun;
            m_open = false;
            break;
        case server_behaviour::Answer:
        case server_behaviour::Silent:
            break;
        }
        outcome.reply.headers.insert(outcome.reply.headers.end(), m_server.notices.begin(),
                                     m_server.notices.end());
        const auto done = std::exchange(m_done, nullptr);
        done(std::move(outcome));
    }

    manual_loop &m_loop;
    server &m_server;
    client_connection_hooks m_hooks;
    outcome_hook m_done;
    std::string m_id;
    /// Id of the rejected request whose second copy is still to come, if any.
    std::string m_lastRejected;
    bool m_open = false;
    bool m_isOverLimit = false;
    timer m_event;
    timer m_reset;
};

std::unique_ptr<client_connection> fake_backends::open(const endpoint &to,
                                                       client_connection_hooks hooks)
{
    return std::make_unique<connection>(m_loop, m_servers[to.port], std::move(hooks));
}

std::size_t fake_backends::arrivals() const
{
    std::size_t all = 0;
    for (const auto &[port, s] : m_servers)
        all += s.arrived.size();
    return all;
}

std::size_t fake_backends::runs(const std::string &id) const
{
    std::size_t all = 0;
    for (const auto &[port, s] : m_servers)
        all += static_cast<std::size_t>(std::count(s.ran.begin(), s.ran.end(), id));
    return all;
}

} // namespace peridotwheel
