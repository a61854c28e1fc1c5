#ifndef PERIDOTWHEEL_PEER_EXCHANGE_H
#define PERIDOTWHEEL_PEER_EXCHANGE_H

#include "peridotwheel/membership/member.h"
#include "peridotwheel/membership/server_directory.h"
#include "peridotwheel/support/error.h"

#include <optional>
#include <string>
#include <vector>

namespace peridotwheel {

/// One message between instances, in either direction.
struct exchange
{
    member sender;
    /// Versions that the sender holds; 0 if none.
    object_version configurationVersion;
    index_version snapshotVersion;
    std::vector<member> members;
    std::vector<server_leaving> serversLeaving;
    /// Documents of the versions above, if the receiver is thought to lack them.
    std::optional<std::string> configuration;
    std::optional<std::string> shardMap;
};

/// Bounds of one message; larger ones are refused before they are read.
constexpr std::size_t maxPeerTextBytes = 1200 * 1024;
constexpr std::size_t maxPeerListItems = 256;
constexpr std::size_t maxPeerBodyBytes = 2 * maxPeerTextBytes + 128 * 1024;

std::string encodeExchange(const exchange &message);
/// Fails with `InvalidArgument` on anything that is not a complete, plausible message.
result<exchange> decodeExchange(const std::string &body);

} // namespace peridotwheel

#endif
