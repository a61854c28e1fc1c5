#include "peridotwheel/claims/claim_finaliser.h"

#include <algorithm>

namespace peridotwheel {

claim_finaliser::claim_finaliser(event_loop &loop, platform_client &platform, claim_options options)
    : m_loop(loop)
    , m_platform(platform)
    , m_options(options)
{
}

void claim_finaliser::finalise(const request_id &id, claim_record last,
                               std::optional<object_version> version)
{
    if (m_entries.size() >= m_options.maxPendingRecords)
        m_entries.erase(m_entries.begin());
    const serial s = m_nextSerial++;
    entry &e = m_entries[s];
    e.id = id;
    e.last = std::move(last);
    e.version = version;
    e.nextBackoff = m_options.initialFinaliseBackoff;
    step(s);
}

void claim_finaliser::step(serial s)
{
    const auto it = m_entries.find(s);
    if (it == m_entries.end())
        return;
    if (it->second.version) {
        write(s);
        return;
    }
    read(s);
}

void claim_finaliser::read(serial s)
{
    std::weak_ptr<bool> alive = m_alive;
    m_platform.get(claimKey(m_entries[s].id), [this, alive, s](const result<platform_object> &r) {
        if (!alive.expired())
            onRead(s, r);
    });
}

void claim_finaliser::write(serial s)
{
    std::weak_ptr<bool> alive = m_alive;
    entry &e = m_entries[s];
    e.last.changedAt = m_loop.wallNow();
    m_platform.put(claimKey(e.id), toJson(e.last), write_condition::at(*e.version),
                   [this, alive, s](const result<object_version> &r) {
                       if (!alive.expired())
                           onWritten(s, r);
                   });
}

void claim_finaliser::onRead(serial s, const result<platform_object> &r)
{
    const auto it = m_entries.find(s);
    if (it == m_entries.end())
        return;
    if (!r && r.error().kind != error_kind::NotFound) {
        retryLater(s);
        return;
    }
    const auto record = r ? claimRecordFromJson(r.value().value)
                          : result<claim_record>(failure(error_kind::NotFound, ""));
    const bool open = record && record.value().nonce == it->second.last.nonce &&
                      (record.value().state == claim_state::Claimed ||
                       record.value().state == claim_state::Sent);
    if (!open) {
        m_entries.erase(it);
        return;
    }
    it->second.version = r.value().version;
    write(s);
}

void claim_finaliser::onWritten(serial s, const result<object_version> &r)
{
    const auto it = m_entries.find(s);
    if (it == m_entries.end())
        return;
    if (r) {
        m_entries.erase(it);
        return;
    }
    // `Unavailable` guarantees that the write had no effect; after other errors the present version
    // is unknown.
    if (r.error().kind != error_kind::Unavailable)
        it->second.version.reset();
    retryLater(s);
}

void claim_finaliser::retryLater(serial s)
{
    entry &e = m_entries[s];
    e.retry = m_loop.schedule(e.nextBackoff, [this, s] { step(s); });
    e.nextBackoff = std::min(2 * e.nextBackoff, m_options.maxFinaliseBackoff);
}

} // namespace peridotwheel
