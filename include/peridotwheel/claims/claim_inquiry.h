#ifndef PERIDOTWHEEL_CLAIMS_CLAIM_INQUIRY_H
#define PERIDOTWHEEL_CLAIMS_CLAIM_INQUIRY_H

#include "peridotwheel/claims/claim_lookup.h"
#include "peridotwheel/claims/claim_options.h"
#include "peridotwheel/support/event_loop.h"

#include <functional>
#include <memory>

namespace peridotwheel {

/// Looks up one try whose time of issue is known, and seals the try if no instance has sent it, so
/// that a status page can report "not run" reliably.
class claim_inquiry
{
public:
    using view_hook = std::function<void(claim_view)>;

    claim_inquiry(event_loop &loop, platform_client &platform, instance_id self,
                  claim_options options);

    /// A `Released` record that does not seal \p issuedAt is reported as absent. \p maySeal permits
    /// a seal once the try is older than `takeoverAge`; a copy that is still in flight is then
    /// refused.
    void lookUpOrSeal(const request_id &id, wall_time issuedAt, bool maySeal, view_hook done);

private:
    void onView(const request_id &id, wall_time issuedAt, bool maySeal, const claim_view &view,
                const view_hook &done);
    bool canSeal(wall_time issuedAt, const claim_view &view) const;

    event_loop &m_loop;
    platform_client &m_platform;
    instance_id m_self;
    claim_options m_options;
    claim_lookup m_lookup;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

/// Returns the answer that a status page shows for \p view at the time \p now: the one that a
/// resend would get, except that a claim old enough for a takeover is shown as in progress. Returns
/// nothing if there is no record or the store could not be read.
std::optional<query_answer> answerFromClaim(const claim_view &view, wall_time now,
                                            const claim_options &options);

} // namespace peridotwheel

#endif
