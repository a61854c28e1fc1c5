#ifndef PERIDOTWHEEL_LIB_GATEWAY_VIEW_CODEC_H
#define PERIDOTWHEEL_LIB_GATEWAY_VIEW_CODEC_H

#include "peridotwheel/gateway/cluster_view.h"

#include <string>

namespace peridotwheel {

/// What an instance that asks for another one's view knows already.
struct view_position
{
    configuration_version configuration;
    object_version serversAt;
};

std::string encodePosition(const view_position &position);
result<view_position> decodePosition(const std::string &text);
std::string encodeSnapshot(const view_snapshot &snapshot);
/// Decoded objects carry the kinds that \p documents names.
result<view_snapshot> decodeSnapshot(const std::string &text, const std::string &configurationKind,
                                     const std::string &serverKind);

} // namespace peridotwheel

#endif
