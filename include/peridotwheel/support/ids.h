#ifndef PERIDOTWHEEL_SUPPORT_IDS_H
#define PERIDOTWHEEL_SUPPORT_IDS_H

#include "peridotwheel/support/strong_id.h"

#include <cstdint>

namespace peridotwheel {

/// Name of an entry instance in the platform's instance list.
using instance_id = strong_id<struct instance_tag>;
/// Name of a backend server in the platform's list.
using server_id = strong_id<struct server_tag>;
using service_name = strong_id<struct service_tag>;
using data_centre_id = strong_id<struct data_centre_tag>;
using region_id = strong_id<struct region_tag>;
using class_name = strong_id<struct class_tag>;
/// A caller's own id of one request; unique per caller and at most `maxRequestIdBytes` long.
using request_id = strong_id<struct request_tag>;
using shard_id = strong_id<struct shard_tag, std::uint32_t>;
/// Version of the index; a shard map belongs to exactly one.
using index_version = strong_id<struct index_version_tag, std::uint64_t>;
/// One attempt of one backend request; unique within an instance's lifetime.
using attempt_id = strong_id<struct attempt_tag, std::uint64_t>;
/// Random number drawn when a process starts; distinguishes two runs of one instance or server.
using start_id = strong_id<struct start_tag, std::uint64_t>;
/// Revision of an object in the platform's object API; increases monotonically across all objects.
using object_version = strong_id<struct object_version_tag, std::uint64_t>;
/// Urgency of a class: 0 is the most urgent.
using class_rank = strong_id<struct rank_tag, std::uint32_t>;

} // namespace peridotwheel

#endif
