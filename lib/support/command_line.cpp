#include "peridotwheel/support/command_line.h"

#include <cstdlib>
#include <iostream>

namespace peridotwheel {

command_line parseCommandLine(const char *usage, int argc, char **argv, int usageErrorStatus)
{
    command_line line;
    try {
        line.args = docopt::docopt_parse(usage, {argv + 1, argv + argc}, true, false);
    } catch (const docopt::DocoptExitHelp &) {
        std::cout << usage;
        line.shouldExit = true;
        line.exitStatus = EXIT_SUCCESS;
    } catch (const std::exception &) {
        std::cerr << usage;
        line.shouldExit = true;
        line.exitStatus = usageErrorStatus;
    }
    return line;
}

} // namespace peridotwheel
