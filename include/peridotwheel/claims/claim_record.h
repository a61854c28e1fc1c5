#ifndef PERIDOTWHEEL_CLAIMS_CLAIM_RECORD_H
#define PERIDOTWHEEL_CLAIMS_CLAIM_RECORD_H

#include "peridotwheel/platform/platform_client.h"
#include "peridotwheel/query/query.h"
#include "peridotwheel/support/error.h"

#include <optional>
#include <string>

namespace peridotwheel {

/// `Claimed` -> `Sent` -> `Done` or `Failed`; `Claimed` -> `Released`. The holder of a `Sent`
/// record may release it as well if it is certain that nothing ran.
enum class claim_state { Claimed, Sent, Done, Failed, Released };

const char *toString(claim_state state);

/// What the platform stores about one non-repeatable request.
struct claim_record
{
    claim_state state = claim_state::Claimed;
    /// Random and unique to one try of one instance. Identifies the writer of the record after a
    /// lost reply.
    std::string nonce;
    instance_id instance;
    wall_time claimedAt{};
    /// Time of issue of the try that holds or held the claim.
    wall_time issuedAt{};
    /// Tries issued up to this time may have been answered as not run and must never run. Later
    /// claims keep the value.
    wall_time sealedUpTo{};
    /// When `state` was written.
    wall_time changedAt{};
    /// The answer of a request that is `Done` or `Failed`.
    std::optional<query_answer> answer;
};

/// Returns true if \p record rules out that a try issued at \p issuedAt, or a copy of it, runs.
bool seals(const claim_record &record, wall_time issuedAt);

/// Larger results are not stored with the answer; a resend is then told only that the request ran.
constexpr std::size_t maxStoredResultBytes = 16 * 1024;

/// Returns the key of the object that holds the claim of \p id.
object_key claimKey(const request_id &id);

std::string toJson(const claim_record &record);
/// Error: `InvalidArgument` for text that is not a claim record.
result<claim_record> claimRecordFromJson(const std::string &text);

} // namespace peridotwheel

#endif
