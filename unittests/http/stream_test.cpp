#include "peridotwheel/http/socket_connector.h"
#include "peridotwheel/http/stream_connector.h"
#include "peridotwheel/http/stream_server.h"
#include "peridotwheel/support/libevent_loop.h"
#include "peridotwheel/support/unique_fd.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>

using namespace peridotwheel;

namespace {

constexpr std::size_t maxReplyBytes = 1024 * 1024;

/// A listener on loopback that collects requests in `requests` and `exchanges`, and raw clients.
class stream_server_test : public testing::Test
{
protected:
    stream_server_test()
        : server(
                  loop, [this] { return limits; },
                  [this](opaque_request r, std::shared_ptr<http_responder> e) {
                      requests.push_back(std::move(r));
                      exchanges.push_back(std::move(e));
                  })
    {
        EXPECT_TRUE(server.listen({"127.0.0.1", 0}));
    }

    /// Connects a client; \p receiveBytes limits what it buffers unread, if given.
    unique_fd connectRaw(int receiveBytes = 0) const
    {
        unique_fd fd(socket(AF_INET, SOCK_STREAM, 0));
        if (receiveBytes > 0)
            setsockopt(fd.get(), SOL_SOCKET, SO_RCVBUF, &receiveBytes, sizeof receiveBytes);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(server.boundPort());
        inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
        EXPECT_EQ(connect(fd.get(), reinterpret_cast<sockaddr *>(&address), sizeof address), 0);
        return fd;
    }

    void runFor(duration d)
    {
        const timer end = loop.schedule(d, [this] { loop.stop(); });
        loop.run();
    }

    /// Returns the bytes that the server has sent so far.
    static std::string received(const unique_fd &fd)
    {
        std::string out(64 * 1024, '\0');
        const ssize_t n = recv(fd.get(), out.data(), out.size(), MSG_DONTWAIT);
        out.resize(n > 0 ? static_cast<std::size_t>(n) : 0);
        return out;
    }

    /// Reads at about 8 MB/s until \p size bytes or the end have come; returns the bytes read.
    std::size_t readSlowly(const unique_fd &fd, std::size_t size)
    {
        std::size_t all = 0;
        std::string piece(80 * 1024, '\0');
        while (all <= size) {
            runFor(milliseconds(10));
            const ssize_t n = recv(fd.get(), piece.data(), piece.size(), MSG_DONTWAIT);
            if (n > 0)
                all += static_cast<std::size_t>(n);
            else if (n == 0 || errno != EAGAIN)
                break;
        }
        return all;
    }

    static void write(const unique_fd &fd, const std::string &text)
    {
        ASSERT_EQ(::send(fd.get(), text.data(), text.size(), 0), static_cast<ssize_t>(text.size()));
    }

    libevent_loop loop;
    stream_limits limits;
    stream_server server;
    std::vector<opaque_request> requests;
    std::vector<std::shared_ptr<http_responder>> exchanges;
};

const std::string get = "GET /x HTTP/1.1\r\nHost: a\r\n\r\n";

/// A connection to a raw socket on which the test sends prepared bytes as replies.
class client_connection_test : public testing::Test
{
protected:
    client_connection_test()
        : connector(loop, maxReplyBytes, memory, tcp_keepalive::Off)
        , listener(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
        EXPECT_EQ(bind(listener.get(), reinterpret_cast<sockaddr *>(&address), sizeof address), 0);
        EXPECT_EQ(listen(listener.get(), 5), 0);
        socklen_t size = sizeof address;
        getsockname(listener.get(), reinterpret_cast<sockaddr *>(&address), &size);
        to = {"127.0.0.1", ntohs(address.sin_port)};
        connection = connector.open(to, {nullptr, [this] { closedWhileIdle = true; }});
        peer = unique_fd(accept(listener.get(), nullptr, nullptr));
        runFor(milliseconds(20));
    }

    void runFor(duration d)
    {
        const timer end = loop.schedule(d, [this] { loop.stop(); });
        loop.run();
    }

