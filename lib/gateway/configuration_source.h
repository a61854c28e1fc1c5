#ifndef PERIDOTWHEEL_LIB_GATEWAY_CONFIGURATION_SOURCE_H
#define PERIDOTWHEEL_LIB_GATEWAY_CONFIGURATION_SOURCE_H

#include "configuration_document.h"
#include "link_share.h"
#include "peridotwheel/support/units.h"

#include <cstddef>
#include <deque>
#include <optional>

namespace peridotwheel {

/// Decides which chunks of a configuration an instance sends to which others.
///
/// Answers the load after a change, when all instances of a data centre request the document from
/// the few that watch the store. Chunks take at most a share of the link's bandwidth, since the
/// rest carries callers' requests; requesters beyond that are referred to instances that already
/// have the document.
class configuration_source
{
public:
    static constexpr std::size_t chunkBytes = 32 * 1024;

    configuration_source(byte_rate link, time_point now);

    /// Sets the newest configuration that this instance has. Does nothing if it is not newer.
    result<void> setNewest(configuration_version version, const platform_object &object);
    /// Like the other overload, for a document that was received in compressed form.
    void setNewest(configuration_document document);
    /// Returns whether the newest configuration is at least \p version.
    bool has(configuration_version version) const;
    /// Records that the instance at \p address has \p version.
    void recordHolder(const endpoint &address, configuration_version version);
    configuration_reply answer(const configuration_request &request, time_point now);

private:
    const configuration_document *chosenFor(const configuration_request &request) const;

    link_share m_link;
    std::optional<configuration_document> m_newest;
    /// Kept for instances that have received a part of it.
    std::optional<configuration_document> m_previous;
    /// The latest instances known to have the newest version.
    std::deque<endpoint> m_holders;
};

} // namespace peridotwheel

#endif
