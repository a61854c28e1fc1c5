#include "fake_servers.h"

namespace peridotwheel {

namespace {

http_reply replyOf(fake_server &server, const http_request &request)
{
    http_reply reply;
    reply.status = server.status;
    if (server.notRun)
        reply.headers.emplace_back("X-Not-Run", "1");
    reply.headers.emplace_back("X-Draining", server.draining ? "1" : "0");
    const std::string *version = request.header("X-Index-Version");
    if (version == nullptr) {
        reply.body = R"([{"plain":true}])";
        return reply;
    }
    if (server.versions.count(std::stoull(*version)) == 0)
        reply.status = 410;
    const bool statesOtherVersion = server.statedVersion != 0;
    reply.headers.emplace_back("X-Index-Version", statesOtherVersion
                                                          ? std::to_string(server.statedVersion)
                                                          : *version);
    const std::string shards =
            server.statedShards.empty() ? *request.header("X-Shards") : server.statedShards;
    reply.headers.emplace_back("X-Shards", shards);
    // Shard 7 of version 1 answers "v1s7", so that tests detect mixed versions and misplaced
    // results.
    std::string body = "[";
    for (std::size_t at = 0; at <= shards.size();) {
        const std::size_t end = std::min(shards.find(',', at), shards.size());
        body += at == 0 ? "" : ",";
        body += "\"v" + *version + "s" + shards.substr(at, end - at) + "\"";
        at = end + 1;
    }
    reply.body = body + "]";
    return reply;
}

class fake_connection : public http_connection
{
public:
    fake_connection(manual_loop &loop, fake_server &server)
        : m_loop(loop)
        , m_server(server)
        , m_refused(server.open >= server.connectionLimit)
    {
        ++m_server.open;
    }
    ~fake_connection() override { --m_server.open; }

    void send(const http_request &request, duration timeout, outcome_hook done) override
    {
        m_done = std::move(done);
        if (m_server.down) {
            finishAfter(milliseconds(1), failed(transport_failure::NotSent));
            return;
        }
        if (m_refused) {
            finishAfter(milliseconds(1), failed(transport_failure::MayHaveRun));
            return;
        }
        if (m_server.silent && request.path == "/health") {
            finishAfter(timeout, failed(transport_failure::MayHaveRun));
            return;
        }
        if (request.path == "/health" || request.path == "/cancel") {
            const char *sign = m_server.drainingInHealth ? "1" : "0";
            finishAfter(milliseconds(1),
                        {transport_failure::None, {200, {{"X-Draining", sign}}, ""}});
            return;
        }
        m_server.requests.push_back(request);
        const duration latency =
                m_server.latencyOf ? m_server.latencyOf(request) : m_server.latency;
        if (m_server.reset) {
            finishAfter(milliseconds(2), failed(transport_failure::MayHaveRun));
        } else if (m_server.silent || latency > timeout) {
            finishAfter(timeout, failed(transport_failure::MayHaveRun));
        } else {
            finishAfter(latency, {transport_failure::None, replyOf(m_server, request)});
        }
    }
    bool busy() const override { return m_done != nullptr; }
    bool established() const override { return true; }

private:
    static http_outcome failed(transport_failure failure) { return {failure, {}}; }

    void finishAfter(duration delay, http_outcome outcome)
    {
        m_timer = m_loop.schedule(delay, [this, outcome = std::move(outcome)] {
            const auto done = std::move(m_done);
            m_done = nullptr;
            done(outcome);
        });
    }

    manual_loop &m_loop;
    fake_server &m_server;
    bool m_refused;
    outcome_hook m_done;
    timer m_timer;
};

} // namespace

std::unique_ptr<http_connection> fake_connector::open(const endpoint &to)
{
    return std::make_unique<fake_connection>(m_loop, m_servers[to.port]);
}

} // namespace peridotwheel
