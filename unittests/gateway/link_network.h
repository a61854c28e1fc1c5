#ifndef PERIDOTWHEEL_UNITTESTS_GATEWAY_LINK_NETWORK_H
#define PERIDOTWHEEL_UNITTESTS_GATEWAY_LINK_NETWORK_H

#include "exchange_fixture.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>

namespace peridotwheel {

/// A link of limited bandwidth whose flows get equal shares, as TCP connections do.
class shared_link
{
public:
    /// Reports that \p bytes of a flow have passed the link.
    using passed_hook = std::function<void(std::size_t bytes)>;

    shared_link(manual_loop &loop, byte_rate rate)
        : m_loop(loop)
        , m_rate(rate)
    {
    }

    /// Queues \p bytes, which are discarded as soon as \p flow has expired.
    void transmit(const std::weak_ptr<int> &flow, std::size_t bytes, passed_hook onPassed)
    {
        m_flows.push_back({flow, bytes, std::move(onPassed)});
        if (!m_busy)
            next();
    }

private:
    static constexpr std::size_t segmentBytes = 8 * 1024;

    struct queued_flow
    {
        std::weak_ptr<int> flow;
        std::size_t remaining;
        passed_hook onPassed;
    };

    void next()
    {
        while (!m_flows.empty() && m_flows.front().flow.expired())
            m_flows.pop_front();
        m_busy = !m_flows.empty();
        if (!m_busy)
            return;
        queued_flow current = std::move(m_flows.front());
        m_flows.pop_front();
        const std::size_t segment = std::min(segmentBytes, current.remaining);
        const auto takes =
                scaled(seconds(1), static_cast<double>(segment) / m_rate.bytesPerSecond());
        m_timer = m_loop.schedule(takes, [this, segment, current = std::move(current)]() mutable {
            const auto onPassed = current.onPassed;
            const bool isAlive = !current.flow.expired();
            current.remaining -= segment;
            if (current.remaining > 0)
                m_flows.push_back(std::move(current));
            if (isAlive)
                onPassed(segment);
            next();
        });
    }

    manual_loop &m_loop;
    byte_rate m_rate;
    std::deque<queued_flow> m_flows;
    bool m_busy = false;
    timer m_timer;
};

/// Delivers requests over links of limited bandwidth, one in each direction for each instance. A
/// request that times out frees what it still had to transmit.
class link_network : public instance_network
{
public:
    link_network(manual_loop &loop, byte_rate rate)
        : m_loop(loop)
        , m_rate(rate)
    {
    }

    http_client &clientOf(const endpoint &from) override
    {
        auto &c = m_clients[from];
        if (!c)
            c = std::make_unique<client>(*this, from);
        return *c;
    }

private:
    using link_map = std::map<endpoint, std::unique_ptr<shared_link>>;

    static constexpr duration latency = milliseconds(1);
    static constexpr std::size_t headerBytes = 200;

    struct flow_state
    {
        std::shared_ptr<int> token = std::make_shared<int>(0);
        http_outcome outcome;
        std::size_t remaining = 0;
        outcome_hook done;
        timer step;
        timer timeout;
    };
    using flow_ptr = std::shared_ptr<flow_state>;

    class client : public http_client
    {
    public:
        client(link_network &network, endpoint self)
            : m_network(network)
            , m_self(std::move(self))
        {
        }

        void send(const endpoint &to, const http_request &request, duration timeout,
                  outcome_hook done) override
        {
            m_network.start(m_self, to, request, timeout, std::move(done));
        }

    private:
        link_network &m_network;
        endpoint m_self;
    };

    shared_link &linkOf(link_map &links, const endpoint &at)
    {
        auto &l = links[at];
        if (!l)
            l = std::make_unique<shared_link>(m_loop, m_rate);
        return *l;
    }

    void start(const endpoint &from, const endpoint &to, const http_request &request,
               duration timeout, outcome_hook done)
    {
        const auto flow = std::make_shared<flow_state>();
        m_flows.insert(flow);
        const std::weak_ptr<flow_state> weak = flow;
        flow->done = std::move(done);
        flow->timeout = m_loop.schedule(timeout, [this, weak] {
            const auto late = weak.lock();
            late->outcome = {};
            late->outcome.failure = transport_failure::MayHaveRun;
            finish(late);
        });
        flow->step = m_loop.schedule(latency, [this, weak, from, to, request] {
            const auto arrived = weak.lock();
            arrived->outcome = exchange(to, request);
            arrived->remaining = headerBytes + arrived->outcome.reply.body.size();
            const std::weak_ptr<int> token = arrived->token;
            linkOf(m_uplinks, to)
                    .transmit(token, arrived->remaining, [this, weak, from, token](std::size_t n) {
                        linkOf(m_downlinks, from)
                                .transmit(token, n, [this, weak](std::size_t passed) {
                                    const auto receiving = weak.lock();
                                    receiving->remaining -= passed;
                                    if (receiving->remaining == 0)
                                        finish(receiving);
                                });
                    });
        });
    }

    void finish(const flow_ptr &flow)
    {
        m_flows.erase(flow);
        flow->token.reset();
        flow->done(std::move(flow->outcome));
    }

    manual_loop &m_loop;
    byte_rate m_rate;
    link_map m_uplinks;
    link_map m_downlinks;
    std::set<flow_ptr> m_flows;
    std::map<endpoint, std::unique_ptr<client>> m_clients;
};

} // namespace peridotwheel

#endif
