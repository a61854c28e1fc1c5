#ifndef PERIDOTWHEEL_CLAIMS_CLAIM_LOOKUP_H
#define PERIDOTWHEEL_CLAIMS_CLAIM_LOOKUP_H

#include "peridotwheel/claims/claim_record.h"

#include <functional>
#include <optional>
#include <string>

namespace peridotwheel {

/// The state of one request id in the store, for the status page.
struct claim_view
{
    enum class source {
        Store,      ///< The platform answered.
        Unreachable ///< The platform call failed; the state is unknown.
    };

    source from = source::Unreachable;
    std::optional<claim_record> record;
    /// Version of the record, if there is one.
    object_version version;
    /// The platform reported that there is no such object.
    bool absent = false;
    /// Whether the request ran, according to the store. `Unknown` for a `Claimed` record, since its
    /// holder may be sending the request at this moment.
    ran_state ran = ran_state::Unknown;
    /// One line of text for the reader of the status page.
    std::string text;
};

/// Reads claims from the platform.
class claim_lookup
{
public:
    explicit claim_lookup(platform_client &platform)
        : m_platform(platform)
    {
    }

    /// Reads the claim of \p id. \p done is called once and never from within this call; it is not
    /// called if the platform client is destroyed first.
    void lookUp(const request_id &id, std::function<void(claim_view)> done);

private:
    platform_client &m_platform;
};

} // namespace peridotwheel

#endif
