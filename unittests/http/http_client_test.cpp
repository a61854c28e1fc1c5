#include "peridotwheel/http/http_client.h"

#include <gtest/gtest.h>

using namespace peridotwheel;

namespace {

/// Connections on which every reply arrives a second time, where the next one is expected.
class copying_connector : public http_connector
{
public:
    std::unique_ptr<http_connection> open(const endpoint &) override
    {
        ++opened;
        return std::make_unique<connection>();
    }

    std::size_t opened = 0;

private:
    class connection : public http_connection
    {
    public:
        void send(const http_request &request, duration, outcome_hook done) override
        {
            http_outcome outcome;
            outcome.reply = {200, {}, m_lateCopy.empty() ? request.path : m_lateCopy};
            m_lateCopy = request.path;
            done(std::move(outcome));
        }
        bool busy() const override { return false; }
        bool established() const override { return true; }

    private:
        std::string m_lateCopy;
    };
};

class pooled_client : public testing::Test
{
protected:
    std::string bodyOf(const std::string &path, const std::string &lane, bool isAlone = false)
    {
        http_request request;
        request.path = path;
        request.lane = lane;
        request.isAlone = isAlone;
        std::string body;
        client.send({"10.0.0.1", 80}, request, seconds(1),
                    [&body](const http_outcome &o) { body = o.reply.body; });
        return body;
    }

    copying_connector connector;
    pooled_http_client client{connector};
};

} // namespace

// A late second copy of the reply to one kind of request was taken for the reply to another kind.
TEST_F(pooled_client, keepsTheConnectionsOfLanesApart)
{
    EXPECT_EQ(bodyOf("/a", "a"), "/a");
    EXPECT_EQ(bodyOf("/b", "b"), "/b");
    EXPECT_EQ(connector.opened, 2U);
    EXPECT_EQ(bodyOf("/a", "a"), "/a");
    EXPECT_EQ(connector.opened, 2U);
}

// A copy must not tell that a write was made which was refused.
TEST_F(pooled_client, usesAConnectionOnceForARequestThatIsAlone)
{
    EXPECT_EQ(bodyOf("/first", "", true), "/first");
    EXPECT_EQ(bodyOf("/second", "", true), "/second");
    EXPECT_EQ(bodyOf("/third", ""), "/third");
    EXPECT_EQ(connector.opened, 3U);
}
