#ifndef PERIDOTWHEEL_RELAY_RELAY_MESSAGE_H
#define PERIDOTWHEEL_RELAY_RELAY_MESSAGE_H

#include "peridotwheel/query/query.h"
#include "peridotwheel/support/error.h"

#include <cstddef>
#include <string>
#include <tuple>
#include <vector>

namespace peridotwheel {

/// Paths on the listener for other instances.
extern const std::string relayQueryPath;
extern const std::string relayCancelPath;

/// Limits for each string and each list of a relay message. Decoding fails before a larger one is
/// read.
constexpr std::size_t maxRelayTextBytes = 1200 * 1024;
constexpr std::size_t maxRelayShards = 16384;

/// Identifies one relayed part; unique across instances and their restarts.
struct relay_key
{
    instance_id origin;
    start_id start;
    std::uint64_t id = 0;

    friend bool operator<(const relay_key &a, const relay_key &b)
    {
        return std::tie(a.origin, a.start, a.id) < std::tie(b.origin, b.start, b.id);
    }
};

/// A part of a query that another instance is to run: exactly `request.shards` of
/// `request.pinnedVersion`, and the plain services `request.services`.
struct relay_query
{
    relay_key key;
    query_request request;
};

/// The answer to one part by the owner, the instance that holds the connections.
struct relay_answer
{
    std::uint64_t id = 0;
    query_answer answer;
    /// Shards of the part that the owner holds no connection for; they did not run there.
    std::vector<shard_id> notOwned;
};

/// Encodes arrival and deadline as durations relative to \p now, since the clocks of two instances
/// differ.
std::string encodeRelayQuery(const relay_query &query, time_point now);
result<relay_query> decodeRelayQuery(const std::string &body, time_point now);
std::string encodeRelayAnswer(const relay_answer &answer);
result<relay_answer> decodeRelayAnswer(const std::string &body);
std::string encodeRelayCancel(const relay_key &key);
result<relay_key> decodeRelayCancel(const std::string &body);

} // namespace peridotwheel

#endif
