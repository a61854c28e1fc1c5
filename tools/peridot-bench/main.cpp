#include "peridotwheel/bench/experiment.h"
#include "peridotwheel/bench/fleet_load.h"
#include "peridotwheel/bench/slope.h"
#include "peridotwheel/support/command_line.h"
#include "peridotwheel/support/endpoint_text.h"
#include "peridotwheel/support/log.h"

#include <cstdlib>
#include <docopt.h>
#include <iostream>
#include <sstream>

using namespace peridotwheel;

namespace {

constexpr const char *usage = R"(Load and experiments for peridotwheel.

Usage:
  peridot-bench --list
  peridot-bench --list-slopes
  peridot-bench --experiment=NAME [--seed=N] [--json] [--log-level=LEVEL]
  peridot-bench --slope=NAME [--seed=N] [--json] [--log-level=LEVEL]
  peridot-bench --load --callers=LIST --platform=ADDRESS [--rate=N] [--seconds=N] [--seed=N] [--json]
  peridot-bench (-h | --help)

Options:
  --list             Print the names of the experiments.
  --experiment=NAME  Run one experiment: stand-ins, instances and load in this process.
  --list-slopes      Print the names of the slopes.
  --slope=NAME       Measure a cost at several sizes and fit a line, see docs/CAPACITY.md.
  --load             Send a mixed load to instances that run already.
  --callers=LIST     Their callers' addresses, as 127.0.1.1:8001,127.0.2.1:8001.
  --platform=ADDRESS Address of the platform, to find the instances' counters.
  --rate=N           Queries per second [default: 300].
  --seconds=N        Length of the load [default: 5].
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

int runLoad(const fleet_load_options &options, bool json)
{
    const auto report = runFleetLoad(options);
    if (!report) {
        std::cerr << "the load could not run: " << report.error().message << "\n";
        return exitBadUse;
    }
    std::cout << (json ? toJson(report.value()) + "\n" : toText(report.value()));
    return report.value().violations.empty() ? EXIT_SUCCESS : exitMissed;
}

/// Throws std::invalid_argument with the remedy.
endpoint addressFrom(const std::string &text)
{
    if (const auto address = parseEndpoint(text))
        return *address;
    throw std::invalid_argument("found '" + text +
                                "'; give an address and a port, as 127.0.1.1:8001");
}

std::vector<endpoint> addressesFrom(const std::string &list)
{
    std::vector<endpoint> out;
    std::stringstream in(list);
    for (std::string one; std::getline(in, one, ',');)
        out.push_back(addressFrom(one));
    if (out.empty())
        throw std::invalid_argument("--callers is empty; give at least one address");
    return out;
}

fleet_load_options loadOptions(const std::map<std::string, docopt::value> &args, std::uint64_t seed)
{
    fleet_load_options options;
    options.callers = addressesFrom(args.at("--callers").asString());
    options.platform = addressFrom(args.at("--platform").asString());
    options.ratePerSecond = std::stod(args.at("--rate").asString());
    options.length = fromMilliseconds(1000.0 * std::stod(args.at("--seconds").asString()));
    options.seed = seed;
    return options;
}

int listExperiments()
{
    for (const auto &e : experiments())
        std::cout << e.name << "\n";
    return EXIT_SUCCESS;
}

int listSlopes()
{
    for (const auto &s : slopes())
        std::cout << s.name << "\n";
    return EXIT_SUCCESS;
}

int runSlope(const std::string &name, std::uint64_t seed, bool json)
{
    const slope *s = findSlope(name);
    if (s == nullptr) {
        std::cerr << "unknown slope '" << name << "'; --list-slopes prints the names\n";
        return exitBadUse;
    }
    try {
        const auto points = s->measure(seed);
        std::cout << (json ? slopeJson(*s, seed, points) + "\n" : slopeText(*s, seed, points));
        return EXIT_SUCCESS;
    } catch (const std::exception &e) {
        std::cerr << "slope " << name << " could not be measured: " << e.what() << "\n";
        return exitBadUse;
    }
}

} // namespace

int main(int argc, char **argv)
{
    command_line line = parseCommandLine(usage, argc, argv, exitBadUse);
    if (line.shouldExit)
        return line.exitStatus;
    auto &args = line.args;
    std::uint64_t seed = 0;
    try {
        seed = std::stoull(args["--seed"].asString());
    } catch (const std::exception &) {
        std::cerr << usage;
        return exitBadUse;
    }
    if (args["--list"].asBool())
        return listExperiments();
    if (args["--list-slopes"].asBool())
        return listSlopes();
    if (auto configured = configureLogging(args["--log-level"].asString()); !configured) {
        std::cerr << configured.error().message << "\n";
        return exitBadUse;
    }
    if (args["--load"].asBool()) {
        try {
            return runLoad(loadOptions(args, seed), args["--json"].asBool());
        } catch (const std::exception &e) {
            std::cerr << "peridot-bench: " << e.what() << "\n";
            return exitBadUse;
        }
    }
    if (args["--slope"])
        return runSlope(args["--slope"].asString(), seed, args["--json"].asBool());
    const std::string name = args["--experiment"].asString();
    const experiment *e = findExperiment(name);
    if (e == nullptr) {
        std::cerr << "unknown experiment '" << name << "'; --list prints the names\n";
        return exitBadUse;
    }
    return runExperiment(*e, seed, args["--json"].asBool());
}
