#include "fixtures/real_connectors.h"
#include "peridotwheel/http/http_client.h"
#include "peridotwheel/http/http_server.h"
#include "peridotwheel/support/libevent_loop.h"

#include <gtest/gtest.h>
#include <optional>

using namespace peridotwheel;

namespace {

constexpr const char *loopback = "127.0.0.1";

class http_fixture : public testing::TestWithParam<transport_kind>
{
protected:
    void serve(request_hook hook, http_server_limits limits = {})
    {
        m_server = std::make_unique<http_server>(m_loop, limits, std::move(hook));
        ASSERT_TRUE(m_server->listen({loopback, 0}).has_value());
    }

    endpoint address() const { return {loopback, m_server->boundPort()}; }

    http_outcome exchange(const endpoint &to, const http_request &request)
    {
        http_outcome got;
        m_client.send(to, request, seconds(5), [&](http_outcome o) {
            got = std::move(o);
            m_loop.stop();
        });
        m_loop.run();
        return got;
    }

    libevent_loop m_loop;
    std::unique_ptr<http_connector> m_connector = makeConnector(GetParam(), m_loop);
    pooled_http_client m_client{*m_connector};
    std::unique_ptr<http_server> m_server;
};

} // namespace

INSTANTIATE_TEST_SUITE_P(transports, http_fixture,
                         testing::Values(transport_kind::Evhttp, transport_kind::Sockets),
                         transportName);

TEST_P(http_fixture, carriesBodyAndHeadersBothWays)
{
    serve([](const http_request &r, const std::shared_ptr<http_responder> &out) {
        out->reply({200, {{"X-Echo", *r.header("x-in")}}, r.path + "|" + r.body});
    });
    const auto got = exchange(address(), {http_method::Post, "/a?b=1", {{"X-In", "7"}}, "body"});
    ASSERT_TRUE(got.ok());
    EXPECT_EQ(got.reply.status, 200);
    EXPECT_EQ(got.reply.body, "/a?b=1|body");
    EXPECT_EQ(*got.reply.header("X-ECHO"), "7");
}

// A closed port must be distinguished from a connection that broke after the request was written:
// only the former permits a retry of a request that is not idempotent.
TEST_P(http_fixture, closedPortIsNotSent)
{
    serve([](const http_request &, const std::shared_ptr<http_responder> &) {});
    const endpoint closed = address();
    m_server.reset();
    EXPECT_EQ(exchange(closed, {http_method::Get, "/", {}, ""}).failure,
              transport_failure::NotSent);
}

TEST_P(http_fixture, connectionDroppedByTheServerMayHaveRun)
{
    serve([](const http_request &, const std::shared_ptr<http_responder> &out) { out->drop(); });
    EXPECT_EQ(exchange(address(), {http_method::Get, "/", {}, ""}).failure,
              transport_failure::MayHaveRun);
}

TEST_P(http_fixture, oversizedBodyIsRefused)
{
    http_server_limits limits;
    limits.maxBodyBytes = 1000;
    bool called = false;
    serve(
            [&](const http_request &, const std::shared_ptr<http_responder> &out) {
                called = true;
                out->reply({200, {}, ""});
            },
            limits);
    const auto got = exchange(address(), {http_method::Post, "/", {}, std::string(100000, 'x')});
    EXPECT_FALSE(called);
    EXPECT_TRUE(!got.ok() || got.reply.status == 413);
}

// Guards against evhttp's own error page, which says neither what to change nor that the request
// was not run.
TEST_P(http_fixture, bodySomewhatTooLargeIsRefusedWithTheRemedy)
{
    http_server_limits limits;
    limits.maxBodyBytes = 1000;
    bool called = false;
    serve([&](const http_request &, const std::shared_ptr<http_responder> &) { called = true; },
          limits);
    const auto got = exchange(address(), {http_method::Post, "/", {}, std::string(1001, 'x')});
    EXPECT_FALSE(called);
    ASSERT_TRUE(got.ok());
    EXPECT_EQ(got.reply.status, 413);
    EXPECT_NE(got.reply.body.find("send a smaller request"), std::string::npos);
    ASSERT_NE(got.reply.header("X-Not-Run"), nullptr);
}

// Guards against a use of freed memory when the reply is sent after the server was destroyed.
TEST_P(http_fixture, replyAfterServerDestructionHasNoEffect)
{
    std::shared_ptr<http_responder> kept;
    serve([&](const http_request &, std::shared_ptr<http_responder> out) {
        kept = std::move(out);
        m_loop.stop();
    });
    m_client.send(address(), {http_method::Get, "/", {}, ""}, seconds(5),
                  [](const http_outcome &) {});
    m_loop.run();
    m_server.reset();
    kept->reply({200, {}, "late"});
}

// Guards against a request that never ends because the server accepts it and does not reply. Since
// the server received the request, it may have run.
TEST_P(http_fixture, unansweredRequestTimesOutAndMayHaveRun)
{
    std::shared_ptr<http_responder> kept;
    serve([&](const http_request &, std::shared_ptr<http_responder> out) {
        kept = std::move(out);
    });
    for (int i = 0; i < 2; ++i) {
        std::optional<http_outcome> got;
        const time_point start = m_loop.now();
        m_client.send(address(), {http_method::Get, "/", {}, ""}, milliseconds(100),
                      [&](http_outcome o) {
                          got = std::move(o);
                          m_loop.stop();
                      });
        m_loop.run();
        ASSERT_TRUE(got);
        EXPECT_EQ(got->failure, transport_failure::MayHaveRun);
        EXPECT_GE(m_loop.now() - start, milliseconds(100));
        EXPECT_LT(m_loop.now() - start, seconds(2));
    }
    kept->drop();
}

// The timer stays armed between requests. Guards against a timer of an earlier request that ends
// the next one too early, or a shorter one too late.
TEST_P(http_fixture, eachRequestOnAConnectionHasItsOwnTimeout)
{
    timer answerAt;
    serve([&](const http_request &r, const std::shared_ptr<http_responder> &out) {
        answerAt = m_loop.schedule(milliseconds(r.path == "/slow" ? 400 : 0), [out] {
            out->reply({200, {}, ""});
        });
    });
    const auto ask = [&](const char *path, duration timeout) {
        http_outcome got;
        m_client.send(address(), {http_method::Get, path, {}, ""}, timeout, [&](http_outcome o) {
            got = std::move(o);
            m_loop.stop();
        });
        m_loop.run();
        return got;
    };
    EXPECT_TRUE(ask("/quick", milliseconds(200)).ok());
    EXPECT_TRUE(ask("/slow", seconds(5)).ok());
    EXPECT_EQ(ask("/slow", milliseconds(100)).failure, transport_failure::MayHaveRun);
}

// Addresses in the settings may be IPv4 or IPv6.
TEST_P(http_fixture, opensConnectionsOverIpV6)
{
    m_server = std::make_unique<http_server>(
            m_loop, http_server_limits{},
            [](const http_request &r, const std::shared_ptr<http_responder> &out) {
                out->reply({200, {}, *r.header("Host")});
            });
    if (!m_server->listen({"::1", 0}))
        GTEST_SKIP() << "this machine has no IPv6";
    const endpoint to{"::1", m_server->boundPort()};
    const auto got = exchange(to, {http_method::Get, "/", {}, ""});
    ASSERT_TRUE(got.ok());
    EXPECT_EQ(got.reply.status, 200);
}