    void send(std::function<bool(const http_reply &)> isReplyToRequest = nullptr)
    {
        exchange_request request;
        request.text = get;
        request.isReplyToRequest = std::move(isReplyToRequest);
        connection->send(std::move(request), [this](http_outcome o) { outcome = std::move(o); });
    }

    void answer(const std::string &text)
    {
        // Closing a socket with unread bytes would reset the connection.
        char request[1024];
        static_cast<void>(recv(peer.get(), request, sizeof request, MSG_DONTWAIT));
        ASSERT_EQ(::send(peer.get(), text.data(), text.size(), 0),
                  static_cast<ssize_t>(text.size()));
        runFor(milliseconds(20));
    }

    /// Sends a request through a `stream_connector` and accepts its connection as `peer`.
    void sendWithTimeout(duration timeout)
    {
        http = connections.open(to);
        http_request request;
        request.path = "/x";
        http->send(request, timeout, [this](http_outcome o) { outcome = std::move(o); });
        runFor(milliseconds(20));
        peer = unique_fd(accept(listener.get(), nullptr, nullptr));
    }

    static std::string replyText(const std::string &id)
    {
        return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: 2\r\n\r\nok";
    }

    libevent_loop loop;
    std::shared_ptr<reply_memory> memory = std::make_shared<reply_memory>(
            reply_memory_limits{maxReplyBytes, maxReplyBytes}, [](std::size_t) {});
    socket_connector connector;
    stream_connector connections{loop, std::make_unique<socket_connector>(
                                               loop, maxReplyBytes, memory, tcp_keepalive::Off)};
    unique_fd listener;
    unique_fd peer;
    endpoint to;
    std::unique_ptr<client_connection> connection;
    std::optional<http_outcome> outcome;
    std::unique_ptr<http_connection> http;
    bool closedWhileIdle = false;
};

} // namespace

// Guards against a disconnect that is not reported at once: the backend servers would go on working
// for a caller that no longer reads the reply.
TEST_F(stream_server_test, reportsAClientDisconnectWhileItsRequestRuns)
{
    bool gone = false;
    unique_fd fd = connectRaw();
    write(fd, "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nab");
    runFor(milliseconds(20));
    ASSERT_EQ(exchanges.size(), 1U);
    exchanges[0]->onClientDisconnected([&gone] { gone = true; });
    fd.reset();
    runFor(milliseconds(20));
    EXPECT_TRUE(gone);
    exchanges[0]->reply({200, {}, "late"});
    EXPECT_EQ(server.requestsInFlight(), 0U);
}

// Guards against replies in the wrong order when a client pipelines several requests.
TEST_F(stream_server_test, answersPipelinedRequestsOneAfterTheOther)
{
    const unique_fd fd = connectRaw();
    write(fd, get + get);
    runFor(milliseconds(20));
    ASSERT_EQ(exchanges.size(), 1U);
    exchanges[0]->reply({200, {}, "first"});
    runFor(milliseconds(20));
    ASSERT_EQ(exchanges.size(), 2U);
    exchanges[1]->reply({200, {}, "second"});
    const std::string text = received(fd);
    EXPECT_LT(text.find("first"), text.find("second"));
}

// Guards against replies that are all buffered for a client that reads none of them.
TEST_F(stream_server_test, startsNoRequestBeforeThePreviousReplyHasLeft)
{
    constexpr std::size_t replyBytes = 8 * 1024 * 1024;
    const unique_fd fd = connectRaw(64 * 1024);
    write(fd, get + get);
    runFor(milliseconds(20));
    ASSERT_EQ(exchanges.size(), 1U);
    exchanges[0]->reply({200, {}, std::string(replyBytes, 'x')});
    runFor(milliseconds(100));
    EXPECT_EQ(exchanges.size(), 1U);
    EXPECT_GT(readSlowly(fd, replyBytes), replyBytes);
    runFor(milliseconds(20));
    EXPECT_EQ(exchanges.size(), 2U);
}

TEST_F(stream_server_test, refusesABodyLargerThanTheLimit)
{
    limits.message.maxBodyBytes = 4;
    const unique_fd fd = connectRaw();
    write(fd, "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\n");
    runFor(milliseconds(20));
    EXPECT_EQ(received(fd).substr(0, 12), "HTTP/1.1 413");
    EXPECT_TRUE(requests.empty());
}

