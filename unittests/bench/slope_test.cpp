#include "peridotwheel/bench/slope.h"

#include <gtest/gtest.h>

namespace peridotwheel {

// Guards against a fit that mixes up slope and intercept, or hides the distance of the points.
TEST(SlopeTest, FitsALineAndStatesTheResidual)
{
    const line_fit exact = fitLine({{1, 5}, {2, 7}, {4, 11}});
    EXPECT_NEAR(exact.slope, 2, 1e-9);
    EXPECT_NEAR(exact.intercept, 3, 1e-9);
    EXPECT_NEAR(exact.residual, 0, 1e-9);

    const line_fit off = fitLine({{0, 1}, {0, -1}, {10, 21}, {10, 19}});
    EXPECT_NEAR(off.slope, 2, 1e-9);
    EXPECT_NEAR(off.residual, 1, 1e-9);
}

// Guards against a division by zero if all points have the same size.
TEST(SlopeTest, HasNoSlopeWithoutTwoSizes)
{
    EXPECT_EQ(fitLine({}).slope, 0);
    EXPECT_EQ(fitLine({{3, 4}, {3, 6}}).slope, 0);
    EXPECT_EQ(fitLine({{3, 4}, {3, 6}}).intercept, 5);
}

} // namespace peridotwheel
