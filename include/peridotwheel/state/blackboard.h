#ifndef PERIDOTWHEEL_STATE_BLACKBOARD_H
#define PERIDOTWHEEL_STATE_BLACKBOARD_H

#include "peridotwheel/configuration/configuration_document.h"
#include "peridotwheel/membership/member.h"
#include "peridotwheel/routing/shard_map.h"
#include "peridotwheel/state/section.h"
#include "peridotwheel/support/units.h"

#include <map>
#include <optional>

namespace peridotwheel {

/// Whether the platform answered recently.
struct platform_health
{
    bool reachable = false;
    /// Time of the last change of `reachable`.
    wall_time since{};
};

enum class lifecycle_phase { Starting, Serving, Draining, Stopped };

struct lifecycle
{
    lifecycle_phase phase = lifecycle_phase::Starting;
};

/// The state that the controllers of one instance share. Each section has exactly one writer, named
/// in docs/design.md; all other components read and subscribe.
struct blackboard
{
    section<configuration_document> configuration;
    section<snapshot_set> snapshots;
    section<member_map> members;
    section<server_map> servers;
    section<platform_health> platformHealth;
    section<lifecycle> phase;
};

} // namespace peridotwheel

#endif
