#ifndef PERIDOTWHEEL_CONFIGURATION_CONFIGURATION_WRITER_H
#define PERIDOTWHEEL_CONFIGURATION_CONFIGURATION_WRITER_H

#include "peridotwheel/configuration/configuration_document.h"
#include "peridotwheel/platform/platform_client.h"
#include "peridotwheel/support/event_loop.h"
#include "peridotwheel/support/random_source.h"

#include <functional>
#include <string>

namespace peridotwheel {

struct configuration_writer_options
{
    /// Number of failed reads and writes after which a change fails.
    unsigned maxAttempts = 8;
    duration initialBackoff = milliseconds(100);
    duration maxBackoff = seconds(2);
};

/// One change of the configuration document.
struct configuration_change
{
    /// Names the change to an operator whose change conflicts with it: "set class urgent".
    std::string summary;
    /// Applies the change; fails if the document does not allow it.
    std::function<result<void>(configuration_document &)> apply;
    /// Returns the part that the change replaces, as text to compare: if another writer has changed
    /// the same part since it was read, the change conflicts.
    std::function<std::string(const configuration_document &)> affectedPart;
};

/// Changes that `peridotctl` offers.
configuration_change setClassChange(const class_spec &spec);
configuration_change deleteClassChange(const class_name &name);
configuration_change setWordsChange(const status_words &words);

/// Changes the stored configuration by reading, applying and conditional writing.
///
/// Errors: `InvalidArgument` with the remedy; `Conflict` if another operator has changed the same
/// class in between (a change of another class is merged); `Unavailable` if nothing was written;
/// `OutcomeUnknown` if the reply was lost and reading back failed as well.
class configuration_writer
{
public:
    using done_hook = std::function<void(result<object_version>)>;

    configuration_writer(event_loop &loop, platform_client &platform, std::uint64_t seed,
                         configuration_writer_options options = {});

    /// Writes \p change and calls \p done once, with the version that holds it or an error. The
    /// loop and the platform client must outlive the change; the writer need not.
    void write(configuration_change change, done_hook done);

private:
    event_loop &m_loop;
    platform_client &m_platform;
    random_source m_random;
    configuration_writer_options m_options;
};

} // namespace peridotwheel

#endif
