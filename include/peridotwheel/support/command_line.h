#ifndef PERIDOTWHEEL_SUPPORT_COMMAND_LINE_H
#define PERIDOTWHEEL_SUPPORT_COMMAND_LINE_H

#include <docopt.h>
#include <map>
#include <string>

namespace peridotwheel {

/// What a program was asked on its command line.
struct command_line
{
    std::map<std::string, docopt::value> args;
    /// The arguments ask for the usage text or do not fit it; it has been printed.
    bool shouldExit = false;
    /// Valid if `shouldExit`: success after help, else \c usageErrorStatus.
    int exitStatus = 0;
};

/// Parses the arguments by \p usage. Prints the usage to standard output if it is asked for, and to
/// standard error if the arguments do not fit it; \p usageErrorStatus is the exit status then.
command_line parseCommandLine(const char *usage, int argc, char **argv, int usageErrorStatus);

} // namespace peridotwheel

#endif
