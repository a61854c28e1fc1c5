#include "fixtures/real_connectors.h"
#include "peridotwheel/http/socket_connector.h"
#include "peridotwheel/support/libevent_loop.h"
#include "peridotwheel/support/unique_fd.h"

#include <arpa/inet.h>
#include <atomic>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <thread>
#include <vector>

using namespace peridotwheel;

namespace {

constexpr std::size_t kilobyte = 1024;
constexpr std::size_t megabyte = 1024 * kilobyte;

const std::string ok = "HTTP/1.1 200 OK\r\n";
const std::string ordinaryReply = ok + "Content-Length: 400\r\n\r\n" + std::string(400, 'x');

/// What a faulty server sends: a start, and then a piece again and again.
struct endless_reply
{
    std::string start;
    std::string piece;
};

std::vector<endless_reply> endlessReplies()
{
    const std::string line(kilobyte, 'x');
    return {{"", "x"},
            {ok + "X-Long: ", "x"},
            {ok, "a:\r\n"},
            {ok + "\r\n", line},
            {ok + "Content-Length: 1000000\r\n\r\n", line},
            {ok + "Transfer-Encoding: chunked\r\n\r\n", "400\r\n" + line + "\r\n"},
            {"", "HTTP/1.1 100 Continue\r\n\r\n"},
            {"", ok + "Late: 1\r\nContent-Length: 1024\r\n\r\n" + line}};
}

/// Loopback servers in a thread: every connection gets a reply without end as fast as it reads, or
/// an ordinary reply to each request.
class faulty_server
{
public:
    explicit faulty_server(std::vector<endless_reply> replies)
        : m_replies(std::move(replies))
        , m_listener(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
        EXPECT_EQ(bind(m_listener.get(), reinterpret_cast<sockaddr *>(&address), sizeof address),
                  0);
        EXPECT_EQ(::listen(m_listener.get(), 1000), 0);
        socklen_t size = sizeof address;
        getsockname(m_listener.get(), reinterpret_cast<sockaddr *>(&address), &size);
        m_port = ntohs(address.sin_port);
        m_thread = std::thread([this] { run(); });
    }

    ~faulty_server()
    {
        m_stopping = true;
        m_thread.join();
    }

    endpoint address() const { return {"127.0.0.1", m_port}; }
    std::size_t bytesSent() const { return m_bytesSent; }
    std::size_t connectionsClosed() const { return m_closed; }

private:
    struct connection
    {
        unique_fd fd;
        std::string text;
        std::string piece;
    };

    void run()
    {
        while (!m_stopping) {
            std::vector<pollfd> polled{{m_listener.get(), POLLIN, 0}};
            for (const connection &c : m_connections)
                polled.push_back({c.fd.get(), POLLOUT, 0});
            if (poll(polled.data(), polled.size(), 10) <= 0)
                continue;
            for (std::size_t i = 0; i < m_connections.size(); ++i) {
                if (polled[i + 1].revents != 0)
                    sendMore(m_connections[i]);
            }
            if (polled[0].revents != 0)
                accept();
        }
    }

    void accept()
    {
        const endless_reply &reply = m_replies[m_connections.size() % m_replies.size()];
        connection c;
        c.fd = unique_fd(accept4(m_listener.get(), nullptr, nullptr, SOCK_NONBLOCK));
        c.text = reply.start;
        c.piece = reply.piece;
        m_connections.push_back(std::move(c));
    }

    void sendMore(connection &c)
    {
        constexpr std::size_t atOnce = 32 * kilobyte;
        while (c.text.size() < atOnce)
            c.text += c.piece;
        const ssize_t sent = send(c.fd.get(), c.text.data(), c.text.size(), MSG_NOSIGNAL);
        if (sent > 0) {
            c.text.erase(0, static_cast<std::size_t>(sent));
            m_bytesSent += static_cast<std::size_t>(sent);
        } else if (errno != EAGAIN) {
            // poll() ignores negative descriptors.
            c.fd.reset();
            ++m_closed;
        }
    }

    std::vector<endless_reply> m_replies;
    unique_fd m_listener;
    std::uint16_t m_port = 0;
    std::vector<connection> m_connections;
    std::atomic<bool> m_stopping{false};
    std::atomic<std::size_t> m_bytesSent{0};
    std::atomic<std::size_t> m_closed{0};
    std::thread m_thread;
};

using endless_head = testing::TestWithParam<transport_kind>;

} // namespace