// During a graceful shutdown, requests in flight must be answered, and each connection closed after
// its reply.
TEST_F(stream_server_test, closesEachConnectionWithItsAnswerWhileDraining)
{
    const unique_fd fd = connectRaw();
    write(fd, get);
    runFor(milliseconds(20));
    server.beginDrain();
    server.stopAccepting();
    runFor(milliseconds(20));
    ASSERT_EQ(exchanges.size(), 1U);
    exchanges[0]->reply({200, {}, "whole"});
    runFor(milliseconds(20));
    const std::string text = received(fd);
    EXPECT_NE(text.find("Connection: close"), std::string::npos);
    EXPECT_NE(text.find("whole"), std::string::npos);
}

// A request that arrived before accepting ended must not be cut off, even if its connection was
// still in the queue of the listener.
TEST_F(stream_server_test, answersRequestsOfConnectionsThatWaitToBeAccepted)
{
    const unique_fd fd = connectRaw();
    write(fd, get);
    server.beginDrain();
    server.stopAccepting();
    runFor(milliseconds(20));
    ASSERT_EQ(exchanges.size(), 1U);
    exchanges[0]->reply({200, {}, "whole"});
    runFor(milliseconds(20));
    EXPECT_NE(received(fd).find("whole"), std::string::npos);
}

// The same for a request whose bytes have arrived on an idle connection and were not read yet.
TEST_F(stream_server_test, answersRequestsThatAreNotReadYetWhenAcceptingEnds)
{
    const unique_fd fd = connectRaw();
    runFor(milliseconds(20));
    write(fd, get);
    server.beginDrain();
    server.stopAccepting();
    runFor(milliseconds(20));
    ASSERT_EQ(exchanges.size(), 1U);
    exchanges[0]->reply({200, {}, "whole"});
    runFor(milliseconds(20));
    EXPECT_NE(received(fd).find("whole"), std::string::npos);
}

// A client that connected just before accepting ended has its request under way.
TEST_F(stream_server_test, awaitsTheFirstRequestOfANewConnectionWhenAcceptingEnds)
{
    const unique_fd fd = connectRaw();
    runFor(milliseconds(20));
    server.beginDrain();
    server.stopAccepting();
    runFor(milliseconds(20));
    write(fd, get);
    runFor(milliseconds(20));
    ASSERT_EQ(exchanges.size(), 1U);
    exchanges[0]->reply({200, {}, "whole"});
    runFor(milliseconds(20));
    EXPECT_NE(received(fd).find("whole"), std::string::npos);
}

TEST_F(stream_server_test, closesNewConnectionsWithoutARequestSoonAfterAcceptingEnds)
{
    const unique_fd fd = connectRaw();
    server.beginDrain();
    server.stopAccepting();
    runFor(milliseconds(20));
    EXPECT_EQ(server.openConnections(), 1U);
    runFor(milliseconds(1800));
    EXPECT_EQ(server.openConnections(), 0U);
}

// After accepting has ended, a client that has sent nothing yet must not send into the last moments
// of the process.
TEST_F(stream_server_test, closesIdleConnectionsWhenAcceptingEnds)
{
    const unique_fd fd = connectRaw();
    runFor(milliseconds(350));
    server.beginDrain();
    server.stopAccepting();
    write(fd, get);
    runFor(milliseconds(20));
    EXPECT_TRUE(exchanges.empty());
}

// A planned stop, and any reply to a request with "Connection: close", cut off an answer that its
// client needed more than a second to read.
TEST_F(stream_server_test, deliversALongAnswerToASlowClientBeforeItCloses)
{
    const unique_fd fd = connectRaw(64 * 1024);
    write(fd, get);
    runFor(milliseconds(20));
    server.beginDrain();
    server.stopAccepting();
    ASSERT_EQ(exchanges.size(), 1U);
    const std::size_t size = 16 * 1024 * 1024;
    exchanges[0]->reply({200, {}, std::string(size, 'x')});
    EXPECT_GT(readSlowly(fd, size), size);
    runFor(milliseconds(1500));
    EXPECT_EQ(server.openConnections(), 0U);
}

