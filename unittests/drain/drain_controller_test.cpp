#include "peridotwheel/drain/drain_controller.h"
#include "peridotwheel/support/manual_loop.h"

#include <gtest/gtest.h>

using namespace peridotwheel;

namespace {

class drain_fixture : public testing::Test
{
protected:
    manual_loop m_loop;
    blackboard m_board;
    std::size_t m_inProgress = 1;
    bool m_listening = true;
    bool m_announced = false;
    bool m_done = false;
    drain_controller m_drain{m_loop,
                             m_board,
                             {[this] { return m_inProgress; }, [this] { m_announced = true; },
                              [this] { m_listening = false; }},
                             [](const timeline_event &) {},
                             {seconds(3), seconds(10)}};
};

} // namespace

// Guards against closing the listener while the load balancer still sends requests here, and
// against ending before the last answer is sent.
TEST_F(drain_fixture, failsTheCheckFirstAndWaitsForRequests)
{
    m_drain.beginServing();
    m_drain.shutDown([this] { m_done = true; });
    EXPECT_EQ(m_board.phase.value().phase, lifecycle_phase::Draining);
    EXPECT_TRUE(m_announced);
    m_loop.advance(milliseconds(2900));
    EXPECT_TRUE(m_listening);
    m_loop.advance(seconds(1));
    EXPECT_FALSE(m_listening);
    EXPECT_FALSE(m_done);
    m_inProgress = 0;
    m_loop.advance(milliseconds(300));
    EXPECT_TRUE(m_done);
}

// Guards against a shutdown that never ends because one request hangs.
TEST_F(drain_fixture, endsAtTheMaximumDuration)
{
    m_drain.beginServing();
    m_drain.shutDown([this] { m_done = true; });
    m_loop.advance(milliseconds(9900));
    EXPECT_FALSE(m_done);
    m_loop.advance(milliseconds(200));
    EXPECT_TRUE(m_done);
}
