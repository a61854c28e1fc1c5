#include "peridotwheel/bench/slope.h"

#include "slope_list.h"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <sstream>

namespace peridotwheel {

line_fit fitLine(const std::vector<slope_point> &points)
{
    line_fit fit;
    if (points.empty())
        return fit;
    const auto n = static_cast<double>(points.size());
    double meanX = 0;
    double meanY = 0;
    for (const auto &p : points) {
        meanX += p.x / n;
        meanY += p.y / n;
    }
    double xx = 0;
    double xy = 0;
    for (const auto &p : points) {
        xx += (p.x - meanX) * (p.x - meanX);
        xy += (p.x - meanX) * (p.y - meanY);
    }
    fit.slope = xx > 0 ? xy / xx : 0;
    fit.intercept = meanY - fit.slope * meanX;
    double squares = 0;
    for (const auto &p : points)
        squares += std::pow(p.y - fit.intercept - fit.slope * p.x, 2);
    fit.residual = std::sqrt(squares / n);
    return fit;
}

const std::vector<slope> &slopes()
{
    static const std::vector<slope> list = [] {
        std::vector<slope> out;
        addQuerySlopes(out);
        addServerSlopes(out);
        addMembershipSlopes(out);
        addConfigurationSlopes(out);
        addAdmissionSlopes(out);
        addClaimSlopes(out);
        addTailSlopes(out);
        return out;
    }();
    return list;
}

const slope *findSlope(const std::string &name)
{
    const auto &list = slopes();
    const auto it =
            std::find_if(list.begin(), list.end(), [&](const slope &s) { return s.name == name; });
    return it == list.end() ? nullptr : &*it;
}

std::string slopeJson(const slope &s, std::uint64_t seed, const std::vector<slope_point> &points)
{
    const line_fit fit = fitLine(points);
    nlohmann::json out = {{"slope", s.name}, {"x", s.x}, {"unit", s.unit}, {"seed", seed}};
    out["points"] = nlohmann::json::array();
    for (const auto &p : points)
        out["points"].push_back({{"x", p.x}, {"y", p.y}});
    out["fit"] = {{"slope", fit.slope}, {"intercept", fit.intercept}, {"residual", fit.residual}};
    return out.dump();
}

std::string slopeText(const slope &s, std::uint64_t seed, const std::vector<slope_point> &points)
{
    const line_fit fit = fitLine(points);
    std::ostringstream out;
    out << s.name << ": " << s.unit << " over " << s.x << " (seed " << seed << ")\n";
    for (const auto &p : points)
        out << std::setw(14) << p.x << std::setw(16) << p.y << "\n";
    out << "slope " << fit.slope << "  intercept " << fit.intercept << "  residual " << fit.residual
        << "\n";
    return out.str();
}

} // namespace peridotwheel
