#ifndef PERIDOTWHEEL_LIB_GATEWAY_ALLOTMENT_OWNER_H
#define PERIDOTWHEEL_LIB_GATEWAY_ALLOTMENT_OWNER_H

#include "allotment_bucket.h"

#include <map>
#include <optional>
#include <vector>

namespace peridotwheel {

/// The values are those of the outcomes on the wire.
enum class claim_result : std::int32_t {
    None,      ///< There is no bucket there, or a bucket that was handed over is accepted.
    Released,  ///< The bucket is handed over.
    Outranked, ///< Another instance goes before the sender.
    Pending,   ///< The replying instance cannot tell yet.
};

/// The answer to a claim, or to a bucket that was handed over.
struct claim_answer
{
    team_name team;
    claim_result result = claim_result::None;
    /// Present for `Released`.
    std::optional<allotment_bucket_state> bucket;
    /// Present for `Outranked`; otherwise the instance that was known as the owner, if any.
    std::optional<allotment_peer> owner;
};

/// A message of an instance about the allotments of some teams.
struct allotment_request
{
    allotment_sender sender;
    std::vector<allotment_report> reports;
    /// Absent in messages of earlier builds.
    std::optional<endpoint> address;
    /// Teams whose buckets the sender claims.
    std::vector<team_name> claims;
    /// Whether the receiver must drop its tokens of the claimed teams.
    bool isFinalClaim = false;
    /// Instances whose processes have ended as the sender found.
    std::vector<instance_id> ended;
    /// Buckets that the sender hands over because it ends.
    std::vector<allotment_bucket_state> handedOver;
    /// Version of the configuration at the sender.
    configuration_version version;
    /// Position of the store at which the sender's list of instances was read.
    object_version listRevision;
};

struct allotment_reply
{
    std::vector<allotment_grant> grants;
    std::vector<claim_answer> answers;
    configuration_version version;
};

/// The buckets that this instance keeps, at most one for each team.
class allotment_owner
{
public:
    /// Replaces the bounds of all teams and drops the buckets of teams that have none any more.
    void setBounds(const std::map<team_name, allotment_bounds> &bounds, time_point now);
    /// Begins a bucket unless there is one.
    void begin(const team_name &team, bucket_id id, time_point now);
    /// Continues a bucket of another instance unless there is one. Returns whether it does.
    bool adopt(const allotment_bucket_state &state, time_point now);
    /// Gives a bucket up; absent if there is none.
    std::optional<allotment_bucket_state> release(const team_name &team, time_point now);
    /// Returns null if there is no bucket of the team.
    allotment_bucket *find(const team_name &team);
    std::vector<team_name> teams() const;
    std::size_t size() const { return m_buckets.size(); }

private:
    std::map<team_name, allotment_bounds> m_bounds;
    std::map<team_name, allotment_bucket> m_buckets;
};

} // namespace peridotwheel

#endif
