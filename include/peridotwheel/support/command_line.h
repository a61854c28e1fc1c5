#ifndef PERIDOTWHEEL_SUPPORT_COMMAND_LINE_H
#define PERIDOTWHEEL_SUPPORT_COMMAND_LINE_H

#include <docopt.h>
#include <map>
#include <string>

namespace peridotwheel {

/// The parsed command line of a program.
struct command_line
{
    std::map<std::string, docopt::value> args;
    /// The arguments asked for help or did not match the usage text, which has been printed; the
    /// program should exit with `exitStatus`.
    bool shouldExit = false;
    /// Valid if `shouldExit`: `EXIT_SUCCESS` after help, otherwise the status for usage errors.
    int exitStatus = 0;
};

/// Parses the arguments against the docopt text \p usage. Prints that text to standard output if
/// help is requested, and to standard error if the arguments do not match it; the exit status is
/// then \p usageErrorStatus.
command_line parseCommandLine(const char *usage, int argc, char **argv, int usageErrorStatus);

} // namespace peridotwheel

#endif
