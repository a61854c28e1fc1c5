#ifndef PERIDOTWHEEL_UNITTESTS_STANDIN_STANDIN_FIXTURE_H
#define PERIDOTWHEEL_UNITTESTS_STANDIN_STANDIN_FIXTURE_H

#include "peridotwheel/http/evhttp_connector.h"
#include "peridotwheel/http/http_client.h"
#include "peridotwheel/support/libevent_loop.h"

#include <functional>
#include <gtest/gtest.h>
#include <map>
#include <vector>

/// A client and a loop that runs until given requests are answered.
class standin_fixture : public testing::Test
{
protected:
    /// Sends all requests at once, each on a connection of its own, and waits for all outcomes.
    std::vector<peridotwheel::http_outcome>
    exchangeAll(const peridotwheel::endpoint &to,
                const std::vector<peridotwheel::http_request> &requests,
                peridotwheel::duration timeout = peridotwheel::seconds(20))
    {
        std::vector<peridotwheel::http_outcome> got(requests.size());
        std::size_t open = requests.size();
        for (std::size_t i = 0; i < requests.size(); ++i) {
            m_client.send(to, requests[i], timeout, [&, i](peridotwheel::http_outcome outcome) {
                got[i] = std::move(outcome);
                if (--open == 0)
                    m_loop.stop();
            });
        }
        m_loop.run();
        return got;
    }

    peridotwheel::http_outcome exchange(const peridotwheel::endpoint &to,
                                        const peridotwheel::http_request &request,
                                        peridotwheel::duration timeout = peridotwheel::seconds(20))
    {
        return exchangeAll(to, {request}, timeout).front();
    }

    /// Sends without waiting; the outcome is appended to \p outcomes.
    void sendOnly(const peridotwheel::endpoint &to, const peridotwheel::http_request &request,
                  std::vector<peridotwheel::http_outcome> &outcomes)
    {
        m_client.send(to, request, peridotwheel::seconds(20),
                      [&outcomes](peridotwheel::http_outcome outcome) {
                          outcomes.push_back(std::move(outcome));
                      });
    }

    /// Runs the loop until \p condition holds, so that no test depends on the machine's speed.
    void runUntil(const std::function<bool()> &condition)
    {
        while (!condition()) {
            auto next = m_loop.schedule(peridotwheel::milliseconds(1), [this] { m_loop.stop(); });
            m_loop.run();
        }
    }

    peridotwheel::libevent_loop m_loop;
    peridotwheel::evhttp_connector m_connector{m_loop};
    peridotwheel::pooled_http_client m_client{m_connector};
};

#endif
