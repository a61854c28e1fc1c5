#ifndef PERIDOTWHEEL_LIB_STANDIN_FLEET_DOCUMENTS_H
#define PERIDOTWHEEL_LIB_STANDIN_FLEET_DOCUMENTS_H

#include "peridotwheel/standin/backend_standin.h"
#include "peridotwheel/standin/standin_fleet.h"

#include <string>
#include <vector>

namespace peridotwheel {

/// JSON of the platform's objects that a fleet publishes.
std::string serverDocument(const backend_config &server, bool leaving);
std::string defaultConfigurationDocument();
std::string currentSnapshotDocument(index_version version);
/// The shard map of \p version for all sharded servers in \p servers.
std::string snapshotDocument(index_version version, const std::vector<backend_config> &servers);

/// The servers of a fleet at version 1, without ports.
std::vector<backend_config> planServers(const fleet_config &config);
/// Ids of the shards of the sharded service with index \p service.
std::vector<shard_id> shardIds(std::uint32_t service, std::uint32_t shardsPerService);

} // namespace peridotwheel

#endif
