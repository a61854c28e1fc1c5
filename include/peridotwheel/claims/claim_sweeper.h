#ifndef PERIDOTWHEEL_CLAIMS_CLAIM_SWEEPER_H
#define PERIDOTWHEEL_CLAIMS_CLAIM_SWEEPER_H

#include "peridotwheel/claims/claim_options.h"
#include "peridotwheel/platform/platform_client.h"
#include "peridotwheel/support/event_loop.h"

#include <deque>
#include <functional>
#include <memory>

namespace peridotwheel {

/// Removes claims older than the retention, at a limited rate.
///
/// A sweep lists all claims, so only one instance of the fleet should run it: \p mayStart is called
/// before each sweep and returns whether this instance does. Concurrent sweeps are safe, since each
/// removal is conditional on the version seen.
class claim_sweeper
{
public:
    claim_sweeper(event_loop &loop, platform_client &platform, claim_options options,
                  std::function<bool()> mayStart);
    claim_sweeper(const claim_sweeper &) = delete;
    claim_sweeper &operator=(const claim_sweeper &) = delete;

    void start();

private:
    struct expired_claim
    {
        object_key key;
        object_version version;
    };

    void scheduleSweep();
    void sweep();
    void onList(const result<watch_result> &r);
    void removeNextExpired();

    event_loop &m_loop;
    platform_client &m_platform;
    claim_options m_options;
    std::function<bool()> m_mayStart;
    std::deque<expired_claim> m_expiredClaims;
    timer m_timer;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace peridotwheel

#endif
