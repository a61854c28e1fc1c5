#ifndef PERIDOTWHEEL_LIB_GATEWAY_VIEW_CODEC_H
#define PERIDOTWHEEL_LIB_GATEWAY_VIEW_CODEC_H

#include "peridotwheel/gateway/cluster_view.h"

#include <optional>
#include <string>

namespace peridotwheel {

/// What an instance that asks for another one's view knows already.
struct view_position
{
    configuration_version configuration;
    object_version serversRevision;
    object_version instancesRevision;
    /// Where the asker answers such questions itself.
    std::optional<endpoint> requesterAddress;
    /// What the asker measured of the servers; present if it wants hints in return.
    std::optional<server_reports> reports;
};

std::string encodePosition(const view_position &position);
result<view_position> decodePosition(const std::string &text);
std::string encodeSnapshot(const view_snapshot &snapshot);
/// Decoded objects carry these kinds.
struct view_kinds
{
    std::string configuration;
    std::string servers;
    std::string instances;
};
result<view_snapshot> decodeSnapshot(const std::string &text, const view_kinds &kinds);

} // namespace peridotwheel

#endif