// The same for a client that reads an answer for longer than connections may be idle.
TEST_F(stream_server_test, doesNotTakeAClientThatStillReadsForIdle)
{
    limits.idleTimeout = milliseconds(500);
    const unique_fd fd = connectRaw(64 * 1024);
    write(fd, get);
    runFor(milliseconds(20));
    ASSERT_EQ(exchanges.size(), 1U);
    const std::size_t size = 16 * 1024 * 1024;
    exchanges[0]->reply({200, {}, std::string(size, 'x')});
    EXPECT_GT(readSlowly(fd, size), size);
}

// A client may pause for seconds amid an answer.
TEST_F(stream_server_test, deliversALongAnswerToAClientThatPauses)
{
    const unique_fd fd = connectRaw(64 * 1024);
    write(fd, get);
    runFor(milliseconds(20));
    ASSERT_EQ(exchanges.size(), 1U);
    const std::size_t size = 16 * 1024 * 1024;
    exchanges[0]->reply({200, {}, std::string(size, 'x')});
    runFor(seconds(4));
    EXPECT_GT(readSlowly(fd, size), size);
}

// A client that reads nothing must not hold its connection for ever.
TEST_F(stream_server_test, closesTheConnectionOfAClientThatDoesNotReadItsAnswer)
{
    limits.idleTimeout = milliseconds(500);
    const unique_fd fd = connectRaw(64 * 1024);
    write(fd, get);
    runFor(milliseconds(20));
    ASSERT_EQ(exchanges.size(), 1U);
    server.beginDrain();
    exchanges[0]->reply({200, {}, std::string(16 * 1024 * 1024, 'x')});
    runFor(milliseconds(1500));
    EXPECT_EQ(server.openConnections(), 0U);
}

TEST_F(stream_server_test, closesIdleConnectionsOnlyAfterTheirTimeout)
{
    limits.idleTimeout = milliseconds(400);
    const unique_fd fd = connectRaw();
    runFor(milliseconds(200));
    EXPECT_EQ(server.openConnections(), 1U);
    runFor(milliseconds(700));
    EXPECT_EQ(server.openConnections(), 0U);
}

TEST_F(stream_server_test, timesOutIncompleteHeaders)
{
    limits.headerTimeout = milliseconds(200);
    const unique_fd fd = connectRaw();
    write(fd, "GET /x HTTP/1.1\r\nHost:");
    runFor(milliseconds(700));
    EXPECT_EQ(received(fd).substr(0, 12), "HTTP/1.1 408");
}

// Guards against taking a late second reply to an earlier request for the reply to the current one.
TEST_F(client_connection_test, skipsTheLateReplyOfAnotherRequest)
{
    send([](const http_reply &r) { return *r.header("Id") == "mine"; });
    runFor(milliseconds(20));
    answer(replyText("other") + replyText("mine"));
    ASSERT_TRUE(outcome);
    EXPECT_EQ(*outcome->reply.header("Id"), "mine");
    EXPECT_TRUE(connection->open());
}

// Guards against reuse of a connection that received bytes after the reply: they belong to no
// request and would be read as the next reply.
TEST_F(client_connection_test, isNotUsedAgainAfterStrayBytes)
{
    send();
    runFor(milliseconds(20));
    answer(replyText("mine") + replyText("extra"));
    ASSERT_TRUE(outcome);
    EXPECT_FALSE(connection->open());
}

TEST_F(client_connection_test, closesOnBytesWhileIdle)
{
    answer(replyText("unasked"));
    EXPECT_TRUE(closedWhileIdle);
    EXPECT_FALSE(connection->open());
}

TEST_F(client_connection_test, reportsAShortReplyAsMaybeRun)
{
    send();
    runFor(milliseconds(20));
    answer("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort");
    peer.reset();
    runFor(milliseconds(20));
    ASSERT_TRUE(outcome);
    EXPECT_EQ(outcome->failure, transport_failure::MayHaveRun);
}

