#include "peridotwheel/support/log.h"

#include <mutex>

INITIALIZE_EASYLOGGINGPP

namespace peridotwheel {

namespace {

constexpr const char *lineFormat = "%datetime{%Y-%M-%dT%H:%m:%s.%g} level=%levshort %msg";

bool isEnabled(el::Level level, const std::string &threshold)
{
    if (threshold == "debug")
        return true;
    if (threshold == "info")
        return level != el::Level::Debug;
    if (threshold == "warning")
        return level != el::Level::Debug && level != el::Level::Info;
    return level == el::Level::Error || level == el::Level::Fatal;
}

} // namespace

result<void> configureLogging(const std::string &level)
{
    if (level != "debug" && level != "info" && level != "warning" && level != "error") {
        return failure(error_kind::InvalidArgument,
                       "log level '" + level + "' is unknown; use debug, info, warning or error");
    }
    el::Configurations conf;
    conf.setToDefault();
    conf.setGlobally(el::ConfigurationType::ToFile, "false");
    conf.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    for (auto l : {el::Level::Debug, el::Level::Info, el::Level::Warning, el::Level::Error,
                   el::Level::Fatal, el::Level::Trace, el::Level::Verbose}) {
        conf.set(l, el::ConfigurationType::Format, lineFormat);
        conf.set(l, el::ConfigurationType::Enabled, isEnabled(l, level) ? "true" : "false");
    }
    el::Loggers::reconfigureAllLoggers(conf);
    return success();
}

} // namespace peridotwheel
