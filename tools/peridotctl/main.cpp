#include "peridotwheel/ctl/commands.h"
#include "peridotwheel/ctl/ctl_settings.h"
#include "peridotwheel/ctl/log_story.h"
#include "peridotwheel/support/command_line.h"
#include "peridotwheel/support/log.h"

#include <cstdlib>
#include <docopt.h>
#include <fstream>
#include <iostream>

using namespace peridotwheel;

namespace {

constexpr const char *usage = R"(The operators' client of peridotwheel.

Usage:
  peridotctl [options] class list
  peridotctl [options] class show NAME
  peridotctl [options] class set NAME --latency=TIME --quantile=Q --coverage=C --rank=R
  peridotctl [options] class delete NAME
  peridotctl [options] words set --retry=TEXT --wait=TEXT --give-up=TEXT --done=TEXT
  peridotctl [options] status
  peridotctl [options] where
  peridotctl [options] counters
  peridotctl [options] timeline [--request=ID] [--class=NAME] [--kind=KIND] [--from=MS] [--to=MS] [--svg]
  peridotctl explain ID [FILE...]
  peridotctl report [FILE...]
  peridotctl (-h | --help)

`explain` shows what happened to one request, and `report` counts outcomes by second, from the logs
of gateways: of the files, or of standard input if none is named.

Options:
  --settings=FILE  Settings file; by default the one that PERIDOTCTL_SETTINGS names, or peridotctl.ini.
  --json           Print JSON in place of tables.
  --latency=TIME   Latency target, as 140ms or 2s.
  --quantile=Q     Share of the answers that must meet it, as 0.99.
  --coverage=C     Share of the shards that an answer must cover, as 0.99.
  --rank=R         Order of service; 0 is the most urgent.
  --request=ID     Only events of this request.
  --class=NAME     Only events of this class.
  --kind=KIND      Only events of this kind.
  --from=MS        Only events from this time on, in milliseconds since 1970.
  --to=MS          Only events before this time.
  --svg            Draw a picture in place of text.
  -h --help        Show this text.

Exit status: 0 done, 1 wrong input, 2 bad use, 3 conflict with another change, 4 platform
unreachable, 5 some instances unreachable.
)";

using arguments = std::map<std::string, docopt::value>;

int bad(const std::string &message)
{
    std::cerr << "peridotctl: " << message << "\n";
    return static_cast<int>(exit_status::BadInput);
}

std::string settingsPath(const arguments &args)
{
    if (args.at("--settings"))
        return args.at("--settings").asString();
    const char *fromEnvironment = std::getenv("PERIDOTCTL_SETTINGS");
    return fromEnvironment != nullptr ? fromEnvironment : "peridotctl.ini";
}

/// Throws std::invalid_argument with the remedy.
double fraction(const arguments &args, const char *option)
{
    const std::string text = args.at(option).asString();
    std::size_t used = 0;
    double value = 0.0;
    try {
        value = std::stod(text, &used);
    } catch (const std::exception &) {
        used = 0;
    }
    if (used == 0 || used != text.size())
        throw std::invalid_argument(std::string(option) + ": found '" + text +
                                    "'; give a number such as 0.99");
    return value;
}

std::int64_t wholeNumber(const arguments &args, const char *option, std::int64_t max)
{
    const std::string text = args.at(option).asString();
    std::size_t used = 0;
    std::int64_t value = -1;
    try {
        value = std::stoll(text, &used);
    } catch (const std::exception &) {
        used = 0;
    }
    if (used == 0 || used != text.size() || value < 0 || value > max)
        throw std::invalid_argument(std::string(option) + ": found '" + text +
                                    "'; give a whole number from 0 to " + std::to_string(max));
    return value;
}

class_spec specFrom(const arguments &args)
{
    constexpr std::int64_t maxRank = 1000;
    const auto latency = parseDuration(args.at("--latency").asString());
    if (!latency)
        throw std::invalid_argument("--latency: " + latency.error().message);
    class_spec spec;
    spec.name = class_name(args.at("NAME").asString());
    spec.latencyTarget = latency.value();
    spec.quantile = fraction(args, "--quantile");
    spec.coverageTarget = fraction(args, "--coverage");
    spec.rank = class_rank(static_cast<std::uint32_t>(wholeNumber(args, "--rank", maxRank)));
    return spec;
}

/// An empty filter would let all events pass, as when a script's variable is not set.
std::string nonEmpty(const arguments &args, const char *option)
{
    std::string text = args.at(option).asString();
    if (text.empty())
        throw std::invalid_argument(std::string(option) +
                                    " is empty; give a value or leave it out");
    return text;
}

