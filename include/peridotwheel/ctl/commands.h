#ifndef PERIDOTWHEEL_CTL_COMMANDS_H
#define PERIDOTWHEEL_CTL_COMMANDS_H

#include "peridotwheel/configuration/configuration_document.h"
#include "peridotwheel/ctl/fleet_directory.h"
#include "peridotwheel/timeline/timeline_merge.h"

#include <ostream>
#include <string>

namespace peridotwheel {

/// Exit status of `peridotctl`, as docs/operators.md lists them.
enum class exit_status {
    Done = 0,
    BadInput = 1,
    BadUse = 2,
    Conflict = 3,
    PlatformUnreachable = 4,
    PartialAnswer = 5,
};

/// The commands of `peridotctl`. Each prints a table, or JSON if asked, and errors with their
/// remedy.
class operator_commands
{
public:
    /// \p fallback: operators' addresses of instances, asked for the fleet's members while the
    /// platform does not answer.
    operator_commands(fleet_client &fleet, std::vector<endpoint> fallback, std::ostream &out,
                      std::ostream &err, bool json)
        : m_fleet(fleet)
        , m_directory(fleet, std::move(fallback))
        , m_out(out)
        , m_err(err)
        , m_json(json)
    {
    }

    exit_status listClasses();
    exit_status showClass(const class_name &name);
    exit_status setClass(const class_spec &spec);
    exit_status deleteClass(const class_name &name);
    exit_status setWords(const status_words &words);
    exit_status status();
    /// Which configuration version is in force where.
    exit_status where();
    exit_status counters();
    enum class timeline_format { Text, Json, Svg };
    exit_status timeline(const timeline_filter &filter, timeline_format format);

private:
    result<configuration_document> readConfiguration();
    exit_status write(const struct configuration_change &change);
    exit_status fail(const error &e);
    /// Fetches \p path from every instance that the platform or a peer knows of, and reports those
    /// that did not answer.
    result<std::vector<listed_page>> pages(const std::string &path);
    exit_status statusOf(const std::vector<listed_page> &pages);
    /// The array of the pages' fields, or of the problems.
    void printJson(const std::vector<listed_page> &pages);
    void printClasses(const configuration_document &document);

    fleet_client &m_fleet;
    fleet_directory m_directory;
    std::ostream &m_out;
    std::ostream &m_err;
    bool m_json;
};

} // namespace peridotwheel

#endif
