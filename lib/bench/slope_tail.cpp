// Tail latency of a fan-out by simulation: the rules are those of the engine (`hedgeTime` and
// `retry_budget`), the servers are drawn from a distribution.

#include "peridotwheel/limits/retry_budget.h"
#include "peridotwheel/query/hedging_policy.h"
#include "peridotwheel/support/random_source.h"
#include "slope_list.h"

#include <algorithm>
#include <cmath>

namespace peridotwheel {

namespace {

const std::vector<std::size_t> fanOuts{25, 50, 100, 200, 400};
constexpr std::size_t queries = 20000;
constexpr duration target = milliseconds(140);
constexpr duration answerMargin = milliseconds(5);
constexpr double meanMs = 10.0;
constexpr double deviation = 0.3;
constexpr double stragglerShare = 0.01;
constexpr double stragglerMs = 300.0;
/// Of the engine: hedges are 3% of the first attempts plus 10.
constexpr double hedgeFraction = 0.03;
constexpr double hedgeBurst = 10;

struct tail_result
{
    double p99 = 0;
    double inTarget = 0;
    double extra = 0;
};

class tail_simulation
{
public:
    explicit tail_simulation(std::uint64_t seed)
        : m_random(seed)
    {
        const double sigma2 = std::log(1 + deviation * deviation);
        m_latency = std::lognormal_distribution<double>(std::log(meanMs) - sigma2 / 2,
                                                        std::sqrt(sigma2));
        std::vector<double> sample(100000);
        for (auto &s : sample)
            s = draw();
        std::nth_element(sample.begin(), sample.begin() + 95000, sample.end());
        m_p95 = fromMilliseconds(sample[95000]);
    }

    tail_result run(std::size_t fanOut, bool hedging)
    {
        std::vector<double> times;
        std::uint64_t extra = 0;
        time_point now{seconds(1000)};
        retry_budget budget(hedgeFraction, hedgeBurst, now);
        for (std::size_t q = 0; q < queries; ++q) {
            budget.onFirstAttempts(static_cast<std::uint32_t>(fanOut), now);
            const auto hedgeAt = hedgeTime({now, now + target - answerMargin, now + target, m_p95});
            const double hedgeMs =
                    hedging && hedgeAt ? toMilliseconds(*hedgeAt - now) : 2 * stragglerMs;
            double slowest = 0;
            for (std::size_t k = 0; k < fanOut; ++k) {
                double one = draw();
                if (one > hedgeMs && budget.take(*hedgeAt)) {
                    ++extra;
                    one = std::min(one, hedgeMs + draw());
                }
                slowest = std::max(slowest, one);
            }
            times.push_back(slowest);
            now += queryGap;
        }
        std::sort(times.begin(), times.end());
        tail_result out;
        out.p99 = times[times.size() * 99 / 100];
        out.inTarget = 100.0 *
                       static_cast<double>(std::lower_bound(times.begin(), times.end(), 140.0) -
                                           times.begin()) /
                       static_cast<double>(queries);
        out.extra = 100.0 * static_cast<double>(extra) / static_cast<double>(queries * fanOut);
        return out;
    }

private:
    /// 226 queries/s, the share of one of 5,300 instances in 1.2 M queries/s.
    static constexpr duration queryGap{4425};

    double draw()
    {
        const double one = m_latency(m_random.engine());
        return m_random.fraction() < stragglerShare ? one + stragglerMs : one;
    }

    random_source m_random;
    std::lognormal_distribution<double> m_latency;
    duration m_p95{};
};

slope over(std::string name, std::string unit, bool hedging, double tail_result::*field)
{
    return {std::move(name), "servers per query", std::move(unit), [=](std::uint64_t seed) {
                return pointsAt(fanOuts, [=](auto n) {
                    return tail_simulation(seed).run(n, hedging).*field;
                });
            }};
}

} // namespace

void addTailSlopes(std::vector<slope> &list)
{
    list.push_back(
            over("tail-plain", "p99 in milliseconds without hedging", false, &tail_result::p99));
    list.push_back(
            over("tail-hedged", "p99 in milliseconds with hedging", true, &tail_result::p99));
    list.push_back(over("tail-plain-in-target", "percent of queries within 140 ms, no hedging",
                        false, &tail_result::inTarget));
    list.push_back(over("tail-hedged-in-target", "percent of queries within 140 ms, hedging", true,
                        &tail_result::inTarget));
    list.push_back(over("tail-extra-load", "extra requests in percent with hedging", true,
                        &tail_result::extra));
}

} // namespace peridotwheel