std::string kindNames()
{
    std::string names;
    for (int kind = 0; kind <= static_cast<int>(event_kind::Lifecycle); ++kind)
        names += std::string(kind == 0 ? " " : ", ") + toString(static_cast<event_kind>(kind));
    return names;
}

timeline_filter filterFrom(const arguments &args)
{
    timeline_filter filter;
    constexpr auto maxMs = std::numeric_limits<std::int64_t>::max();
    if (args.at("--request"))
        filter.request = request_id(nonEmpty(args, "--request"));
    if (args.at("--class"))
        filter.className = class_name(nonEmpty(args, "--class"));
    if (args.at("--from"))
        filter.from = wall_time(milliseconds(wholeNumber(args, "--from", maxMs)));
    if (args.at("--to"))
        filter.to = wall_time(milliseconds(wholeNumber(args, "--to", maxMs)));
    if (filter.from && filter.to && *filter.from >= *filter.to)
        throw std::invalid_argument("--from must be before --to; no event would be shown");
    if (!args.at("--kind"))
        return filter;
    const std::string kind = args.at("--kind").asString();
    const auto known = eventKindFromString(kind);
    if (!known)
        throw std::invalid_argument("--kind: found '" + kind + "'; give one of" + kindNames());
    filter.kinds.insert(*known);
    return filter;
}

exit_status runTimeline(operator_commands &commands, const arguments &args, bool json)
{
    using format = operator_commands::timeline_format;
    if (json && args.at("--svg").asBool())
        throw std::invalid_argument("--json and --svg exclude each other; give one of them");
    const format picture = args.at("--svg").asBool() ? format::Svg : format::Text;
    return commands.timeline(filterFrom(args), json ? format::Json : picture);
}

exit_status runClass(operator_commands &commands, const arguments &args)
{
    if (args.at("list").asBool())
        return commands.listClasses();
    if (args.at("set").asBool())
        return commands.setClass(specFrom(args));
    const class_name name(args.at("NAME").asString());
    return args.at("show").asBool() ? commands.showClass(name) : commands.deleteClass(name);
}

exit_status runCommand(operator_commands &commands, const arguments &args)
{
    if (args.at("class").asBool())
        return runClass(commands, args);
    if (args.at("words").asBool())
        return commands.setWords({args.at("--retry").asString(), args.at("--wait").asString(),
                                  args.at("--give-up").asString(), args.at("--done").asString()});
    if (args.at("status").asBool())
        return commands.status();
    if (args.at("where").asBool())
        return commands.where();
    if (args.at("counters").asBool())
        return commands.counters();
    return runTimeline(commands, args, args.at("--json").asBool());
}

/// The lines of all named files, or of standard input. Throws std::invalid_argument with the
/// remedy.
std::vector<log_line> readLogs(const std::vector<std::string> &files)
{
    if (files.empty())
        return readLog(std::cin);
    std::vector<log_line> all;
    for (const auto &file : files) {
        std::ifstream in(file);
        if (!in)
            throw std::invalid_argument(file + " cannot be read; check that the file exists");
        auto lines = readLog(in);
        all.insert(all.end(), std::make_move_iterator(lines.begin()),
                   std::make_move_iterator(lines.end()));
    }
    return all;
}

int runOnLogs(const arguments &args)
{
    const auto log = readLogs(args.at("FILE").asStringList());
    if (args.at("report").asBool()) {
        reportLog(log, std::cout);
        return EXIT_SUCCESS;
    }
    const std::string id = args.at("ID").asString();
    if (explainRequest(log, id, std::cout))
        return EXIT_SUCCESS;
    return bad("no line names request '" + id +
               "'; requests that go well are written for a sample only, so check the id and that "
               "the logs of all instances are given");
}

} // namespace

int main(int argc, char **argv)
{
    command_line line = parseCommandLine(usage, argc, argv, static_cast<int>(exit_status::BadUse));
    if (line.shouldExit)
        return line.exitStatus;
    auto &args = line.args;
    static_cast<void>(configureLogging("error"));
    if (args["explain"].asBool() || args["report"].asBool()) {
        try {
            return runOnLogs(args);
        } catch (const std::invalid_argument &e) {
            return bad(e.what());
        }
    }
    const auto settings = readCtlSettings(settingsPath(args));
    if (!settings)
        return bad(settings.error().message);
    libevent_loop loop;
    fleet_client fleet(loop, settings.value().platform);
    operator_commands commands(fleet, settings.value().fallback, std::cout, std::cerr,
                               args.at("--json").asBool());
    try {
        return static_cast<int>(runCommand(commands, args));
    } catch (const std::invalid_argument &e) {
        return bad(e.what());
    }
}
