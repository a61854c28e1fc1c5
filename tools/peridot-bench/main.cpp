#include "peridotwheel/bench/experiment.h"
#include "peridotwheel/support/log.h"

#include <cstdlib>
#include <docopt.h>
#include <iostream>

using namespace peridotwheel;

namespace {

constexpr const char *usage = R"(Load and experiments for peridotwheel.

Usage:
  peridot-bench --list
  peridot-bench --experiment=NAME [--seed=N] [--json] [--log-level=LEVEL]
  peridot-bench (-h | --help)

Options:
  --list             Print the names of the experiments.
  --experiment=NAME  Run one experiment: stand-ins, instances and load in this process.
  --seed=N           Seed of all random numbers [default: 1].
  --json             Print one JSON object in place of a table.
  --log-level=LEVEL  debug, info, warning or error [default: error].
  -h --help          Show this text.

Exit status: 0 if all bounds are met, 1 if not, 2 for bad use or if the experiment could not run.
)";

constexpr int exitMissed = 1;
constexpr int exitBadUse = 2;

int runExperiment(const experiment &e, std::uint64_t seed, bool json)
{
    const auto report = e.run(seed);
    if (!report) {
        std::cerr << "experiment " << e.name << " could not run: " << report.error().message
                  << "\n";
        return exitBadUse;
    }
    std::cout << (json ? toJson(report.value()) + "\n" : toText(report.value()));
    return report.value().allMet() ? EXIT_SUCCESS : exitMissed;
}

int listExperiments()
{
    for (const auto &e : experiments())
        std::cout << e.name << "\n";
    return EXIT_SUCCESS;
}

} // namespace

int main(int argc, char **argv)
{
    std::map<std::string, docopt::value> args;
    std::uint64_t seed = 0;
    try {
        args = docopt::docopt_parse(usage, {argv + 1, argv + argc}, true, false);
        seed = std::stoull(args["--seed"].asString());
    } catch (const docopt::DocoptExitHelp &) {
        std::cout << usage;
        return EXIT_SUCCESS;
    } catch (const std::exception &) {
        std::cerr << usage;
        return exitBadUse;
    }
    if (args["--list"].asBool())
        return listExperiments();
    if (auto configured = configureLogging(args["--log-level"].asString()); !configured) {
        std::cerr << configured.error().message << "\n";
        return exitBadUse;
    }
    const std::string name = args["--experiment"].asString();
    const experiment *e = findExperiment(name);
    if (e == nullptr) {
        std::cerr << "unknown experiment '" << name << "'; --list prints the names\n";
        return exitBadUse;
    }
    return runExperiment(*e, seed, args["--json"].asBool());
}
