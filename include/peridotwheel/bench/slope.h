#ifndef PERIDOTWHEEL_BENCH_SLOPE_H
#define PERIDOTWHEEL_BENCH_SLOPE_H

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace peridotwheel {

struct slope_point
{
    double x = 0;
    double y = 0;
};

/// Least-squares line through measured points.
struct line_fit
{
    double slope = 0;
    double intercept = 0;
    /// Root mean square of the distances of the points from the line, in the unit of y.
    double residual = 0;
};

/// Fewer than two distinct x give a slope of zero.
line_fit fitLine(const std::vector<slope_point> &points);

/// A cost measured at several sizes by driving the code itself.
struct slope
{
    std::string name;
    std::string x;    ///< What is varied.
    std::string unit; ///< What is measured, with its unit.
    std::function<std::vector<slope_point>(std::uint64_t seed)> measure;
};

/// All slopes in the order of docs/CAPACITY.md.
const std::vector<slope> &slopes();

/// Null if there is none of that name.
const slope *findSlope(const std::string &name);

std::string slopeJson(const slope &s, std::uint64_t seed, const std::vector<slope_point> &points);
std::string slopeText(const slope &s, std::uint64_t seed, const std::vector<slope_point> &points);

} // namespace peridotwheel

#endif
