#ifndef PERIDOTWHEEL_LIB_GATEWAY_ALLOTMENT_BUCKET_H
#define PERIDOTWHEEL_LIB_GATEWAY_ALLOTMENT_BUCKET_H

#include "peridotwheel/gateway/gateway_settings.h"
#include "peridotwheel/gateway/route.h"
#include "peridotwheel/http/http_message.h"
#include "peridotwheel/support/ids.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace peridotwheel {

/// Time for which an instance may use a token, counted from when it requested it. The number of
/// tokens that are out is bounded in any case. With 10 s, 12% of the requests of 73 teams at 61
/// instances found no token at hand; with 40 s, 7%.
constexpr duration tokenValidity = seconds(40);

/// The numbers that follow from the allotment of a team and the tolerance.
///
/// With the tolerance T of a window W, the requests in any window are at most rate x W + capacity
/// from the bucket, 3/8 T from tokens that are out, 1/8 T from a new owner, and 1/2 T from the
/// reserves of all instances.
struct allotment_bounds
{
    allotment_bounds(const rate_allotment &allotment, const allotment_tolerance &tolerance);

    double ratePerSecond = 0;
    double capacity = 1;
    /// Tokens that may be out beyond the level of the bucket.
    double lendable = 0;
    /// Tokens that a new owner may grant at once.
    double atStart = 0;
    /// Requests in each window that all instances together may send without an owner.
    double reserve = 0;
    duration window = seconds(5);

    friend bool operator==(const allotment_bounds &a, const allotment_bounds &b)
    {
        return a.ratePerSecond == b.ratePerSecond && a.capacity == b.capacity &&
               a.lendable == b.lendable && a.reserve == b.reserve && a.window == b.window;
    }
    friend bool operator!=(const allotment_bounds &a, const allotment_bounds &b)
    {
        return !(a == b);
    }
};

/// Distinguishes the buckets that a team had one after the other. Tokens of another bucket than the
/// present one are void.
using bucket_id = strong_id<struct bucket_tag, std::uint64_t>;

/// An instance and the address at which it answers messages of other instances.
struct allotment_peer
{
    instance_id id;
    endpoint address;

    friend bool operator==(const allotment_peer &a, const allotment_peer &b)
    {
        return a.id == b.id && a.address == b.address;
    }
};

/// What an instance reports to the owner about the tokens of one team.
struct allotment_report
{
    team_name team;
    /// Tokens that the process has used since its start.
    std::int64_t used = 0;
    std::int32_t unused = 0;
    /// Further tokens that it requests for waiting requests.
    std::int32_t waiting = 0;
    /// Further tokens that it requests in advance.
    std::int32_t inAdvance = 0;
};

/// Identifies a message of an instance to an owner.
struct allotment_sender
{
    instance_id instance;
    start_id process;
    std::uint64_t sequence = 0;
};

/// The owner's reply about one team.
struct allotment_grant
{
    team_name team;
    std::int32_t tokens = 0;
    /// Present if the allotment is used up.
    std::optional<duration> capacityIn;
    /// Whether the replying instance keeps the bucket.
    bool isOwner = true;
    bucket_id bucket;
    /// Present if another instance is known to keep the bucket, or to be about to.
    std::optional<allotment_peer> owner;
};

/// The state of a bucket in the form in which it is handed over to another instance.
struct allotment_bucket_state
{
    /// The tokens of one instance.
    struct holder
    {
        instance_id instance;
        start_id process;
        std::uint64_t sequence = 0;
        std::int64_t used = 0;
        std::int32_t out = 0;
        std::int32_t presumedUsed = 0;
        duration expiryIn{};
    };

    team_name team;
    bucket_id id;
    double level = 0;
    std::vector<holder> holders;
};

/// The token bucket of one team at its owner.
///
/// A token is taken from the level when its use is reported, or when it has expired without a
/// report. Until then it is out. The level minus the tokens that are out never falls below
/// -lendable by a grant, which bounds the requests in any window.
///
/// Designed for some 10 instances that use a team at a time and at most 300.
class allotment_bucket
{
public:
    /// A new bucket. It starts without tokens for a burst, since an earlier one may have granted
    /// some just before.
    allotment_bucket(const allotment_bounds &bounds, bucket_id id, time_point now);
    /// Continues the bucket of another instance. What it would have gained meanwhile is lost.
    allotment_bucket(const allotment_bounds &bounds, const allotment_bucket_state &state,
                     time_point now);

    bucket_id id() const { return m_id; }
    allotment_bucket_state state(const team_name &team, time_point now);
    void setBounds(const allotment_bounds &bounds, time_point now);
    /// Accounts for \p report and grants tokens.
    allotment_grant handle(const allotment_sender &sender, const allotment_report &report,
                           time_point now);
    /// Takes a token for a request of the owner itself. Returns the time until there is one if
    /// there is none.
    std::optional<duration> take(time_point now);
    /// Returns a token of `take` that was not used.
    void giveBack(time_point now);
    double tokensOut() const { return m_out; }

private:
    /// What is known about the tokens of one instance.
    struct holder
    {
        start_id process;
        std::uint64_t sequence = 0;
        std::int64_t used = 0;
        std::int32_t out = 0;
        /// Expired tokens that were taken from the level without a report.
        std::int32_t presumedUsed = 0;
        time_point expiry;
    };

    void settle(time_point now);
    void presumeUsed(holder &h);
    double headroom() const { return m_level - m_out + m_bounds.lendable; }
    duration timeUntilCapacity() const;

    allotment_bounds m_bounds;
    bucket_id m_id;
    double m_level;
    double m_out = 0;
    time_point m_settledAt;
    std::map<instance_id, holder> m_holders;
};

} // namespace peridotwheel

#endif
