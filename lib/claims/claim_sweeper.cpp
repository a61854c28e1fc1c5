#include "peridotwheel/claims/claim_sweeper.h"

#include "peridotwheel/claims/claim_record.h"

namespace peridotwheel {

claim_sweeper::claim_sweeper(event_loop &loop, platform_client &platform, claim_options options,
                             std::function<bool()> mayStart)
    : m_loop(loop)
    , m_platform(platform)
    , m_options(options)
    , m_mayStart(std::move(mayStart))
{
}

void claim_sweeper::start()
{
    scheduleSweep();
}

void claim_sweeper::scheduleSweep()
{
    m_timer = m_loop.schedule(m_options.sweepInterval, [this] { sweep(); });
}

void claim_sweeper::sweep()
{
    if (!m_mayStart()) {
        scheduleSweep();
        return;
    }
    std::weak_ptr<bool> alive = m_alive;
    m_platform.list(claimKey(request_id()).kind, [this, alive](const result<watch_result> &r) {
        if (!alive.expired())
            onList(r);
    });
}

void claim_sweeper::onList(const result<watch_result> &r)
{
    if (!r) {
        scheduleSweep();
        return;
    }
    for (const auto &object : r.value().changed) {
        const auto record = claimRecordFromJson(object.value);
        // The age counts from the last change, so that a long-running holder keeps its record.
        if (record && m_loop.wallNow() - record.value().changedAt > m_options.retention)
            m_expiredClaims.push_back({object.key, object.version});
    }
    removeNextExpired();
}

void claim_sweeper::removeNextExpired()
{
    if (m_expiredClaims.empty()) {
        scheduleSweep();
        return;
    }
    const expired_claim claim = m_expiredClaims.front();
    m_expiredClaims.pop_front();
    std::weak_ptr<bool> alive = m_alive;
    m_platform.remove(claim.key, claim.version, [this, alive](const result<void> &r) {
        if (alive.expired())
            return;
        // The next sweep finds the claims that are dropped here.
        if (!r && r.error().kind == error_kind::Unavailable)
            m_expiredClaims.clear();
        m_timer = m_loop.schedule(m_options.removalInterval, [this] { removeNextExpired(); });
    });
}

} // namespace peridotwheel
