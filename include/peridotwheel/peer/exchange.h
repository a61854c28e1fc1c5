#ifndef PERIDOTWHEEL_PEER_EXCHANGE_H
#define PERIDOTWHEEL_PEER_EXCHANGE_H

#include "peridotwheel/membership/member.h"
#include "peridotwheel/membership/server_directory.h"
#include "peridotwheel/support/error.h"

#include <optional>
#include <string>
#include <vector>

namespace peridotwheel {

/// A request or reply between two instances.
struct exchange
{
    member sender;
    /// Versions of the documents that the sender holds; 0 if none.
    object_version configurationVersion;
    index_version snapshotVersion;
    std::vector<member> members;
    std::vector<server_leaving> serversLeaving;
    /// Documents of the versions above, included if the receiver is expected to lack them.
    std::optional<std::string> configuration;
    std::optional<std::string> shardMap;
};

/// Limits for each string, each list and the whole body of a message. Decoding fails before a
/// larger one is read.
constexpr std::size_t maxPeerTextBytes = 1200 * 1024;
constexpr std::size_t maxPeerListItems = 256;
constexpr std::size_t maxPeerBodyBytes = 2 * maxPeerTextBytes + 128 * 1024;

std::string encodeExchange(const exchange &message);
/// Fails with `InvalidArgument` if the message is incomplete or a value is out of range.
result<exchange> decodeExchange(const std::string &body);

} // namespace peridotwheel

#endif