INSTANTIATE_TEST_SUITE_P(transports, endless_head,
                         testing::Values(transport_kind::Evhttp, transport_kind::Sockets),
                         transportName);

// A head without end was kept until memory ran out; only its body had a limit with evhttp.
TEST_P(endless_head, failsSoon)
{
    libevent_loop loop;
    const auto connector = makeConnector(GetParam(), loop);
    const faulty_server server({{ok, "a: b\r\n"}});
    const auto connection = connector->open(server.address());
    std::optional<http_outcome> outcome;
    connection->send({http_method::Get, "/", {}, ""}, seconds(10), [&](http_outcome o) {
        outcome = std::move(o);
        loop.stop();
    });
    const timer end = loop.schedule(seconds(5), [&loop] { loop.stop(); });
    loop.run();
    ASSERT_TRUE(outcome);
    EXPECT_EQ(outcome->failure, transport_failure::MayHaveRun);
    EXPECT_LT(server.bytesSent(), 16 * megabyte);
}

// Many faulty servers at once must not take the memory of the process, and requests to others must
// be answered meanwhile. Each reply alone is within its limit.
TEST(endless_replies, ofManyConnectionsStayWithinTheMemoryOfTheProcess)
{
    constexpr std::size_t maxReply = megabyte;
    constexpr reply_memory_limits limits{megabyte, megabyte / 2};
    constexpr int faultyConnections = 300;
    libevent_loop loop;
    std::size_t givenUp = 0;
    auto memory = std::make_shared<reply_memory>(limits, [&](std::size_t) { ++givenUp; });
    socket_connector connector(loop, maxReply, memory, tcp_keepalive::Off);
    const faulty_server faulty(endlessReplies());

    int failed = 0;
    std::vector<std::unique_ptr<client_connection>> connections(faultyConnections);
    const std::function<void(std::size_t)> openFaulty = [&](std::size_t i) {
        connections[i] = connector.open(faulty.address(), {nullptr, [] {}});
        exchange_request request;
        request.text = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
        request.isReplyToRequest = [](const http_reply &r) { return r.header("Late") == nullptr; };
        connections[i]->send(std::move(request), [&, i](const http_outcome &) {
            ++failed;
            // As for a request that is sent again. Posted, since this closes the connection.
            loop.post([&openFaulty, i] { openFaulty(i); });
        });
    };
    for (std::size_t i = 0; i < faultyConnections; ++i)
        openFaulty(i);

    unique_fd listener(socket(AF_INET, SOCK_STREAM, 0));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
    ASSERT_EQ(bind(listener.get(), reinterpret_cast<sockaddr *>(&address), sizeof address), 0);
    ASSERT_EQ(listen(listener.get(), 5), 0);
    socklen_t size = sizeof address;
    getsockname(listener.get(), reinterpret_cast<sockaddr *>(&address), &size);
    const auto sound = connector.open({"127.0.0.1", ntohs(address.sin_port)}, {nullptr, [] {}});
    const unique_fd peer(accept(listener.get(), nullptr, nullptr));
    int answered = 0;
    std::size_t most = 0;
    timer next;
    const std::function<void()> callSoundServer = [&] {
        most = std::max(most, memory->bytes());
        char request[1024];
        static_cast<void>(recv(peer.get(), request, sizeof request, MSG_DONTWAIT));
        if (sound->busy())
            static_cast<void>(::send(peer.get(), ordinaryReply.data(), ordinaryReply.size(), 0));
        else if (sound->open())
            sound->send({"GET / HTTP/1.1\r\nHost: a\r\n\r\n", false, nullptr},
                        [&](const http_outcome &o) { answered += o.ok() ? 1 : 0; });
        next = loop.schedule(milliseconds(5), callSoundServer);
    };
    callSoundServer();
    const timer end = loop.schedule(seconds(3), [&loop] { loop.stop(); });
    loop.run();

    EXPECT_LE(most, limits.largeReplies + limits.smallReplies + 2 * maxReply);
    EXPECT_GT(failed, faultyConnections);
    EXPECT_GT(givenUp, 0U);
    EXPECT_GT(answered, 20);
    EXPECT_TRUE(sound->open());
}