// After a status of 000 the exchange waited for another reply until its deadline, and could take
// bytes that followed for the answer.
TEST_F(client_connection_test, failsAtOnceOnAStatusThatIsNone)
{
    send();
    runFor(milliseconds(20));
    answer("HTTP/1.1 000 \r\nId: mine\r\nContent-Length: 2\r\n\r\nno" + replyText("mine"));
    ASSERT_TRUE(outcome);
    EXPECT_EQ(outcome->failure, transport_failure::MayHaveRun);
    EXPECT_FALSE(connection->open());
}

// Guards against taking a reply without a length for complete when a reset has truncated it.
TEST_F(client_connection_test, reportsAResetReplyWithoutLengthAsMaybeRun)
{
    send();
    runFor(milliseconds(20));
    answer("HTTP/1.1 200 OK\r\n\r\npart");
    const linger now{1, 0};
    setsockopt(peer.get(), SOL_SOCKET, SO_LINGER, &now, sizeof now);
    peer.reset();
    runFor(milliseconds(20));
    ASSERT_TRUE(outcome);
    EXPECT_EQ(outcome->failure, transport_failure::MayHaveRun);
}

TEST_F(client_connection_test, acceptsAReplyWithoutLengthThatEndsInOrder)
{
    send();
    runFor(milliseconds(20));
    answer("HTTP/1.1 200 OK\r\n\r\nall");
    peer.reset();
    runFor(milliseconds(20));
    ASSERT_TRUE(outcome);
    EXPECT_EQ(outcome->reply.body, "all");
}

// Nothing was written to a server that refused the connection, so the request may be retried on
// another one.
TEST_F(client_connection_test, reportsARefusedConnectionAsNotSent)
{
    listener.reset();
    connection = connector.open(to, {nullptr, [] {}});
    send();
    runFor(milliseconds(50));
    ASSERT_TRUE(outcome);
    EXPECT_EQ(outcome->failure, transport_failure::NotSent);
}

// The store's reply with a large configuration was discarded on a narrow link while it arrived.
TEST_F(client_connection_test, aReplyThatKeepsArrivingDoesNotTimeOut)
{
    sendWithTimeout(milliseconds(100));
    answer("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n");
    for (int i = 0; i < 5; ++i) {
        ASSERT_FALSE(outcome);
        runFor(milliseconds(20));
        answer("x");
    }
    ASSERT_TRUE(outcome);
    EXPECT_TRUE(outcome->ok());
}

// A peer that sends a byte now and then must not hold a request for ever.
TEST_F(client_connection_test, aReplyThatOnlyTricklesTimesOut)
{
    sendWithTimeout(milliseconds(100));
    answer("HTTP/1.1 200 OK\r\nContent-Length: 10000\r\n\r\n");
    for (int i = 0; i < 100 && !outcome; ++i)
        answer("x");
    ASSERT_TRUE(outcome);
    EXPECT_EQ(outcome->failure, transport_failure::MayHaveRun);
}

TEST_F(client_connection_test, aReplyThatStopsTimesOut)
{
    sendWithTimeout(milliseconds(100));
    answer("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nx");
    runFor(milliseconds(150));
    ASSERT_TRUE(outcome);
    EXPECT_EQ(outcome->failure, transport_failure::MayHaveRun);
}

// Interim replies, or late replies to other requests, kept an exchange busy as long as they came.
TEST_F(client_connection_test, givesUpOnRepliesToOtherRequestsWithoutEnd)
{
    for (const std::string &filler :
         {std::string("HTTP/1.1 100 Continue\r\n\r\n"), replyText("x")}) {
        outcome.reset();
        connection = connector.open(to, {nullptr, [] {}});
        peer = unique_fd(accept(listener.get(), nullptr, nullptr));
        runFor(milliseconds(20));
        send([](const http_reply &reply) {
            const std::string *id = reply.header("Id");
            return id != nullptr && *id == "mine";
        });
        for (int i = 0; i < 100 && !outcome; ++i)
            answer(filler);
        ASSERT_TRUE(outcome) << filler;
        EXPECT_EQ(outcome->failure, transport_failure::MayHaveRun);
        EXPECT_FALSE(connection->open());
    }
}
