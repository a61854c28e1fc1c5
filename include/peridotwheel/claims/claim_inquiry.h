#ifndef PERIDOTWHEEL_CLAIMS_CLAIM_INQUIRY_H
#define PERIDOTWHEEL_CLAIMS_CLAIM_INQUIRY_H

#include "peridotwheel/claims/claim_lookup.h"
#include "peridotwheel/claims/claim_options.h"
#include "peridotwheel/support/event_loop.h"

#include <functional>
#include <memory>

namespace peridotwheel {

/// Asks the store about one try whose time of issue is known, and seals the try if nobody runs it,
/// so that a status page can say "not run" truthfully.
class claim_inquiry
{
public:
    using view_hook = std::function<void(claim_view)>;

    claim_inquiry(event_loop &loop, platform_client &platform, instance_id self,
                  claim_options options);

    /// A release that does not cover \p issuedAt is reported as absence. \p maySeal allows a seal
    /// once the try is older than the patience; a copy that is still under way is then refused.
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

/// The answer that a status page shows for \p view at the time \p now: what a resend would get.
/// Empty if there is no record or the store was not read.
std::optional<query_answer> answerFromClaim(const claim_view &view, wall_time now,
                                            const claim_options &options);

} // namespace peridotwheel

#endif
