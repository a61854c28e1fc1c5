#include "peridotwheel/bench/class_tally.h"

#include <gtest/gtest.h>

using namespace peridotwheel;

namespace {

observed_reply answeredAfter(int ms, double coverage)
{
    observed_reply reply;
    reply.latency = milliseconds(ms);
    reply.answered = true;
    reply.coverage = coverage;
    return reply;
}

} // namespace

// Guards against quantiles that understate the tail, and merges that lose samples.
TEST(latencyHistogram, quantilesAreUpperEdgesWithinTwoPercent)
{
    latency_histogram low;
    latency_histogram high;
    EXPECT_EQ(low.quantileMs(0.99), 0.0);
    for (int ms = 1; ms <= 990; ++ms)
        low.add(milliseconds(ms));
    for (int ms = 991; ms <= 1000; ++ms)
        high.add(milliseconds(ms));
    low.merge(high);
    EXPECT_EQ(low.count(), 1000U);
    for (const double q : {0.5, 0.99, 0.999}) {
        EXPECT_GE(low.quantileMs(q), 1000 * q);
        EXPECT_LE(low.quantileMs(q), 1000 * q * 1.02);
    }
    // Beyond the range, neither lost nor below the others.
    low.add(seconds(1000));
    EXPECT_GE(low.quantileMs(1.0), 100000.0);
}

// Guards against late or incomplete answers that count as useful, and refusals that lower coverage.
TEST(classTally, onlyTimelyAndCompleteAnswersAreUseful)
{
    class_spec spec;
    spec.latencyTarget = milliseconds(140);
    spec.coverageTarget = 0.9;
    class_tally tally;
    // Sent in the first bin and answered in the second, where it counts.
    tally.record(spec, milliseconds(200), answeredAfter(140, 1.0));
    tally.record(spec, milliseconds(10), answeredAfter(141, 1.0));
    tally.record(spec, milliseconds(260), answeredAfter(10, 0.5));
    observed_reply refused;
    refused.refusedNotRun = true;
    tally.record(spec, milliseconds(260), refused);
    EXPECT_EQ(tally.inTarget, 1U);
    EXPECT_EQ(tally.usefulByBin, (std::vector<std::uint64_t>{0, 1}));
    EXPECT_EQ(tally.sentByBin, (std::vector<std::uint64_t>{2, 2}));
    EXPECT_DOUBLE_EQ(tally.inTargetShare(), 0.25);
    EXPECT_DOUBLE_EQ(tally.meanCoverage(), 2.5 / 3.0);

    class_tally sum;
    sum.merge(tally);
    sum.merge(tally);
    EXPECT_EQ(sum.sent, 8U);
    EXPECT_EQ(sum.latencies.count(), 6U);
    EXPECT_EQ(sum.usefulByBin, (std::vector<std::uint64_t>{0, 2}));
}
