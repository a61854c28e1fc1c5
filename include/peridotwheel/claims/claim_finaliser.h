#ifndef PERIDOTWHEEL_CLAIMS_CLAIM_FINALISER_H
#define PERIDOTWHEEL_CLAIMS_CLAIM_FINALISER_H

#include "peridotwheel/claims/claim_options.h"
#include "peridotwheel/claims/claim_record.h"
#include "peridotwheel/support/event_loop.h"

#include <cstdint>
#include <map>
#include <optional>

namespace peridotwheel {

/// Writes the final state of claims in the background, with retries until the platform accepts it.
///
/// It changes a record only while the record holds the nonce of the try that passed it on and is in
/// state `Claimed` or `Sent`, and always by conditional update.
class claim_finaliser
{
public:
    claim_finaliser(event_loop &loop, platform_client &platform, claim_options options);
    claim_finaliser(const claim_finaliser &) = delete;
    claim_finaliser &operator=(const claim_finaliser &) = delete;

    /// Writes \p last as the record of \p id; its nonce identifies the try that it belongs to.
    /// \p version is the version last seen, if known.
    void finalise(const request_id &id, claim_record last, std::optional<object_version> version);

    /// Returns the number of final states that are still to be written; a graceful shutdown waits
    /// for 0.
    std::size_t pending() const { return m_entries.size(); }

private:
    struct entry
    {
        request_id id;
        claim_record last;
        std::optional<object_version> version;
        duration nextBackoff{};
        timer retry;
    };
    using serial = std::uint64_t;

    void step(serial s);
    void read(serial s);
    void write(serial s);
    void onRead(serial s, const result<platform_object> &r);
    void onWritten(serial s, const result<object_version> &r);
    void retryLater(serial s);

    event_loop &m_loop;
    platform_client &m_platform;
    claim_options m_options;
    std::map<serial, entry> m_entries;
    serial m_nextSerial = 0;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace peridotwheel

#endif
