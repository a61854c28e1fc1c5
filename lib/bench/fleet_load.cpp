#include "peridotwheel/bench/fleet_load.h"

#include "experiment_runner.h"
#include "peridotwheel/bench/cpu_meter.h"
#include "peridotwheel/bench/load_generator.h"
#include "peridotwheel/ctl/fleet_client.h"
#include "peridotwheel/support/libevent_loop.h"

#include <nlohmann/json.hpp>

namespace peridotwheel {

namespace {

struct attempt_counts
{
    std::uint64_t first = 0;
    std::uint64_t extra = 0;
};

result<attempt_counts> countAttempts(const endpoint &platform)
{
    libevent_loop loop;
    fleet_client fleet(loop, platform);
    BOOST_OUTCOME_TRY(members, fleet.instances());
    attempt_counts sum;
    for (const auto &page : fleet.fetch(members, "/operator/counters")) {
        if (!page.body)
            continue;
        const auto parsed = nlohmann::json::parse(*page.body, nullptr, false);
        if (!parsed.is_object())
            continue;
        const auto counters = parsed.value("counters", nlohmann::json::object());
        sum.first += counters.value("query.attempts.first", std::uint64_t{0});
        for (const char *name :
             {"query.attempts.hedge", "query.attempts.retry", "query.attempts.probe"})
            sum.extra += counters.value(name, std::uint64_t{0});
    }
    return sum;
}

} // namespace

result<experiment_report> runFleetLoad(const fleet_load_options &options)
{
    BOOST_OUTCOME_TRY(before, countAttempts(options.platform));
    const idle_meter idle;
    libevent_loop loop;
    load_target target;
    target.balance = [&options](random_source &random) {
        return options.callers[random.below(options.callers.size())];
    };
    load_generator generator(loop, target, mixedLoad(options.ratePerSecond, {}, options.length),
                             options.seed);
    generator.start([&loop] { loop.stop(); });
    loop.run();

    measured_run run;
    run.load = generator.result();
    run.length = options.length;
    run.idle = idle.idleShare();
    BOOST_OUTCOME_TRY(after, countAttempts(options.platform));
    if (after.first > before.first) {
        run.extraLoad = static_cast<double>(after.extra - before.extra) /
                        static_cast<double>(after.first - before.first);
    }
    return reportOf("load", options.seed, 0.0, run);
}

} // namespace peridotwheel
