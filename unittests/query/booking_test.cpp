#include "engine_fixture.h"

using namespace peridotwheel;

// Failure: a connection breaks after the booking was written, and the retry runs the booking a
// second time.
TEST_F(engine_fixture, bookingThatMayHaveRunIsNotSentAgain)
{
    build(1);
    for (std::uint16_t r = 0; r < replicaCount; ++r)
        m_connector.at(r).reset = true;
    const auto got = run(booking());
    m_loop.advance(milliseconds(200));
    ASSERT_TRUE(got->has_value());
    EXPECT_EQ((*got)->kind, answer_kind::OutcomeUnknown);
    EXPECT_EQ((*got)->ran, ran_state::Unknown);
    EXPECT_EQ(requestsTo(0) + requestsTo(1) + requestsTo(2), 1U);
}

// Failure: a booking on a server that does not reply is hedged or retried, or is reported as not
// run.
TEST_F(engine_fixture, bookingOfASilentServerIsUnknownAndNotSentAgain)
{
    build(1);
    for (std::uint16_t r = 0; r < replicaCount; ++r)
        m_connector.at(r).silent = true;
    const auto got = run(booking());
    m_loop.advance(seconds(2));
    EXPECT_EQ((*got)->ran, ran_state::Unknown);
    EXPECT_EQ(requestsTo(0) + requestsTo(1) + requestsTo(2), 1U);
}

// Failure: a shed booking, which is known not to have run, is not retried on another server.
TEST_F(engine_fixture, bookingThatWasShedIsTriedElsewhere)
{
    build(1);
    m_connector.at(0).status = 503;
    m_connector.at(0).notRun = true;
    const auto got = run(booking());
    m_loop.advance(milliseconds(200));
    EXPECT_EQ((*got)->kind, answer_kind::Complete);
    EXPECT_EQ(requestsTo(0), 1U);
    EXPECT_EQ(requestsTo(1) + requestsTo(2), 1U);
}

// Failure: a booking that was answered as not run is sent again later and runs.
TEST_F(engine_fixture, bookingShedByAllDidNotRun)
{
    build(1);
    for (std::uint16_t r = 0; r < replicaCount; ++r) {
        m_connector.at(r).status = 503;
        m_connector.at(r).notRun = true;
    }
    const auto got = run(booking());
    m_loop.advance(milliseconds(200));
    EXPECT_EQ((*got)->ran, ran_state::No);
    const std::size_t sent = requestsTo(0) + requestsTo(1) + requestsTo(2);
    for (std::uint16_t r = 0; r < replicaCount; ++r)
        m_connector.at(r).status = 200;
    m_loop.advance(seconds(2));
    EXPECT_EQ(requestsTo(0) + requestsTo(1) + requestsTo(2), sent) << "ran after its refusal";
}
