#ifndef PERIDOTWHEEL_CTL_LOG_STORY_H
#define PERIDOTWHEEL_CTL_LOG_STORY_H

#include <istream>
#include <map>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

namespace peridotwheel {

/// One line of a gateway's log.
struct log_line
{
    std::string time; ///< UTC, as written; sorts like the time.
    std::string instance;
    std::string event;
    std::map<std::string, std::string> fields;

    /// The field's value, or an empty text.
    const std::string &field(const std::string &name) const;
};

/// Nothing if \p text is not a log line. Text before the time is skipped, since collectors add
/// some.
std::optional<log_line> parseLogLine(const std::string &text);

/// All log lines of \p in; other lines are left out.
std::vector<log_line> readLog(std::istream &in);

/// What happened to the request \p id over all instances, in order of time, with what the instances
/// came to believe shortly before about the servers and services that it met. Returns false if no
/// line names the request.
bool explainRequest(const std::vector<log_line> &log, const std::string &id, std::ostream &out);

/// Ended requests by second and outcome, and how often each kind of belief changed. Sampled
/// requests that went well count once each.
void reportLog(const std::vector<log_line> &log, std::ostream &out);

} // namespace peridotwheel

#endif
