#ifndef PERIDOTWHEEL_CLAIMS_CLAIM_LOOKUP_H
#define PERIDOTWHEEL_CLAIMS_CLAIM_LOOKUP_H

#include "peridotwheel/claims/claim_record.h"

#include <functional>
#include <optional>
#include <string>

namespace peridotwheel {

/// What the store says about one request id, for the status page.
struct claim_view
{
    enum class source {
        Store,      ///< The platform answered.
        Unreachable ///< The platform could not be asked; nothing is known.
    };

    source from = source::Unreachable;
    std::optional<claim_record> record;
    /// Version of the record, if there is one.
    object_version version;
    /// The platform answered that there is no such object.
    bool absent = false;
    /// Whether the request ran, as far as the store can tell. A `Claimed` record is `Unknown`: its
    /// holder may be sending right now.
    ran_state ran = ran_state::Unknown;
    /// One line for people.
    std::string text;
};

/// Asks the platform about claims.
class claim_lookup
{
public:
    explicit claim_lookup(platform_client &platform)
        : m_platform(platform)
    {
    }

    /// \p done is called once, never from within the call, unless the platform client is destroyed.
    void lookUp(const request_id &id, std::function<void(claim_view)> done);

private:
    platform_client &m_platform;
};

} // namespace peridotwheel

#endif
