#ifndef PERIDOTWHEEL_MEMBERSHIP_MEMBER_H
#define PERIDOTWHEEL_MEMBERSHIP_MEMBER_H

#include "peridotwheel/http/http_message.h"
#include "peridotwheel/support/ids.h"
#include "peridotwheel/support/units.h"

#include <cstdint>
#include <map>

namespace peridotwheel {

enum class member_state { Alive, Suspect, Leaving, Dead };

/// The latest state of one entry instance (itself included) that this instance knows.
struct member
{
    instance_id id;
    start_id start;
    /// Raised by the member itself to refute a suspicion; orders the updates about the member.
    std::uint64_t incarnation = 0;
    data_centre_id dataCentre;
    endpoint peers;
    endpoint operators;
    member_state state = member_state::Alive;
    /// When `state` last changed, on this instance's clock.
    time_point since{};
};

using member_map = std::map<instance_id, member>;

/// The latest state of one backend server that this instance knows.
struct server_record
{
    server_id id;
    start_id start;
    service_name service;
    /// False for plain services, which hold no index.
    bool sharded = true;
    data_centre_id dataCentre;
    endpoint address;
    /// Connections that the server accepts from all instances together.
    std::uint32_t connectionLimit = 0;
    bool leaving = false;
};

using server_map = std::map<server_id, server_record>;

} // namespace peridotwheel

#endif
