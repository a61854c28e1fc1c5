#include "peridotwheel/http/http_server.h"
#include "peridotwheel/support/libevent_loop.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace peridotwheel;

namespace {

/// A client that sends raw bytes, to imitate broken and hostile clients.
class raw_client
{
public:
    explicit raw_client(std::uint16_t port)
        : m_fd(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in to{};
        to.sin_family = AF_INET;
        to.sin_port = htons(port);
        to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        EXPECT_EQ(connect(m_fd, reinterpret_cast<sockaddr *>(&to), sizeof to), 0);
    }
    raw_client(const raw_client &) = delete;
    raw_client &operator=(const raw_client &) = delete;
    ~raw_client() { close(m_fd); }

    bool write(const std::string &bytes)
    {
        return send(m_fd, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
               static_cast<ssize_t>(bytes.size());
    }
    void closeSending() { shutdown(m_fd, SHUT_WR); }

    /// Reads the bytes that have arrived. Sets `closed` at the end of the stream.
    const std::string &poll()
    {
        char buffer[4096];
        ssize_t n = 0;
        while ((n = recv(m_fd, buffer, sizeof buffer, MSG_DONTWAIT)) > 0)
            received.append(buffer, static_cast<std::size_t>(n));
        closed = closed || n == 0 || (n < 0 && errno != EAGAIN);
        return received;
    }

    std::string received;
    bool closed = false;

private:
    int m_fd;
};

class limits_fixture : public testing::Test
{
protected:
    void serve(http_server_limits limits)
    {
        m_server = std::make_unique<http_server>(
                m_loop, limits,
                [this](const http_request &r, const std::shared_ptr<http_responder> &out) {
                    if (r.path == "/held") {
                        held.push_back(out);
                        return;
                    }
                    out->reply({200, {}, "fine"});
                });
        ASSERT_TRUE(m_server->listen({"127.0.0.1", 0}).has_value());
    }

    /// Runs the loop until \p condition holds, for at most ten seconds. Returns whether it holds.
    bool runUntil(const std::function<bool()> &condition)
    {
        const time_point end = m_loop.now() + seconds(10);
        timer tick;
        std::function<void()> check = [&] {
            if (condition() || m_loop.now() > end)
                return m_loop.stop();
            tick = m_loop.schedule(milliseconds(1), check);
        };
        tick = m_loop.schedule(duration::zero(), check);
        m_loop.run();
        return condition();
    }

    bool answers(raw_client &client, const std::string &request, const std::string &expected)
    {
        client.write(request);
        return runUntil([&] { return client.poll().find(expected) != std::string::npos; });
    }

    std::uint16_t port() const { return m_server->boundPort(); }

    libevent_loop m_loop;
    std::vector<std::shared_ptr<http_responder>> held;
    std::unique_ptr<http_server> m_server;
};

const std::string plainRequest = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";

} // namespace

// Guards against connections without a request that use up the connection limit and lock out the
// clients that do send one.
TEST_F(limits_fixture, silentConnectionsAreClosedForNewOnes)
{
    http_server_limits limits;
    limits.maxConnections = 4;
    serve(limits);
    std::vector<std::unique_ptr<raw_client>> silent;
    silent.reserve(20);
    for (int i = 0; i < 20; ++i)
        silent.push_back(std::make_unique<raw_client>(port()));
    raw_client client(port());
    EXPECT_TRUE(answers(client, plainRequest, "200 OK"));
    EXPECT_TRUE(runUntil([&] {
        silent[0]->poll();
        return silent[0]->closed;
    }));
    EXPECT_LE(m_server->openConnections(), 4u);
}

TEST_F(limits_fixture, busyConnectionsAreNotClosedForNewOnes)
{
    http_server_limits limits;
    limits.maxConnections = 1;
    serve(limits);
    raw_client busy(port());
    busy.write("GET /held HTTP/1.1\r\nHost: a\r\n\r\n");
    ASSERT_TRUE(runUntil([&] { return held.size() == 1; }));
    raw_client other(port());
    raw_client another(port());
    ASSERT_TRUE(runUntil([&] {
        other.poll();
        return other.closed;
    }));
    held[0]->reply({200, {}, "late but whole"});
    EXPECT_TRUE(runUntil([&] { return busy.poll().find("late but whole") != std::string::npos; }));
}

// Guards against a client that keeps its connection beyond the idle timeout by sending single
// bytes.
TEST_F(limits_fixture, slowSendersAreClosedWithoutAffectingOthers)
{
    http_server_limits limits;
    limits.idleTimeout = milliseconds(200);
    serve(limits);
    raw_client slow(port());
    const bool closed = runUntil([&] {
        slow.write("G");
        slow.poll();
        return slow.closed;
    });
    EXPECT_TRUE(closed);
    raw_client client(port());
    EXPECT_TRUE(answers(client, plainRequest, "200 OK"));
}

TEST_F(limits_fixture, halfClosedClientsGetTheirAnswerAndAreReleased)
{
    serve({});
    raw_client whole(port());
    whole.write(plainRequest);
    whole.closeSending();
    EXPECT_TRUE(runUntil([&] { return whole.poll().find("200 OK") != std::string::npos; }));
    raw_client part(port());
    part.write("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\nx");
    part.closeSending();
    EXPECT_TRUE(runUntil([&] { return m_server->openConnections() == 0; }));
}

TEST_F(limits_fixture, waitingRequestsAreBounded)
{
    http_server_limits limits;
    limits.maxWaitingRequests = 2;
    serve(limits);
    std::vector<std::unique_ptr<raw_client>> clients;
    for (int i = 0; i < 2; ++i) {
        clients.push_back(std::make_unique<raw_client>(port()));
        clients.back()->write("GET /held HTTP/1.1\r\nHost: a\r\n\r\n");
    }
    ASSERT_TRUE(runUntil([&] { return held.size() == 2; }));
    raw_client third(port());
    EXPECT_TRUE(answers(third, plainRequest, "503 "));
    EXPECT_NE(third.received.find("X-Not-Run: 1"), std::string::npos);
}

// Guards against malformed and oversized input that is answered with success, keeps its connection
// open, or keeps other clients from being served.
TEST_F(limits_fixture, malformedInputIsRefusedWithoutAffectingOthers)
{
    http_server_limits limits;
    limits.maxBodyBytes = 1000;
    limits.maxHeaderBytes = 1000;
    serve(limits);
    const std::string cases[] = {
            "\r\n\r\n",
            "nonsense\r\n\r\n",
            "GET / HTTP/9.9\r\n\r\n",
            "BREW / HTTP/1.1\r\n\r\n",
            "GET / HTTP/1.1\r\nno colon\r\n\r\n",
            "GET / HTTP/1.1\r\nX: " + std::string(5000, 'x') + "\r\n\r\n",
            "POST / HTTP/1.1\r\nContent-Length: -5\r\n\r\n",
            "POST / HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n",
            "POST / HTTP/1.1\r\nContent-Length: 2000\r\n\r\n" + std::string(2000, 'x'),
            "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
            std::string("\0\xff\xfe\r\n\r\n", 7),
    };
    for (const std::string &bytes : cases) {
        raw_client hostile(port());
        hostile.write(bytes);
        hostile.closeSending();
        EXPECT_TRUE(runUntil([&] {
            hostile.poll();
            return hostile.closed;
        })) << bytes.substr(0, 60);
        EXPECT_EQ(hostile.received.find(" 200 "), std::string::npos) << bytes.substr(0, 60);
        raw_client client(port());
        EXPECT_TRUE(answers(client, plainRequest, "200 OK"));
    }
}
