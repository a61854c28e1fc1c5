#include "peridotwheel/standin/standin_control.h"
#include "peridotwheel/standin/standin_fleet.h"
#include "peridotwheel/support/command_line.h"
#include "peridotwheel/support/endpoint_text.h"
#include "peridotwheel/support/log.h"

#include <csignal>
#include <docopt.h>
#include <iostream>
#include <pthread.h>
#include <stdexcept>

using namespace peridotwheel;

namespace {

constexpr const char *usage = R"(Simulated backend servers and platform.

Prints the addresses of the platform and of the fault control, then runs until SIGTERM or SIGINT.

Usage:
  peridot-standin [options]

Options:
  --platform ADDRESS   Listening address of the platform [default: 127.0.0.1:0].
  --control ADDRESS    Listening address of the fault control [default: 127.0.0.1:0].
  --seed N             Seed of all random numbers [default: 1].
  --threads N          Threads of the servers [default: 2].
  --services N         Sharded services [default: 25].
  --servers N          Servers of each sharded service [default: 3].
  --shards N           Shards of each sharded service [default: 1].
  --data-centres N     Data centres [default: 3].
  --service-ms X       Mean service time in milliseconds [default: 10].
  --remote-ms X        One-way delay between data centres in milliseconds [default: 10].
  --list-lag-ms X      Age of the platform's list in milliseconds [default: 500].
  -h --help            Show this text.
)";

constexpr int exitBadUse = 2;

using arguments = std::map<std::string, docopt::value>;

/// Throws std::invalid_argument with the remedy, as docopt's own conversions do.
std::uint32_t positive(const arguments &args, const char *name)
{
    constexpr long maxCount = 100000;
    const long value = args.at(name).asLong();
    if (value < 1 || value > maxCount)
        throw std::invalid_argument(std::string(name) + " must be from 1 to 100000");
    return static_cast<std::uint32_t>(value);
}

duration milliseconds(const arguments &args, const char *name)
{
    const double value = std::stod(args.at(name).asString());
    if (value < 0)
        throw std::invalid_argument(std::string(name) + " must not be negative");
    return fromMilliseconds(value);
}

endpoint address(const arguments &args, const char *name)
{
    const auto parsed = parseListenAddress(args.at(name).asString());
    if (!parsed)
        throw std::invalid_argument(std::string(name) + " must have the form IP:PORT");
    return *parsed;
}

fleet_config fleetConfig(const arguments &args)
{
    fleet_config config;
    config.seed = static_cast<std::uint64_t>(args.at("--seed").asLong());
    config.threads = positive(args, "--threads");
    config.shardedServices = positive(args, "--services");
    config.serversPerService = positive(args, "--servers");
    config.shardsPerService = positive(args, "--shards");
    config.dataCentres = positive(args, "--data-centres");
    config.serviceTimeMean = milliseconds(args, "--service-ms");
    config.remoteDelay = milliseconds(args, "--remote-ms");
    config.platform.listLag = milliseconds(args, "--list-lag-ms");
    config.platform.address = address(args, "--platform");
    config.platform.seed = config.seed;
    return config;
}

int run(const fleet_config &config, const endpoint &controlAddress)
{
    // Blocked before the threads start, so that only this thread receives the signals.
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);

    standin_fleet fleet(config);
    const auto started = fleet.start();
    if (!started) {
        std::cerr << "peridot-standin: " << started.error().message << "\n";
        return 1;
    }
    standin_control control(fleet);
    const auto listening = control.start(controlAddress);
    if (!listening) {
        std::cerr << "peridot-standin: " << listening.error().message << "\n";
        return 1;
    }
    std::cout << "platform=" << endpointText(fleet.platformAddress())
              << " control=" << endpointText(control.address()) << " seed=" << config.seed
              << std::endl; // Flushed: scripts wait for this line.
    int received = 0;
    sigwait(&signals, &received);
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    const command_line line = parseCommandLine(usage, argc, argv, exitBadUse);
    if (line.shouldExit)
        return line.exitStatus;
    try {
        const fleet_config config = fleetConfig(line.args);
        const endpoint control = address(line.args, "--control");
        return run(config, control);
    } catch (const std::exception &e) {
        std::cerr << "peridot-standin: " << e.what() << "; see --help\n";
        return exitBadUse;
    }
}
