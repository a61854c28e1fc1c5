#include "partitioned_connector.h"

namespace peridotwheel {

namespace {

class partitioned_connection : public http_connection
{
public:
    partitioned_connection(std::unique_ptr<http_connection> inner, event_loop &loop, endpoint to,
                           partitioned_connector::link_check isCut)
        : m_inner(std::move(inner))
        , m_loop(loop)
        , m_to(std::move(to))
        , m_isCut(std::move(isCut))
    {
    }

    void send(const http_request &request, duration timeout, outcome_hook done) override
    {
        m_done = std::move(done);
        m_deadline = m_loop.now() + timeout;
        if (m_isCut(m_to)) {
            loseReply();
            return;
        }
        m_inner->send(request, timeout, [this](http_outcome outcome) {
            if (m_isCut(m_to)) {
                loseReply();
                return;
            }
            finish(std::move(outcome));
        });
    }

    bool busy() const override { return m_done != nullptr; }
    bool established() const override { return !m_lost && m_inner->established(); }

private:
    void loseReply()
    {
        m_lost = true;
        m_timeout = m_loop.schedule(m_deadline - m_loop.now(), [this] {
            http_outcome outcome;
            outcome.failure = transport_failure::MayHaveRun;
            finish(std::move(outcome));
        });
    }

    void finish(http_outcome outcome)
    {
        // The hook may destroy this connection.
        auto done = std::exchange(m_done, nullptr);
        done(std::move(outcome));
    }

    std::unique_ptr<http_connection> m_inner;
    event_loop &m_loop;
    endpoint m_to;
    partitioned_connector::link_check m_isCut;
    outcome_hook m_done;
    time_point m_deadline{};
    timer m_timeout;
    bool m_lost = false;
};

} // namespace

partitioned_connector::partitioned_connector(std::unique_ptr<http_connector> inner,
                                             event_loop &loop, link_check isCut)
    : m_inner(std::move(inner))
    , m_loop(loop)
    , m_isCut(std::move(isCut))
{
}

std::unique_ptr<http_connection> partitioned_connector::open(const endpoint &to)
{
    return std::make_unique<partitioned_connection>(m_inner->open(to), m_loop, to, m_isCut);
}

} // namespace peridotwheel
