#include "peridotwheel/support/blocked_signal.h"

#include <gtest/gtest.h>

using namespace peridotwheel;

namespace {

volatile std::sig_atomic_t hangUps = 0;

void onHangUp(int)
{
    hangUps = hangUps + 1;
}

} // namespace

// Guards against a reload request (SIGHUP) that reaches a gateway before it has installed its
// handler: the default action of the signal ended the process without a log line.
TEST(blocked_signal, pendingSignalIsDeliveredByUnblock)
{
    blocked_signal hangUp(SIGHUP);
    ASSERT_EQ(raise(SIGHUP), 0);
    const auto before = std::signal(SIGHUP, &onHangUp);
    EXPECT_EQ(hangUps, 0);
    hangUp.unblock();
    EXPECT_EQ(hangUps, 1);
    std::signal(SIGHUP, before);
}
