#include "peridotwheel/entry/entry_instance.h"
#include "peridotwheel/support/command_line.h"
#include "peridotwheel/support/libevent_loop.h"
#include "peridotwheel/support/log.h"

#include <csignal>
#include <cstdlib>
#include <docopt.h>
#include <event2/event.h>
#include <iostream>
#include <random>

using namespace peridotwheel;

namespace {

constexpr const char *usage = R"(The entry instance of peridotwheel.

Usage:
  peridotwheeld --settings=FILE [--check]
  peridotwheeld (-h | --help)

Options:
  --settings=FILE  INI file with the addresses of this instance; see docs/settings.md.
  --check          Only check the settings.
  -h --help        Show this text.

SIGTERM and SIGINT start a graceful shutdown; a second one ends the process at once.
Exit status: 0 after a graceful shutdown or a successful check, 1 if the settings are wrong or an
address is not available, 2 for bad use of the command line.
)";

constexpr int exitBadSettings = 1;
constexpr int exitBadUse = 2;

std::uint64_t randomNumber()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32) | device();
}

/// Shuts the instance down on the first signal and ends the process on the second.
class signal_handler
{
public:
    signal_handler(libevent_loop &loop, entry_instance &instance)
        : m_loop(loop)
        , m_instance(instance)
        , m_term(evsignal_new(loop.base(), SIGTERM, &signal_handler::onSignal, this))
        , m_interrupt(evsignal_new(loop.base(), SIGINT, &signal_handler::onSignal, this))
    {
        event_add(m_term.get(), nullptr);
        event_add(m_interrupt.get(), nullptr);
    }

private:
    static void onSignal(evutil_socket_t, short, void *arg)
    {
        auto *self = static_cast<signal_handler *>(arg);
        if (self->m_seen) {
            LOG(WARNING) << "event=stopped reason=\"second signal, requests cut off\"";
            std::_Exit(EXIT_FAILURE);
        }
        self->m_seen = true;
        self->m_instance.shutDown([self] { self->m_loop.stop(); });
    }

    libevent_loop &m_loop;
    entry_instance &m_instance;
    event_ptr m_term;
    event_ptr m_interrupt;
    bool m_seen = false;
};

int run(const settings &s)
{
    libevent_loop loop;
    entry_options options;
    options.seed = randomNumber();
    options.start = start_id(randomNumber());
    entry_instance instance(loop, s, options);
    if (auto started = instance.start(); !started) {
        LOG(ERROR) << "event=start_failed " << started.error().message;
        return exitBadSettings;
    }
    const signal_handler handler(loop, instance);
    loop.run();
    return EXIT_SUCCESS;
}

} // namespace

int main(int argc, char **argv)
{
    command_line line = parseCommandLine(usage, argc, argv, exitBadUse);
    if (line.shouldExit)
        return line.exitStatus;
    auto &args = line.args;
    auto s = readSettings(args["--settings"].asString());
    if (!s) {
        std::cerr << s.error().message << "\n";
        return exitBadSettings;
    }
    if (auto configured = configureLogging(s.value().logLevel); !configured) {
        std::cerr << configured.error().message << "\n";
        return exitBadSettings;
    }
    if (args["--check"].asBool()) {
        std::cout << "settings are valid\n";
        return EXIT_SUCCESS;
    }
    return run(s.value());
}
