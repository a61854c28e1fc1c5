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
    wait();
}

void claim_sweeper::wait()
{
    m_timer = m_loop.schedule(m_options.sweepEvery, [this] { sweep(); });
}

void claim_sweeper::sweep()
{
    if (!m_mayStart()) {
        wait();
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
        wait();
        return;
    }
    for (const auto &object : r.value().changed) {
        const auto record = claimRecordFromJson(object.value);
        // The last change counts, so that a long-running holder keeps its record.
        if (record && m_loop.wallNow() - record.value().changedAt > m_options.retention)
            m_victims.push_back({object.key, object.version});
    }
    removeNext();
}

void claim_sweeper::removeNext()
{
    if (m_victims.empty()) {
        wait();
        return;
    }
    const victim v = m_victims.front();
    m_victims.pop_front();
    std::weak_ptr<bool> alive = m_alive;
    m_platform.remove(v.key, v.version, [this, alive](const result<void> &r) {
        if (alive.expired())
            return;
        // What is left is found by the next sweep.
        if (!r && r.error().kind == error_kind::Unavailable)
            m_victims.clear();
        m_timer = m_loop.schedule(m_options.sweepSpacing, [this] { removeNext(); });
    });
}

} // namespace peridotwheel
