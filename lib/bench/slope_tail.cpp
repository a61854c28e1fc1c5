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

    /// \p hedges is the number of further attempts for which time is kept, 0 for none. The engine
    /// keeps time for one, after which `hedgeTime` allows no other.
    tail_result run(std::size_t fanOut, unsigned hedges)
    {
        std::vector<double> times;
        std::uint64_t extra = 0;
        time_point now{seconds(1000)};
        retry_budget budget(hedgeFraction, hedgeBurst, now);
        for (std::size_t q = 0; q < queries; ++q) {
            budget.onFirstAttempts(static_cast<std::uint32_t>(fanOut), now);
            double slowest = 0;
            for (std::size_t k = 0; k < fanOut; ++k)
                slowest = std::max(slowest, oneShard(now, hedges, budget, extra));
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

    /// Milliseconds to the first reply of a shard; each attempt plans the next one.
    double oneShard(time_point start, unsigned hedges, retry_budget &budget, std::uint64_t &extra)
    {
        const time_point aim = start + target - answerMargin;
        double best = draw();
        time_point sent = start;
        for (unsigned left = hedges; left > 0; --left) {
            const auto at = hedgeTime({sent, aim - (left - 1) * m_p95, aim, m_p95});
            if (!at || best <= toMilliseconds(*at - start) || !budget.tryTake(*at))
                break;
            ++extra;
            best = std::min(best, toMilliseconds(*at - start) + draw());
            sent = *at;
        }
        return best;
    }

    double draw()
    {
        const double one = m_latency(m_random.engine());
        return m_random.fraction() < stragglerShare ? one + stragglerMs : one;
    }

    random_source m_random;
    std::lognormal_distribution<double> m_latency;
    duration m_p95{};
};

slope over(std::string name, std::string unit, unsigned hedges, double tail_result::*field)
{
    return {std::move(name), "servers per query", std::move(unit), [=](std::uint64_t seed) {
                return pointsAt(fanOuts, [=](auto n) {
                    return tail_simulation(seed).run(n, hedges).*field;
                });
            }};
}

} // namespace

void addTailSlopes(std::vector<slope> &list)
{
    const char *const p99 = "p99 in milliseconds";
    const char *const inTarget = "percent of queries within 140 ms";
    const char *const extra = "extra requests in percent";
    list.push_back(over("tail-plain", p99, 0, &tail_result::p99));
    list.push_back(over("tail-plain-in-target", inTarget, 0, &tail_result::inTarget));
    list.push_back(over("tail-hedged", p99, 1, &tail_result::p99));
    list.push_back(over("tail-hedged-in-target", inTarget, 1, &tail_result::inTarget));
    list.push_back(over("tail-hedged-extra", extra, 1, &tail_result::extra));
    list.push_back(over("tail-two-hedges", p99, 2, &tail_result::p99));
    list.push_back(over("tail-two-hedges-in-target", inTarget, 2, &tail_result::inTarget));
    list.push_back(over("tail-two-hedges-extra", extra, 2, &tail_result::extra));
}

} // namespace peridotwheel
